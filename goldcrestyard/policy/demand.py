"""Capacity planning for rented targets.

Decides which targets to start and stop from the demand, hourly prices and the
risk that the platform reclaims a target.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from goldcrestyard.core.ids import DataCentre, TargetId
from goldcrestyard.core.states import Rental

MAX_RECLAIM_RISK = 0.5
"""Highest chance of a reclaim within an hour at which reclaimable targets are
started.  Above it, repeating the lost work costs more than an on-demand
target."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests that run or wait, by whether they survive a lost target."""

    firm: float = 0.0
    """Interactive and non-idempotent requests; they need on-demand targets."""
    resumable: float = 0.0
    """Requests that can continue elsewhere when their target is lost."""


@dataclass(frozen=True, slots=True)
class RentalTerms:
    """Hourly prices and the reclaim risk of targets in one data centre."""

    data_centre: DataCentre
    on_demand_price: float
    reclaimable_price: float
    reclaim_risk: float = 0.0

    def price(self, rental: Rental) -> float:
        """Return the hourly price of a target."""
        match rental:
            case Rental.ON_DEMAND:
                return self.on_demand_price
            case Rental.RECLAIMABLE:
                return self.reclaimable_price


@dataclass(frozen=True, slots=True)
class RentedTarget:
    """A running target, or one that an open order is to start."""

    id: TargetId
    data_centre: DataCentre
    rental: Rental
    pending: bool = False
    """An order to start the target is open."""
    leaving: bool = False
    """The target drains or is about to be stopped or reclaimed, so that it
    does not count as capacity."""


@dataclass(frozen=True, slots=True)
class CapacityLimits:
    """Limits that operators set for a plan."""

    min_on_demand: int = 1
    spend_per_hour: float = math.inf
    """Maximum total price of all targets for an hour."""
    requests_per_target: float = 16.0
    """Requests that one target handles at once."""
    max_starts: int = 32
    """Maximum number of targets that one plan starts, so that a wrong demand
    figure cannot use up the whole budget."""
    stop_margin: float = 0.2
    """Free capacity that must remain after a stop, as a share of the
    demand."""
    stop_after_seconds: float = 300.0
    """Time for which a surplus must last before a target is stopped."""


@dataclass(frozen=True, slots=True)
class PlannerState:
    """State carried from one plan to the next."""

    surplus_since: float | None = None
    """Start of the current surplus or time of the last stop; None without a
    surplus."""


@dataclass(frozen=True, slots=True)
class StartTargets:
    """Rent more targets in a data centre."""

    data_centre: DataCentre
    rental: Rental
    count: int


@dataclass(frozen=True, slots=True)
class StopTarget:
    """Drain one target and end its rental."""

    target: TargetId
    data_centre: DataCentre


TargetOrder = StartTargets | StopTarget


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """The orders of one planning run, and the state for the next run."""

    orders: tuple[TargetOrder, ...]
    state: PlannerState
    denied: int = 0
    """Number of required targets that the limits or the platform do not
    allow."""


@dataclass(slots=True)
class _PlannedTargets:
    """Running totals of targets and spend while a plan is computed."""

    terms_by_data_centre: dict[DataCentre, RentalTerms]
    counts: Counter[tuple[DataCentre, Rental]] = field(default_factory=Counter)
    spend: float = 0.0
    started: Counter[tuple[DataCentre, Rental]] = field(default_factory=Counter)

    def add(self, data_centre: DataCentre, rental: Rental) -> None:
        self.counts[data_centre, rental] += 1
        terms = self.terms_by_data_centre.get(data_centre)
        if terms is not None:
            self.spend += terms.price(rental)

    def total(self, rental: Rental) -> int:
        return sum(count for (_, kind), count in self.counts.items() if kind is rental)


