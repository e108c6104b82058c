"""Tests of evacuated data centres, without a network."""

import asyncio
import random
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    ConfigVersion,
    DataCentre,
    InstanceId,
    ModelName,
    Region,
    ServiceName,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import (
    EngineShape,
    RentalBounds,
    ServedService,
    ServingConfig,
)
from goldcrestyard.core.states import EvacuationState, TargetKind
from goldcrestyard.fleet.duties import Permit
from goldcrestyard.fleet.evacuations import slices
from goldcrestyard.fleet.evacuations.commands import (
    EndEvacuation,
    Evacuation,
    RequestEvacuation,
)
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.evacuations.orders import EvacuationOrders, EvacuationReport
from goldcrestyard.fleet.evacuations.running import (
    RunningChannel,
    RunningMerger,
    RunningRequests,
)
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.rentals.autoscaler import (
    RentalAutoscaler,
    RentalOrder,
    RentalOutcome,
)
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.stream_origins import StreamOrigin
from goldcrestyard.state.commands import Command, Rejected
from goldcrestyard.wire.codec import Codec
from tests.fakes.announcements import announce
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.targets import target

ZONE, OTHER = DataCentre("z"), DataCentre("y")
REQUEST, END = RequestEvacuation(ZONE, "one"), EndEvacuation(ZONE)
AGAIN = RequestEvacuation(ZONE, "two")
FORCE, ENDED = EvacuationState.IN_FORCE, EvacuationState.ENDED
EMPTY = ServingConfig(ConfigVersion(1), (), (), ())


@dataclass(frozen=True)
class SliceCase:
    """Commands at the times 1, 2, 3, and the evacuation that results."""

    name: str
    commands: tuple[Command, ...]
    expected: Evacuation | None


SLICE_CASES = [
    SliceCase("requested", (REQUEST,), Evacuation(ZONE, FORCE, "one", 1.0, None)),
    SliceCase("repeated", (REQUEST, AGAIN), Evacuation(ZONE, FORCE, "one", 1.0, None)),
    SliceCase("ended", (REQUEST, END), Evacuation(ZONE, ENDED, "one", 1.0, 2.0)),
    SliceCase(
        "ended_twice", (REQUEST, END, END), Evacuation(ZONE, ENDED, "one", 1.0, 2.0)
    ),
    SliceCase("never_requested", (END,), None),
    SliceCase(
        "requested_anew",
        (REQUEST, END, AGAIN),
        Evacuation(ZONE, FORCE, "two", 3.0, 2.0),
    ),
    SliceCase("of_another", (RequestEvacuation(OTHER, "one"),), None),
]


class SliceTests(PausedClockTestCase):
    """Guards against evacuations that are lost, moved or never end."""

    @parameterized.expand([(case.name, case) for case in SLICE_CASES])
    async def test_commands(self, _: str, case: SliceCase) -> None:
        machine = machine_of(EvacuationsSlice)
        for time, command in enumerate(case.commands, 1):
            apply(machine, command, time=float(time))
        restored = EvacuationsSlice()
        restored.load_snapshot(machine.get(EvacuationsSlice).to_snapshot())
        for kept in (machine.get(EvacuationsSlice), restored):
            self.assertEqual(case.expected, kept.evacuations_by_data_centre.get(ZONE))
            in_force = case.expected is not None and case.expected.state is FORCE
            self.assertEqual(in_force, ZONE in kept.evacuated)

    async def test_snapshots_hold_the_slice_once_it_is_used(self) -> None:
        """A release without evacuations cannot read a snapshot with them."""
        machine = machine_of(EvacuationsSlice)
        self.assertEqual(machine.to_snapshots(), {})
        apply(machine, REQUEST)
        apply(machine, END)
        self.assertEqual(list(machine.to_snapshots()), [EvacuationsSlice.name])

    async def test_number_of_data_centres_is_bounded(self) -> None:
        machine = machine_of(EvacuationsSlice)
        outcomes = [
            apply(machine, RequestEvacuation(DataCentre(str(number)), "one")).outcome
            for number in range(slices.MAX_DATA_CENTRES + 1)
        ]
        self.assertIsInstance(outcomes.pop(), Rejected)
        self.assertFalse(any(isinstance(each, Rejected) for each in outcomes))


@dataclass(frozen=True)
class ChoiceCase:
    """Arguments of a choice of a target for a request of one kind."""

    name: str
    arguments: dict[str, object]


CHOICE_CASES = [
    ChoiceCase("call", {}),
    ChoiceCase("hedge", {"hedge": True}),
    ChoiceCase("reward_call", {"with_free_slot": True}),
    ChoiceCase(
        "stream",
        {"origin": StreamOrigin(ServiceName("quotes"), target("a").software)},
    ),
]


