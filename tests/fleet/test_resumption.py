"""Tests of the records of the software versions that began streams."""

import asyncio
from dataclasses import dataclass, replace
from unittest.mock import patch

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.core.ids import (
    ConfigVersion,
    EventNumber,
    OrganisationId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamDigest,
)
from goldcrestyard.core.serving import RouteKind, ServingRoute, WeightedService
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.resumption import slices
from goldcrestyard.fleet.resumption.commands import (
    KeepOrigins,
    OriginGroup,
    OriginsSnapshot,
    to_groups,
)
from goldcrestyard.fleet.resumption.entry_side import StreamOrigins
from goldcrestyard.fleet.resumption.leader_side import OriginKeeper
from goldcrestyard.fleet.resumption.slices import StreamOriginsSlice
from goldcrestyard.fleet.resumption.take_up_window import SAMPLE_SECONDS
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.commands import AnnounceTarget, RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.stream_origins import (
    TAKE_UP_SECONDS,
    KnownOrigin,
    OnlyVersion,
    StreamOrigin,
    TakeUp,
    UnknownOrigin,
)
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, route
from tests.fakes.targets import target
from tests.fleet.test_limits import LeaderStub

ROUTE = route(RouteKind.STREAMING, "/talk/", resumable=True)
OTHER_ROUTE = replace(ROUTE, prefix="/other/")
SPLIT = replace(
    ROUTE, services=(*ROUTE.services, WeightedService(ServiceName("rest"), 1.0))
)
UNUSED_REST = replace(
    ROUTE, services=(*ROUTE.services, WeightedService(ServiceName("rest"), 0.0))
)
ONLY_REST = replace(
    ROUTE,
    services=(
        replace(ROUTE.services[0], weight=0.0),
        WeightedService(ServiceName("rest"), 1.0),
    ),
)
V1, V2 = (
    StreamOrigin(ServiceName("quotes"), SoftwareVersion(version))
    for version in ("v1", "v2")
)
TEJO, LIS = OrganisationId("tejo"), OrganisationId("lis")
FIRST, EVENT = RequestId("first"), EventNumber(5)


@dataclass(frozen=True)
class Case:
    """A take-up of a stream that ``tejo`` began on ``ROUTE`` at version 1."""

    name: str
    expected: object
    software: tuple[str, ...] = ("v1", "v2")
    asker: str = "other"
    """The entry that is asked: the one that served it, or another one."""
    organisation: OrganisationId | None = TEJO
    route: ServingRoute = ROUTE
    take_up: TakeUp = TakeUp(FIRST, EVENT)
    restart: bool = False
    """Whether all entries and control members start again before."""
    killed_after: float = 1.0
    """Time in seconds after the first event at which the serving entry is
    killed."""
    leader: bool = True


KNOWN, ONLY, UNKNOWN = KnownOrigin(V1), OnlyVersion(V1), UnknownOrigin()

CASES = [
    Case("own_stream", KNOWN, asker="served"),
    Case("own_stream_without_leader", KNOWN, asker="served", leader=False),
    Case("on_another_entry", KNOWN),
    Case("all_started_again", KNOWN, restart=True),
    Case("without_leader", UNKNOWN, leader=False),
    Case("killed_inside_the_window", UNKNOWN, killed_after=0.0),
    Case("foreign_organisation", UNKNOWN, organisation=LIS),
    Case("no_organisation", UNKNOWN, organisation=None),
    Case("foreign_route", UNKNOWN, route=OTHER_ROUTE),
    Case("unknown_attempt", UNKNOWN, take_up=TakeUp(RequestId("x"), EVENT)),
    Case("no_attempt", UNKNOWN, take_up=TakeUp(None, EVENT)),
    Case("no_number", UNKNOWN, take_up=TakeUp(FIRST, None)),
    Case("only_version", ONLY, ("v1",), take_up=TakeUp(None, EVENT)),
    Case("only_version_killed", ONLY, ("v1",), killed_after=0.0),
    Case("no_number_though_only", UNKNOWN, ("v1",), take_up=TakeUp(FIRST, None)),
    Case(
        "route_of_two_services",
        UNKNOWN,
        ("v1",),
        route=SPLIT,
        take_up=TakeUp(None, EVENT),
    ),
    Case(
        "other_service_has_weight_0",
        ONLY,
        ("v1",),
        route=UNUSED_REST,
        take_up=TakeUp(None, EVENT),
    ),
    Case("service_has_weight_0", UNKNOWN, route=ONLY_REST),
]


