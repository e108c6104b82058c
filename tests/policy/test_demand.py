"""Tests of capacity planning for rented targets.

They guard against spending above the limit, against firm work on reclaimable
targets, and against targets that are repeatedly started and stopped.
"""

import unittest
from dataclasses import dataclass, field

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, TargetId
from goldcrestyard.core.states import Rental
from goldcrestyard.policy.demand import (
    CapacityLimits,
    Demand,
    PlannerState,
    RentalTerms,
    RentedTarget,
    StartTargets,
    StopTarget,
    TargetOrder,
    plan_capacity,
)

A, B = DataCentre("a"), DataCentre("b")
ON_DEMAND, RECLAIMABLE = Rental.ON_DEMAND, Rental.RECLAIMABLE
TERMS = (RentalTerms(A, 3.0, 1.0, 0.1), RentalTerms(B, 3.0, 1.0, 0.1))
RISKY = (RentalTerms(A, 3.0, 1.0, 0.9), RentalTerms(B, 3.0, 1.0, 0.9))


def rented(
    data_centre: DataCentre,
    rental: Rental,
    count: int,
    *,
    pending: bool = False,
    leaving: bool = False,
) -> tuple[RentedTarget, ...]:
    return tuple(
        RentedTarget(
            TargetId(f"{data_centre}-{rental.value}-{n}"),
            data_centre,
            rental,
            pending,
            leaving,
        )
        for n in range(count)
    )


@dataclass(frozen=True)
class Case:
    """The input of a planning run, and the orders that it must give."""

    name: str
    demand: Demand
    targets: tuple[RentedTarget, ...]
    orders: tuple[TargetOrder, ...]
    terms: tuple[RentalTerms, ...] = TERMS
    limits: CapacityLimits = CapacityLimits(min_on_demand=2, requests_per_target=10.0)
    unavailable: frozenset = frozenset()
    state: PlannerState = field(default_factory=PlannerState)
    denied: int = 0


MINIMUM = rented(A, ON_DEMAND, 1) + rented(B, ON_DEMAND, 1)
LONG_SURPLUS = PlannerState(surplus_since=-1000.0)

CASES = [
    Case(
        "minimum_is_spread",
        Demand(),
        (),
        (StartTargets(A, ON_DEMAND, 1), StartTargets(B, ON_DEMAND, 1)),
    ),
    Case("minimum_is_enough", Demand(5.0), MINIMUM, ()),
    Case(
        "pending_starts_count",
        Demand(),
        rented(A, ON_DEMAND, 2, pending=True),
        (),
    ),
    Case(
        "leaving_targets_do_not_count",
        Demand(),
        rented(A, ON_DEMAND, 2, leaving=True),
        (StartTargets(A, ON_DEMAND, 1), StartTargets(B, ON_DEMAND, 1)),
    ),
    Case(
        "firm_work_never_on_reclaimable",
        Demand(firm=35.0),
        MINIMUM + rented(A, RECLAIMABLE, 5),
        (StartTargets(A, ON_DEMAND, 1), StartTargets(B, ON_DEMAND, 1)),
    ),
    Case(
        "resumable_work_on_reclaimable",
        Demand(firm=20.0, resumable=20.0),
        MINIMUM,
        (StartTargets(A, RECLAIMABLE, 1), StartTargets(B, RECLAIMABLE, 1)),
    ),
    Case(
        "risk_of_reclaim_moves_work_to_on_demand",
        Demand(firm=20.0, resumable=20.0),
        MINIMUM,
        (StartTargets(A, ON_DEMAND, 1), StartTargets(B, ON_DEMAND, 1)),
        terms=RISKY,
    ),
    Case(
        "none_to_be_had_in_one_place",
        Demand(firm=20.0, resumable=20.0),
        MINIMUM,
        (StartTargets(B, RECLAIMABLE, 2),),
        unavailable=frozenset({(A, RECLAIMABLE)}),
    ),
    Case(
        "none_to_be_had_falls_back_within_the_bound",
        Demand(firm=20.0, resumable=40.0),
        MINIMUM,
        (StartTargets(A, ON_DEMAND, 1),),
        limits=CapacityLimits(2, spend_per_hour=9.5, requests_per_target=10.0),
        unavailable=frozenset({(A, RECLAIMABLE), (B, RECLAIMABLE)}),
        denied=3,
    ),
    Case(
        "bound_holds_for_firm_work_too",
        Demand(firm=100.0),
        MINIMUM,
        (StartTargets(A, ON_DEMAND, 1),),
        limits=CapacityLimits(2, spend_per_hour=9.0, requests_per_target=10.0),
        denied=7,
    ),
    Case(
        "one_plan_starts_a_bounded_number",
        Demand(firm=1000.0),
        MINIMUM,
        (StartTargets(A, ON_DEMAND, 2), StartTargets(B, ON_DEMAND, 2)),
        limits=CapacityLimits(2, requests_per_target=10.0, max_starts=4),
        denied=94,
    ),
    Case(
        "surplus_is_kept_at_first",
        Demand(5.0),
        MINIMUM + rented(A, RECLAIMABLE, 1),
        (),
    ),
    Case(
        "lasting_surplus_is_stopped_one_at_a_time",
        Demand(5.0),
        MINIMUM + rented(A, RECLAIMABLE, 3),
        (StopTarget(TargetId("a-reclaimable-0"), A),),
        state=LONG_SURPLUS,
    ),
    Case(
        "no_stop_without_margin",
        Demand(firm=10.0, resumable=9.0),
        MINIMUM + rented(A, RECLAIMABLE, 1),
        (),
        state=LONG_SURPLUS,
    ),
    Case(
        "no_stop_below_the_minimum",
        Demand(),
        MINIMUM,
        (),
        state=LONG_SURPLUS,
    ),
    Case(
        "no_stop_while_a_start_is_pending",
        Demand(),
        MINIMUM + rented(A, RECLAIMABLE, 3, pending=True),
        (),
        state=LONG_SURPLUS,
    ),
]


class DemandTests(unittest.TestCase):
    """The orders of a plan, for a fixed and for a fluctuating demand."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_plan(self, _: str, case: Case) -> None:
        made = plan_capacity(
            case.demand,
            case.targets,
            case.terms,
            case.limits,
            case.unavailable,
            case.state,
            now=0.0,
        )
        self.assertEqual(made.orders, case.orders)
        self.assertEqual(made.denied, case.denied)

    def test_swinging_demand_stops_nothing(self) -> None:
        """A demand that drops for a short time stops no target."""
        targets = MINIMUM + rented(A, RECLAIMABLE, 2)
        state = PlannerState()
        for tick in range(200):
            demand = Demand(firm=20.0, resumable=20.0 if tick % 20 == 0 else 0.0)
            limits = CapacityLimits(
                2, requests_per_target=10.0, stop_after_seconds=300.0
            )
            made = plan_capacity(
                demand, targets, TERMS, limits, set(), state, tick * 10.0
            )
            state = made.state
            self.assertEqual(made.orders, ())