def plan_capacity(
    demand: Demand,
    targets: Sequence[RentedTarget],
    terms: Iterable[RentalTerms],
    limits: CapacityLimits,
    unavailable: AbstractSet[tuple[DataCentre, Rental]],
    state: PlannerState,
    now: float,
) -> CapacityPlan:
    """Return the orders that match the rented targets to the demand.

    ``unavailable`` lists the data centres and rental kinds for which the
    platform has recently refused an order.
    """
    planned = _PlannedTargets({term.data_centre: term for term in terms})
    staying = [target for target in targets if not target.leaving]
    for target in staying:
        planned.add(target.data_centre, target.rental)
    firm, resumable = _required_targets(demand, limits)
    on_demand = planned.total(Rental.ON_DEMAND)
    missing_firm = max(0, firm - on_demand)
    resumable_capacity = max(0, on_demand - firm) + planned.total(Rental.RECLAIMABLE)
    missing_resumable = max(0, resumable - resumable_capacity)
    if missing_firm or missing_resumable:
        denied = _add_targets(
            planned, missing_firm, missing_resumable, limits, unavailable
        )
        orders = tuple(
            StartTargets(data_centre, rental, count)
            for (data_centre, rental), count in sorted(
                planned.started.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        )
        return CapacityPlan(orders, PlannerState(), denied)
    surplus = _surplus_target(staying, firm, demand, limits)
    if surplus is None:
        return CapacityPlan((), PlannerState())
    surplus_since = state.surplus_since if state.surplus_since is not None else now
    if now - surplus_since < limits.stop_after_seconds:
        return CapacityPlan((), PlannerState(surplus_since))
    stop = StopTarget(surplus.id, surplus.data_centre)
    return CapacityPlan((stop,), PlannerState(now))


def _required_targets(demand: Demand, limits: CapacityLimits) -> tuple[int, int]:
    firm = math.ceil(demand.firm / limits.requests_per_target)
    resumable = math.ceil(demand.resumable / limits.requests_per_target)
    return max(limits.min_on_demand, firm), resumable


def _add_targets(
    planned: _PlannedTargets,
    missing_firm: int,
    missing_resumable: int,
    limits: CapacityLimits,
    unavailable: AbstractSet[tuple[DataCentre, Rental]],
) -> int:
    """Add the missing targets; return how many could not be added."""
    denied = 0
    starts_left = limits.max_starts
    rentals_by_missing_target = [(Rental.ON_DEMAND,)] * missing_firm + [
        (Rental.RECLAIMABLE, Rental.ON_DEMAND)
    ] * missing_resumable
    for rentals in rentals_by_missing_target:
        if starts_left == 0:
            denied += 1
            continue
        for rental in rentals:
            data_centre = _best_data_centre(planned, rental, limits, unavailable)
            if data_centre is not None:
                planned.add(data_centre, rental)
                planned.started[data_centre, rental] += 1
                starts_left -= 1
                break
        else:
            denied += 1
    return denied


def _best_data_centre(
    planned: _PlannedTargets,
    rental: Rental,
    limits: CapacityLimits,
    unavailable: AbstractSet[tuple[DataCentre, Rental]],
) -> DataCentre | None:
    """Return the data centre in which to start a target, or None.

    On-demand targets are spread over the data centres, so that the loss of
    one removes as few as possible.  Reclaimable targets go where the price is
    lowest in relation to the chance of keeping the target.
    """
    candidates = [
        terms
        for terms in planned.terms_by_data_centre.values()
        if (terms.data_centre, rental) not in unavailable
        and planned.spend + terms.price(rental) <= limits.spend_per_hour
        and (rental is Rental.ON_DEMAND or terms.reclaim_risk <= MAX_RECLAIM_RISK)
    ]

    def rank(terms: RentalTerms) -> tuple[float, float, DataCentre]:
        count = planned.counts[terms.data_centre, rental]
        match rental:
            case Rental.ON_DEMAND:
                return count, terms.on_demand_price, terms.data_centre
            case Rental.RECLAIMABLE:
                risk_adjusted_price = terms.reclaimable_price / (1 - terms.reclaim_risk)
                return risk_adjusted_price, count, terms.data_centre

    best = min(candidates, key=rank, default=None)
    return best.data_centre if best is not None else None


def _surplus_target(
    staying: Sequence[RentedTarget], firm: int, demand: Demand, limits: CapacityLimits
) -> RentedTarget | None:
    """Return a target to stop, or None if the demand needs all of them."""
    if any(target.pending for target in staying):
        return None
    required = (demand.firm + demand.resumable) * (1 + limits.stop_margin)
    if (len(staying) - 1) * limits.requests_per_target < required:
        return None
    on_demand = [t for t in staying if t.rental is Rental.ON_DEMAND]
    reclaimable = [t for t in staying if t.rental is Rental.RECLAIMABLE]
    required_firm = demand.firm * (1 + limits.stop_margin)
    on_demand_is_spare = (
        len(on_demand) > firm
        and (len(on_demand) - 1) * limits.requests_per_target >= required_firm
    )
    # Stop an on-demand target first, which is more expensive, unless firm
    # requests need it.
    candidates = on_demand if on_demand_is_spare else reclaimable
    count_by_data_centre = Counter(target.data_centre for target in candidates)
    return min(
        candidates,
        key=lambda t: (-count_by_data_centre[t.data_centre], t.id),
        default=None,
    )