class TakeUpTests(PausedClockTestCase):
    """Guards against a version that is forgotten, or told to others."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.link = LeaderStub(Handlers())
        self._found_cluster()
        self._configure(1, (ROUTE, OTHER_ROUTE))

    def _found_cluster(self) -> None:
        """Let a member of a new cluster lead, without a configuration."""
        self.machine = machine_of(StreamOriginsSlice, ServingSlice, TargetsSlice)
        self.member = FakeMember(self.machine, self.clock())
        self.member.commit_seconds = 0.01
        self.keeper = OriginKeeper(self.member, self.clock())  # type: ignore[arg-type]
        handlers = Handlers()
        self.keeper.register(handlers)
        self.link.handlers = handlers
        self._start(self.keeper.run())
        self._start(self.keeper.watch_log_time())

    def _configure(
        self, version: int, routes: tuple[ServingRoute, ...], age: float = 1000.0
    ) -> None:
        """Apply a configuration as if it had been some seconds ago."""
        config = replace(CONFIG, version=ConfigVersion(version), routes=routes)
        time = self.clock().wall() - age
        apply(self.machine, PutServing(config, b""), time=time)

    def _start(self, work) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.addCleanup(task.cancel)
        return task

    def _entry(self, software: tuple[str, ...] = ("v1", "v2")) -> StreamOrigins:
        """Return an entry, with targets of some software at the leader."""
        for number, version in enumerate(software):
            self._announce(str(number), version)
        return StreamOrigins(
            self.link,  # type: ignore[arg-type]
            FleetMetrics(CollectorRegistry()),
            self.clock(),
        )

    def _announce(self, name: str, version: str) -> None:
        command = AnnounceTarget(target(name, software=version), "entry")
        apply(self.machine, command, time=self.clock().wall())

    async def _find(self, entry: StreamOrigins, case: Case) -> object:
        return await entry.find(
            case.route,  # type: ignore[arg-type]
            case.organisation,
            RequestId("second"),
            case.take_up,
        )

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_decision(self, _: str, case: Case) -> None:
        if case.route not in (ROUTE, OTHER_ROUTE):
            self._configure(2, (case.route,))
        served = self._entry(case.software)
        sending = self._start(served.run())
        served.note(ROUTE, TEJO, FIRST, V1)
        await asyncio.sleep(case.killed_after)
        sending.cancel()
        if case.restart:
            snapshot = self.member.machine.to_snapshots()
            self.member.machine.load_snapshots(snapshot, 1, 1)
        if not case.leader:
            self.link.leader = None
        asked = served if case.asker == "served" else self._entry(case.software)
        self.assertEqual(await self._find(asked, case), case.expected)

    async def test_record_on_its_way(self) -> None:
        """The leader is asked again before a stream is refused."""
        served, other = self._entry(), self._entry()
        served.note(ROUTE, TEJO, FIRST, V1)
        finding = asyncio.create_task(self._find(other, CASES[0]))
        await asyncio.sleep(0.03)
        self._start(served.run())
        self.assertEqual(await finding, KNOWN)

    async def test_sent_again_until_committed(self) -> None:
        served, other = self._entry(), self._entry()
        self.link.lost = True
        self._start(served.run())
        served.note(ROUTE, TEJO, FIRST, V1)
        await asyncio.sleep(1.0)
        self.assertEqual(self.member.proposed, [])
        self.link.lost = False
        await asyncio.sleep(1.0)
        self.assertEqual(await self._find(other, CASES[0]), KNOWN)

    async def test_many_streams_share_commands(self) -> None:
        """A hundred streams in a second of two entries are few log entries."""
        entries = [self._entry(), self._entry()]
        for entry in entries:
            self._start(entry.run())
        for number in range(100):
            attempt = RequestId(f"a{number}")
            entries[number % 2].note(ROUTE, TEJO, attempt, V1)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        kept = self.member.machine.get(StreamOriginsSlice)
        self.assertEqual(kept.count(), 100)
        self.assertLessEqual(len(self.member.proposed), 30)

    async def test_version_that_left(self) -> None:
        """It counts as long as callers may take its streams up."""
        entry = self._entry()
        case = replace(CASES[0], take_up=TakeUp(None, EVENT))
        remove = RemoveTarget("1", "1000", TargetState.LEFT)
        apply(self.machine, remove, time=self.clock().wall())
        self.assertEqual(await self._find(entry, case), UNKNOWN)
        await asyncio.sleep(TAKE_UP_SECONDS - 1)
        self.assertEqual(await self._find(entry, case), UNKNOWN)
        await asyncio.sleep(1 + 2 * SAMPLE_SECONDS)
        self.assertEqual(await self._find(entry, case), ONLY)

    @parameterized.expand(
        [
            ("recorded", True, True, KnownOrigin(V2)),
            ("not_recorded", False, True, UNKNOWN),
            ("no_leader", True, False, UNKNOWN),
            ("no_leader_and_not_recorded", False, False, UNKNOWN),
        ]
    )
    async def test_version_has_just_joined(
        self, _: str, is_recorded: bool, leader: bool, expected: object
    ) -> None:
        """Guards against an entry that has not heard of another version.

        It went on with the version that it knew, though its lease held.
        """
        served, asked = self._entry(("v1",)), self._entry(())
        await asyncio.sleep(TAKE_UP_SECONDS + 1)
        self.assertEqual(await self._find(asked, CASES[0]), ONLY)
        self._announce("2", "v2")
        if is_recorded:
            self._start(served.run())
        served.note(ROUTE, TEJO, FIRST, V2)
        await asyncio.sleep(1.0)
        self.link.leader = self.link.leader if leader else None
        self.assertEqual(await self._find(asked, CASES[0]), expected)

    async def test_leader_that_is_behind(self) -> None:
        """Guards against the answer of a member that has lost its lease."""
        entry = self._entry(("v1",))
        self.member.lease = False
        self.assertEqual(await self._find(entry, CASES[0]), UNKNOWN)

    async def test_new_leader_with_a_clock_ahead(self) -> None:
        """Guards against a version that has left and counts as long gone."""
        entry = self._entry()
        case = replace(CASES[0], take_up=TakeUp(None, EVENT))
        follower = OriginKeeper(self.member, self.clock())  # type: ignore[arg-type]
        self._start(follower.watch_log_time())
        await asyncio.sleep(100.0)
        now = self.clock().wall()
        remove = RemoveTarget("1", "1000", TargetState.LEFT)
        apply(self.machine, remove, time=now)
        await asyncio.sleep(20.0)
        handlers = Handlers()
        follower.register(handlers)
        self.link.handlers = handlers
        command = AnnounceTarget(target("0", software="v1"), "entry")
        apply(self.machine, command, time=now + 2000.0)
        self.assertEqual(await self._find(entry, case), UNKNOWN)

    @parameterized.expand(
        [
            ("stands_still", 0.0, 0.0),
            ("jumps_after_the_departure", 1.0, 2000.0),
            ("back_after_a_jump", 1.0, 0.5),
        ]
    )
    async def test_time_of_the_log(self, _: str, rate: float, offset: float) -> None:
        """A version that left 20 s ago counts, whatever the clocks."""
        entry = self._entry()
        case = replace(CASES[0], take_up=TakeUp(None, EVENT))
        start = self.clock().wall()
        self.assertEqual(await self._find(entry, case), UNKNOWN)
        await asyncio.sleep(100.0)
        remove = RemoveTarget("1", "1000", TargetState.LEFT)
        apply(self.machine, remove, time=start + 100.0 * rate)
        self.assertEqual(await self._find(entry, case), UNKNOWN)
        await asyncio.sleep(20.0)
        command = AnnounceTarget(target("0", software="v1"), "entry")
        apply(self.machine, command, time=start + 120.0 * rate + offset)
        self.assertEqual(await self._find(entry, case), UNKNOWN)

    @parameterized.expand(
        [
            ("unchanged", [("/talk/", "quotes")], ONLY),
            ("moved", [("/talk/", "rest")], UNKNOWN),
            ("was_split", [("/talk/", "quotes", "rest")], UNKNOWN),
            ("added", [], ONLY),
            ("added_again", [], UNKNOWN, [("/talk/", "rest")]),
            ("added_in_place_of_another", [], UNKNOWN, [("/talk/a/", "rest")]),
            ("added_below", [("/", "rest")], UNKNOWN),
            (
                "longer_one_removed",
                [("/talk/", "quotes"), ("/talk/a/", "rest")],
                UNKNOWN,
            ),
            (
                "other_one_moved",
                [("/talk/", "quotes"), ("/other/", "rest")],
                ONLY,
            ),
        ]
    )
    async def test_route_changed(self, _: str, before, expected, first=None) -> None:
        """A service's only version did not begin another one's streams."""
        self._found_cluster()
        self._configure(1, CONFIG.routes)
        entry = self._entry(("v1",))
        case = replace(CASES[0], take_up=TakeUp(None, EVENT))
        configurations = [
            (100.0, before if first is None else first),
            (5.0, before),
            (0.0, [("/talk/", "quotes"), ("/other/", "quotes")]),
        ]
        for version, (age, routes) in enumerate(configurations, 2):
            present = tuple(
                replace(
                    ROUTE,
                    prefix=prefix,
                    services=tuple(
                        WeightedService(ServiceName(service), 1.0)
                        for service in services
                    ),
                )
                for prefix, *services in routes
            )
            self._configure(version, present, age)
        serving = self.machine.get(ServingSlice)
        serving.load_snapshot(serving.to_snapshot())
        self.assertEqual(await self._find(entry, case), expected)
        await asyncio.sleep(TAKE_UP_SECONDS + 2 * SAMPLE_SECONDS)
        self.assertEqual(await self._find(entry, case), ONLY)

    async def test_leader_with_a_snapshot_only(self) -> None:
        """A leader that has just started knows the only version."""
        entry = self._entry(())
        case = replace(CASES[0], take_up=TakeUp(None, EVENT))
        announce = AnnounceTarget(target("0", software="v1"), "entry")
        for time in (0.0, self.clock().wall()):
            apply(self.machine, announce, time=time)
            self.assertEqual(await self._find(entry, case), ONLY)
            await asyncio.sleep(1.0)


class SliceTests(PausedClockTestCase):
    """Guards against records without bounds, or that a restart changes."""

    def _stream(self, number: int) -> StreamDigest:
        return StreamDigest(number.to_bytes(16))

    async def test_bounds_and_snapshot(self) -> None:
        machine = machine_of(StreamOriginsSlice)
        kept = machine.get(StreamOriginsSlice)
        self.enterContext(patch.object(slices, "MAX_STREAMS", 3))
        for number in range(5):
            command = KeepOrigins(to_groups([(self._stream(number), V1)]))
            apply(machine, command, time=EPOCH + number)
        apply(
            machine,
            KeepOrigins(to_groups([(self._stream(3), V2)])),
            time=EPOCH + 5,
        )
        found = [kept.find(self._stream(number)) for number in range(5)]
        ambiguous = StreamOrigin(V1.service, SoftwareVersion(""))
        self.assertEqual(found, [None, None, V1, ambiguous, V1])
        codec = Codec()
        codec.register(OriginsSnapshot, OriginGroup)
        again = machine_of(StreamOriginsSlice)
        snapshot = codec.decode(codec.encode(kept.to_snapshot()))
        again.get(StreamOriginsSlice).load_snapshot(snapshot)
        self.assertEqual(
            again.get(StreamOriginsSlice).to_snapshot(), kept.to_snapshot()
        )
        # One command makes records older by a few seconds at most.
        for seconds in range(1, int(TAKE_UP_SECONDS)):
            apply(machine, KeepOrigins(()), time=EPOCH + 5 + seconds)
        self.assertNotEqual(kept.count(), 0)
        apply(machine, KeepOrigins(()), time=EPOCH + 5 + TAKE_UP_SECONDS + 1)
        self.assertEqual(kept.count(), 0)

    @parameterized.expand([("ahead", 2000.0), ("stands_still", 0.0)])
    async def test_time_jumps(self, _: str, seconds: float) -> None:
        """A new leader's clock does not make all streams forgotten."""
        machine = machine_of(StreamOriginsSlice)
        kept = machine.get(StreamOriginsSlice)
        command = KeepOrigins(to_groups([(self._stream(1), V1)]))
        apply(machine, command, time=EPOCH)
        kept.load_snapshot(kept.to_snapshot())
        for number in (2, 3):
            command = KeepOrigins(to_groups([(self._stream(number), V1)]))
            apply(machine, command, time=EPOCH + seconds)
        found = [kept.find(self._stream(number)) for number in (1, 2, 3)]
        self.assertEqual(found, [V1, V1, V1])
