"""Tests of the capacity planner on the paused clock.

They guard against targets that are ordered twice, stopped while they have
requests, or ordered without the leader lease.
"""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

import msgspec

from goldcrestyard.consensus.results import InDoubt, ProposalResult
from goldcrestyard.core.ids import CorrelationId, DataCentre, InstanceId, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Rental, TargetKind, TargetState
from goldcrestyard.plugins.orders.commands import (
    IntendOrders,
    Settlement,
    SettleOrders,
)
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.rentals.client import ListedTarget, ReclaimNotice
from goldcrestyard.plugins.rentals.demand_reports import (
    DemandReporter,
    DemandReports,
)
from goldcrestyard.plugins.rentals.messages import ReportDemand
from goldcrestyard.plugins.rentals.planner import CapacityPlanner
from goldcrestyard.plugins.rentals.settings import DataCentreTerms, RentalSettings
from goldcrestyard.plugins.targets.commands import AnnounceTarget, RemoveTarget
from goldcrestyard.plugins.targets.homes import Load, TargetHome
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.demand import Demand
from goldcrestyard.policy.orders import OrderState
from goldcrestyard.state.commands import Command
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase

DATA_CENTRE = DataCentre("a")


@dataclass
class FakePlatform:
    """Returns the targets and reclaim notices that a test sets."""

    listed: list[ListedTarget] = field(default_factory=list)
    announced: list[ReclaimNotice] = field(default_factory=list)

    async def targets(self) -> tuple[ListedTarget, ...]:
        return tuple(self.listed)

    async def notices(self) -> tuple[ReclaimNotice, ...]:
        return tuple(self.announced)


class InDoubtMember(FakeMember):
    """Commits every other order but reports the outcome as in doubt."""

    async def propose(
        self,
        command: Command,
        author: str = "",
        correlation_id: CorrelationId = CorrelationId(""),  # noqa: B008 - immutable
    ) -> ProposalResult:
        result = await super().propose(command, author, correlation_id)
        if isinstance(command, IntendOrders) and len(self.proposed) % 2:
            return InDoubt("no answer")
        return result


