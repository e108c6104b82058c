"""Tests of cold targets: who knows of them, and who sends how much."""

import asyncio
from dataclasses import dataclass, replace

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.core.ids import (
    ConfigVersion,
    InstanceId,
    RequestRate,
    ServiceName,
    TargetId,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServedService, ServingConfig
from goldcrestyard.fleet.evacuations.commands import EndEvacuation, RequestEvacuation
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.limits.cold import (
    Cold,
    ColdChannel,
    ColdMerger,
    ColdTargets,
    HeardFromLeader,
    HeardFromTargets,
    Uncertain,
    Warm,
)
from goldcrestyard.fleet.limits.known import KnownLimits
from goldcrestyard.fleet.limits.messages import MESSAGES
from goldcrestyard.fleet.limits.permits import (
    IssuedByLeader,
    IssuedHere,
    PermitIssuer,
    PermitSource,
    TargetPermits,
)
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fleet.test_limits import LeaderStub
from tests.policy.test_heartbeats import HEARTBEAT

COLD_SECONDS = 8.0
RATE = 12.0
MOST_IN_A_SECOND = 23
ENTRIES = 3


class Entry:
    """An entry with its copy of the state, and its part of the renewals."""

    def __init__(self, test: "ColdTestCase") -> None:
        self.test = test
        self.renewed_at = float("-inf")
        self.machine = test.new_machine()
        self.cold = ColdTargets(
            self.machine,
            HeardFromLeader(lambda: test.now() - self.renewed_at),
            ColdTargetSettings(),
            test.clock(),
        )
        self.channel = ColdChannel(self.cold, test.codec)
        self.permits = test.new_permits(
            self.cold,
            IssuedByLeader(test.link),  # type: ignore[arg-type]
        )

    def renew(self) -> None:
        sent_at = self.test.now()
        digest = self.channel.collect()
        if digest is None:
            return
        self.renewed_at = sent_at
        name = InstanceId("front")
        self.test.merger.merge(name, digest)
        self.channel.receive(self.test.merger.summary(name))


class ColdTestCase(PausedClockTestCase):
    """A leader and entries with one target, of a service with a cold rate."""

    cold_per_second = RATE

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.codec = Codec()
        for message in MESSAGES:
            self.codec.register(message)
        self.machines: list[StateMachine] = []
        machine = self.new_machine()
        self.member = FakeMember(machine, self.clock())
        self.member.lead(1)
        self.tracker = TargetTracker(self.member, {}, 1.0, self.clock())  # type: ignore[arg-type]
        self.handlers = Handlers()
        self.link = LeaderStub(self.handlers)
        self.cold = ColdTargets(
            machine,
            HeardFromTargets(self.tracker.cold_seconds_left),
            ColdTargetSettings(),
            self.clock(),
        )
        known = KnownLimits(FleetMetrics(CollectorRegistry()), self.clock())
        self.issuer = PermitIssuer(self.member, known, self.cold, self.clock())  # type: ignore[arg-type]
        self.issuer.register(self.handlers)
        self.merger = ColdMerger(self.cold, self.codec, self.clock())
        self.permits = self.new_permits(self.cold, IssuedHere(self.issuer))
        self.entries = [Entry(self) for _ in range(ENTRIES)]
        self.sequence = 0
        self.sent_at: list[float] = []
        self.config(self.cold_per_second)

    def now(self) -> float:
        return self.clock().monotonic()

    def new_machine(self) -> StateMachine:
        machine = machine_of(EvacuationsSlice, ServingSlice, TargetsSlice)
        self.machines.append(machine)
        return machine

    def new_permits(self, cold: ColdTargets, source: PermitSource) -> TargetPermits:
        metrics = FleetMetrics(CollectorRegistry())
        known = KnownLimits(metrics, self.clock())
        return TargetPermits(known, cold, source, metrics, self.clock())

    def apply(self, command: object) -> None:
        """Apply a command on the leader and on all entries."""
        for machine in self.machines:
            apply(machine, command, time=self.clock().wall())  # type: ignore[arg-type]

    def config(self, rate: float) -> None:
        service = ServedService(
            ServiceName("quotes"),
            cold_seconds=COLD_SECONDS,
            cold_per_second=RequestRate(rate),
        )
        config = ServingConfig(ConfigVersion(1), services=(service,))
        self.apply(PutServing(config, b""))

    async def beat(self, cold_seconds_left: float = 0.0) -> Target:
        """Let the target report, and pass on what the leader commits."""
        self.sequence += 1
        before = len(self.member.proposed)
        beat = replace(
            HEARTBEAT, sequence=self.sequence, cold_seconds_left=cold_seconds_left
        )
        self.assertIsNone(await self.tracker.heartbeat(beat))
        for command in self.member.proposed[before:]:
            for entry in self.entries:
                apply(entry.machine, command, time=self.clock().wall())
        found = self.member.machine.get(TargetsSlice).find(TargetId("t"))
        assert found is not None
        return found

    def renew(self) -> None:
        for entry in self.entries:
            entry.renew()

    async def live(self, seconds: float) -> None:
        """Let heartbeats and renewals go on for some seconds."""
        until = self.now() + seconds
        while self.now() < until:
            await self.beat()
            self.renew()
            await asyncio.sleep(0.4)


class WarmthTests(ColdTestCase):
    """Guards against processes that do not know of a cold target."""

    def warmth(self) -> set[type]:
        target = self.member.machine.get(TargetsSlice).find(TargetId("t"))
        assert target is not None
        colds = [self.cold, *(entry.cold for entry in self.entries)]
        return {type(cold.warmth(target)) for cold in colds}

    async def test_target_is_cold_from_its_announcement(self) -> None:
        self.renew()
        await self.beat()
        self.assertEqual({Cold}, self.warmth())
        await self.live(COLD_SECONDS - 0.5)
        self.assertEqual({Cold}, self.warmth())
        await self.live(2.0)
        self.assertEqual({Warm}, self.warmth())

    async def test_target_becomes_cold_again(self) -> None:
        self.renew()
        await self.live(COLD_SECONDS + 2.0)
        await self.beat(3.0)
        self.renew()
        self.assertEqual({Cold}, self.warmth())
        await asyncio.sleep(1.5)
        self.assertEqual({Cold}, self.warmth())
        await self.live(2.5)
        self.assertEqual({Warm}, self.warmth())

    async def test_target_is_cold_after_an_evacuation(self) -> None:
        self.renew()
        await self.live(COLD_SECONDS + 2.0)
        self.apply(RequestEvacuation(HEARTBEAT.data_centre, "one"))
        self.apply(EndEvacuation(HEARTBEAT.data_centre))
        self.assertEqual({Cold}, self.warmth())
        await self.live(COLD_SECONDS - 1.0)
        # An order that is sent again does not begin the time anew.
        self.apply(EndEvacuation(HEARTBEAT.data_centre))
        await self.live(2.0)
        self.assertEqual({Warm}, self.warmth())

    async def test_entry_without_the_leader_is_uncertain(self) -> None:
        target = await self.beat()
        entry = self.entries[0]
        self.assertIsInstance(entry.cold.warmth(target), Uncertain)
        await self.live(COLD_SECONDS + 2.0)
        self.assertIsInstance(entry.cold.warmth(target), Warm)
        await asyncio.sleep(2.5)
        self.assertIsInstance(entry.cold.warmth(target), Uncertain)
        asked = self.link.asked
        self.assertIsNotNone(await entry.permits.acquire(target))
        self.assertEqual(asked, self.link.asked)
        entry.renew()
        self.assertIsNone(await entry.permits.acquire(target))

    async def test_new_leader_waits_for_the_heartbeat(self) -> None:
        target = await self.beat()
        await self.live(COLD_SECONDS + 2.0)
        self.member.lead(2)
        self.assertIsInstance(self.cold.warmth(target), Cold)
        await self.beat()
        self.assertIsInstance(self.cold.warmth(target), Warm)


class WithoutRateTests(ColdTestCase):
    """Guards against changes for services that name no rate."""

    cold_per_second = 0.0

    async def test_nothing_changes(self) -> None:
        target = await self.beat(5.0)
        for entry in self.entries:
            self.assertIsNone(entry.channel.collect())
            self.assertIsInstance(entry.cold.warmth(target), Warm)
            self.assertIsNone(await entry.permits.acquire(target))
        self.assertIsNone(self.permits.available(target))
        self.assertIsNone(await self.permits.acquire(target))
        self.assertEqual(0, self.link.asked)


@dataclass(frozen=True)
class FloodCase:
    """What happens while all processes send what they can."""

    name: str
    terms: tuple[int, ...] = ()
    """Terms of the leaders that follow, one in each second."""


class FloodTests(ColdTestCase):
    """Guards against processes that together send more than the bound."""

    async def _flood(self, permits: TargetPermits, target: Target) -> None:
        while True:
            outcome = await permits.acquire(target)
            if outcome is None:
                self.sent_at.append(self.now())
            await asyncio.sleep(0.005)

    @parameterized.expand(
        [
            (case.name, case)
            for case in (FloodCase("calm"), FloodCase("leaders", (2, 3, 4)))
        ]
    )
    async def test_any_second(self, _: str, case: FloodCase) -> None:
        self.renew()
        target = await self.beat()
        permits = [self.permits, *(entry.permits for entry in self.entries)]
        tasks = [asyncio.create_task(self._flood(each, target)) for each in permits]
        for term in case.terms:
            await self.live(1.0)
            self.member.lead(term)
        await self.live(COLD_SECONDS - 1.5 - len(case.terms))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for begin in self.sent_at:
            within = sum(begin <= at < begin + 1.0 for at in self.sent_at)
            self.assertLessEqual(within, MOST_IN_A_SECOND)
        self.assertGreater(len(self.sent_at), 0.6 * RATE * (COLD_SECONDS - 1.5))