class ChoiceTests(PausedClockTestCase):
    """Guards against requests to targets of an evacuated data centre."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(TargetsSlice, EvacuationsSlice)
        self.exclusions = TargetExclusions(
            self.machine.get(EvacuationsSlice), lambda each: each.id == "leaver"
        )
        for name, zone in (("a", ZONE), ("b", OTHER), ("leaver", OTHER)):
            announce(
                self.machine.get(TargetsSlice), replace(target(name), data_centre=zone)
            )
        self.router = CallRouter(
            self.machine.get(TargetsSlice),
            CallerLocation(ZONE, Region("r")),
            self.clock(),
            random.Random(1),
            is_excluded=self.exclusions.includes,
        )

    def _chosen(self, case: ChoiceCase) -> set[str]:
        tried: set[object] = set()
        while (
            chosen := self.router.choose(
                ServiceName("quotes"),
                tried,  # type: ignore[arg-type]
                **case.arguments,  # type: ignore[arg-type]
            )
        ) is not None and chosen.id not in tried:
            tried.add(chosen.id)
        return set(map(str, tried))

    @parameterized.expand([(case.name, case) for case in CHOICE_CASES])
    async def test_choice(self, _: str, case: ChoiceCase) -> None:
        self.assertEqual({"a", "b"}, self._chosen(case))
        apply(self.machine, REQUEST)
        self.assertEqual({"b"}, self._chosen(case))
        self.assertFalse(self.router.all_leaving(ServiceName("quotes")))
        apply(self.machine, RequestEvacuation(OTHER, "one"))
        self.assertEqual(set(), self._chosen(case))
        self.assertTrue(self.router.all_leaving(ServiceName("quotes")))
        apply(self.machine, END)
        self.assertEqual({"a"}, self._chosen(case))


class OrdersTestCase(PausedClockTestCase):
    """A leader that knows one data centre."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(EvacuationsSlice, ServingSlice)
        self.member = FakeMember(self.machine, self.clock())
        codec = Codec()
        codec.register(RunningRequests)
        evacuations = self.machine.get(EvacuationsSlice)
        self.on_leader = TargetExclusions(evacuations, lambda _: False)
        self.on_entry = TargetExclusions(evacuations, lambda _: False)
        self.merger = RunningMerger(self.on_leader, codec, self.clock())
        self.channel = RunningChannel(self.on_entry, codec)
        self.orders = EvacuationOrders(self.member, {ZONE}, self.merger)  # type: ignore[arg-type]

    def renew(self) -> None:
        digest = self.channel.collect()
        if digest is not None:
            self.merger.merge(InstanceId("front"), digest)

    def running(self) -> int:
        report = self.orders.report(ZONE)
        assert isinstance(report, EvacuationReport)
        return report.running


class OrdersTests(OrdersTestCase):
    """Guards against answers that state what is not committed."""

    @parameterized.expand(
        [
            ("known", ZONE, True, True, None),
            ("unknown", OTHER, True, True, RefusalReason.NOT_FOUND),
            ("unknown_before_a_document", OTHER, False, True, RefusalReason.NO_LEADER),
            ("known_before_a_document", ZONE, False, True, None),
            ("without_leader", ZONE, True, False, RefusalReason.NO_LEADER),
        ]
    )
    async def test_answer(
        self,
        _: str,
        zone: DataCentre,
        configured: bool,
        leads: bool,
        expected: RefusalReason | None,
    ) -> None:
        if configured:
            apply(self.machine, PutServing(EMPTY, b""))
        self.member.is_leader = leads
        for order in (self.orders.request, self.orders.request, self.orders.end):
            refusal = await order(zone, "one")
            self.assertEqual(expected, None if refusal is None else refusal.reason)
            evacuated = self.machine.get(EvacuationsSlice).evacuated
            in_force = order == self.orders.request and expected is None
            self.assertEqual(in_force, zone in evacuated)

    async def test_report_counts_the_requests_of_all_processes(self) -> None:
        self.assertEqual(EvacuationReport(None, 0), self.orders.report(ZONE))
        self.assertIsInstance(self.orders.report(OTHER), Refusal)
        there = replace(target("a"), data_centre=ZONE)
        with self.on_leader.running(there), self.on_entry.running(there):
            self.renew()
            self.assertIsNone(self.channel.collect())
            await self.orders.request(ZONE, "one")
            self.renew()
            self.assertEqual(2, self.running())
            # An entry that has ended reports nothing more.
            await asyncio.sleep(5.0)
            self.assertEqual(1, self.running())
        self.renew()
        self.assertEqual(0, self.running())


class FakeRentalApi:
    """Accepts and records all orders."""

    def __init__(self) -> None:
        self.orders: list[RentalOrder] = []

    async def rent(self, order: RentalOrder, permit: Permit) -> RentalOutcome:
        self.orders.append(order)
        return RentalOutcome.ACCEPTED


class RentalTests(PausedClockTestCase):
    """Guards against rented targets that get no requests."""

    @parameterized.expand([("calm", False), ("evacuated", True)])
    async def test_orders(self, _: str, evacuated: bool) -> None:
        quiet_logs(self)
        machine = machine_of(EvacuationsSlice, JobsSlice, ServingSlice, TargetsSlice)
        name = ServiceName("engines")
        service = ServedService(
            name,
            EngineShape(8, (ModelName("m"),)),
            RentalBounds(1, 4, 1.0, None, {ZONE: 1.0, OTHER: 1.0}),
        )
        config = replace(EMPTY, services=(service,))
        apply(machine, PutServing(config, b""))
        if evacuated:
            apply(machine, REQUEST)
        member, api = FakeMember(machine, self.clock()), FakeRentalApi()
        autoscaler = RentalAutoscaler(member, api, 1.0, self.clock())  # type: ignore[arg-type]
        task = asyncio.create_task(autoscaler.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(5.0)
        places = {order.data_centre for order in api.orders}
        self.assertEqual({OTHER} if evacuated else {ZONE, OTHER}, places)

    async def test_targets_there_are_not_counted(self) -> None:
        machine = machine_of(EvacuationsSlice, JobsSlice, ServingSlice, TargetsSlice)
        engine = target("e", "engines", TargetKind.ENGINE)
        there: Target = replace(engine, data_centre=ZONE)
        announce(machine.get(TargetsSlice), there)
        member = FakeMember(machine, self.clock())
        autoscaler = RentalAutoscaler(member, FakeRentalApi(), 1.0, self.clock())  # type: ignore[arg-type]
        self.assertIn(ZONE, autoscaler._count_targets(ServiceName("engines")))
        apply(machine, REQUEST)
        self.assertEqual({}, autoscaler._count_targets(ServiceName("engines")))