class PlannerTests(PausedClockTestCase):
    """Orders that the planner commits for a demand and a list of targets."""

    def setUp(self) -> None:
        self.machine = machine_of(OrdersSlice, TargetsSlice)
        self.orders = self.machine.get(OrdersSlice)
        self.platform = FakePlatform()
        self.demand = Demand()

    def planner(
        self, member_class: type = FakeMember, **settings: object
    ) -> CapacityPlanner:
        self.member = member_class(self.machine, self.clock())
        options = {
            "min_on_demand": 1,
            "requests_per_target": 10.0,
            "plan_seconds": 10.0,
            "stop_after_seconds": 30.0,
            "drain_seconds": 20.0,
            **settings,
        }
        terms = {"a": DataCentreTerms(3.0, 1.0)}
        return CapacityPlanner(
            self.member,
            OrderOutbox(self.member),
            self.platform,
            self.clock(),
            RentalSettings("127.0.0.1:1", terms, **options),
            lambda: self.demand,
        )

    def bodies(self) -> list[dict[str, object]]:
        records = self.orders.open_by_id.values()
        return [msgspec.json.decode(record.order.body) for record in records]

    def settle(self, state: OrderState) -> None:
        for order_id in list(self.orders.open_by_id):
            command = SettleOrders((Settlement(order_id, state, ""),))
            apply(self.machine, command)

    def rent(self, name: str, rental: Rental = Rental.ON_DEMAND) -> None:
        self.platform.listed.append(ListedTarget(TargetId(name), DATA_CENTRE, rental))
        target = Target(
            TargetId(name),
            TargetKind.ENGINE,
            "h:1",
            DATA_CENTRE,
            "r",
            ("lm",),
            rental,
            incarnation="i",
        )
        apply(self.machine, AnnounceTarget(target, InstanceId("e1")))

    async def test_open_order_is_not_placed_again(self) -> None:
        """Guards against a new start at each run until a target is listed."""
        planner = self.planner()
        for _ in range(3):
            await planner.plan_once()
        self.assertEqual([body["action"] for body in self.bodies()], ["start"])

    async def test_new_leader_counts_the_open_orders_of_the_last(self) -> None:
        """Guards against a second start after a change of leader."""
        await self.planner().plan_once()
        await self.planner().plan_once()
        self.assertEqual(len(self.bodies()), 1)

    async def test_intent_in_doubt_is_repeated_under_its_id(self) -> None:
        """Guards against a second start after a proposal in doubt."""
        await self.planner(InDoubtMember).plan_once()
        self.assertEqual(len(self.member.proposed), 2)
        self.assertEqual(len(self.bodies()), 1)

    async def test_refused_rental_kind_is_avoided_for_a_time(self) -> None:
        """Guards against repeated orders where the platform has no targets."""
        self.demand = Demand(10.0, 10.0)
        planner = self.planner(unavailable_seconds=60.0)
        self.rent("t1")
        await planner.plan_once()
        self.assertEqual(self.bodies()[0]["rental"], "reclaimable")
        self.settle(OrderState.REFUSED)
        await planner.plan_once()
        self.assertEqual(self.bodies()[0]["rental"], "on_demand")
        self.settle(OrderState.REFUSED)
        await planner.plan_once()
        self.assertEqual(self.bodies(), [])
        await asyncio.sleep(61.0)
        await planner.plan_once()
        self.assertEqual(self.bodies()[0]["rental"], "reclaimable")

    async def test_target_drains_before_it_is_stopped(self) -> None:
        """Guards against a stop that interrupts requests."""
        self.rent("t1")
        self.rent("t2")
        planner = self.planner()
        task = asyncio.create_task(planner.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(45.0)
        states = [
            homed.target.state
            for homed in self.machine.get(TargetsSlice).homed_by_id.values()
        ]
        self.assertEqual(states, [TargetState.DRAINING, TargetState.READY])
        self.assertEqual(self.bodies(), [])
        await asyncio.sleep(30.0)
        self.assertEqual([body["target"] for body in self.bodies()], ["t1"])

    async def test_unknown_demand_stops_nothing(self) -> None:
        """Guards against a new leader that takes unknown demand for none."""
        self.rent("t1")
        self.rent("t2")
        self.demand = None
        planner = self.planner(stop_after_seconds=0.0, drain_seconds=0.0)
        for _ in range(5):
            await planner.plan_once()
        self.assertEqual(self.bodies(), [])

    async def test_target_that_has_left_is_stopped_at_once(self) -> None:
        """Guards against paying for a target that has already left."""
        self.rent("t1")
        self.rent("t2")
        planner = self.planner(drain_seconds=10_000.0)
        task = asyncio.create_task(planner.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(45.0)
        apply(self.machine, RemoveTarget(TargetId("t1"), "i", TargetState.LEFT))
        await asyncio.sleep(10.0)
        self.assertEqual([body["target"] for body in self.bodies()], ["t1"])

    async def test_nothing_is_planned_without_the_lease(self) -> None:
        """Guards against orders from a deposed leader."""
        planner = self.planner()
        self.member.lease = False
        task = asyncio.create_task(planner.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(100.0)
        self.assertEqual(self.member.proposed, [])

    async def test_reclaim_drains_only_reclaimable_targets_at_once(self) -> None:
        """Guards against new work for targets that will be reclaimed soon."""
        self.rent("t1")
        self.rent("t2", Rental.RECLAIMABLE)
        planner = self.planner()
        task = asyncio.create_task(planner.watch_notices())
        self.addCleanup(task.cancel)
        self.platform.announced.append(ReclaimNotice(DATA_CENTRE))
        await asyncio.sleep(1.5)
        states = {
            homed.target.id: homed.target.state
            for homed in self.machine.get(TargetsSlice).homed_by_id.values()
        }
        self.assertEqual(states["t1"], TargetState.READY)
        self.assertEqual(states["t2"], TargetState.DRAINING)


class DemandReportTests(PausedClockTestCase):
    """Demand measured at the homes and added up at the leader."""

    async def test_old_loads_and_silent_entries_do_not_count(self) -> None:
        """Guards against targets rented for outdated demand figures."""
        clock = self.clock()
        member = FakeMember(machine_of(), clock)
        reports = DemandReports(member, clock)
        self.assertIsNone(reports.total())
        await asyncio.sleep(20.0)
        for entry, firm in (("e1", 5.0), ("e2", 7.0)):
            connection = SimpleNamespace(peer=entry)
            await reports._on_report(ReportDemand(firm, 1.0), connection)
            await asyncio.sleep(10.0)
        self.assertEqual(reports.total(), Demand(7.0, 1.0))

    async def test_loads_are_split_by_what_survives_a_loss(self) -> None:
        """Guards against firm requests planned on reclaimable targets."""
        clock = self.clock()
        home = TargetHome(InstanceId("e1"), None, clock, 6.0)
        now = clock.monotonic()
        for name, load in {
            "t1": Load(4, 100, 0.5, now, 6, 3),
            "t2": Load(0, 100, 0.5, now, 2, 99),
            "t3": Load(50, 100, 0.5, now - 100.0, 50, 0),
        }.items():
            home.track(TargetId(name), "i")
            home.renew(TargetId(name), "i", load)
        measured = DemandReporter(home, None).measure()
        self.assertEqual(measured, ReportDemand(7.0, 5.0))
