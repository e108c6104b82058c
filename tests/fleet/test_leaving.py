"""Tests of targets that say in their answers that they leave."""

import asyncio
import random
from dataclasses import dataclass, replace

import structlog
from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import TargetState
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.gateway.calls import CallRunner
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.gateway.streams import StreamRunner
from goldcrestyard.fleet.leaving.drainer import LeavingDrainer
from goldcrestyard.fleet.leaving.known import (
    LeavingChannel,
    LeavingMerger,
    LeavingTargets,
)
from goldcrestyard.fleet.leaving.messages import MESSAGES, LeavingRecord
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.plugins.targets.commands import RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.wire.codec import Codec
from tests.fakes.announcements import announce
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import entry_view, request, request_guard
from tests.fakes.targets import (
    FULL,
    RESET,
    Answers,
    Behaviour,
    FakeTargetClient,
    Hangs,
    Streams,
    target,
)
from tests.policy.test_heartbeats import HEARTBEAT

T = TargetId("t")


class LeavingTestCase(PausedClockTestCase):
    """A leader and an entry that know the target ``t``."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(TargetsSlice)
        self.targets = self.machine.get(TargetsSlice)
        self.member = FakeMember(self.machine, self.clock())
        self.tracker = TargetTracker(self.member, {}, 1.0, self.clock())  # type: ignore[arg-type]
        await self.beat()
        codec = Codec()
        for message in MESSAGES:
            codec.register(message)
        self.on_leader = LeavingTargets(self.targets, self.clock())
        self.on_entry = LeavingTargets(self.targets, self.clock())
        self.channel = LeavingChannel(self.on_entry, codec)
        self.merger = LeavingMerger(self.on_leader, codec)

    async def beat(self, sequence: int = 1, **changes: object) -> None:
        beat = replace(HEARTBEAT, sequence=sequence, **changes)  # type: ignore[arg-type]
        self.assertIsNone(await self.tracker.heartbeat(beat))

    def renew(self) -> None:
        self.merger.merge(InstanceId("front"), self.channel.collect())

    def lead(self) -> None:
        drainer = LeavingDrainer(self.member, self.on_leader)  # type: ignore[arg-type]
        task = asyncio.create_task(drainer.run())
        self.addCleanup(task.cancel)

    def serving(self) -> list[str]:
        return [target.id for target in self.targets.serving("quotes")]


class DrainTests(LeavingTestCase):
    """Guards against targets that only one entry avoids, or that come back."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        known = self.targets.find(T)
        assert known is not None
        self.known = known

    async def test_leader_drains_what_an_entry_has_seen(self) -> None:
        self.lead()
        self.on_entry.observe(self.known, 0.1)
        self.assertTrue(self.on_entry.includes(self.known))
        self.renew()
        await asyncio.sleep(0.1)
        self.assertEqual([], self.serving())
        # Once it is drained there is nothing left to report.
        self.assertEqual([], self.on_entry.undrained())

    async def test_target_is_not_removed(self) -> None:
        """Guards against an end of a target that the leader still hears."""
        self.lead()
        self.on_entry.observe(self.known, 0.1)
        self.renew()
        await asyncio.sleep(0.1)
        drained = self.targets.find(T)
        assert drained is not None
        self.assertIs(TargetState.DRAINING, drained.state)

    async def test_later_heartbeats_do_not_take_it_back(self) -> None:
        self.lead()
        self.on_entry.observe(self.known, 0.1)
        self.renew()
        await asyncio.sleep(0.1)
        await self.beat(2)
        lost = RemoveTarget(T, self.known.incarnation, TargetState.LOST)
        apply(self.machine, lost)
        await self.beat(3)
        self.assertEqual([], self.serving())

    async def test_lost_target_that_comes_back_is_drained(self) -> None:
        """Guards against a report that comes while the target is unknown."""
        self.lead()
        lost = RemoveTarget(T, self.known.incarnation, TargetState.LOST)
        apply(self.machine, lost)
        self.on_entry.observe(self.known, 0.1)
        self.renew()
        await self.beat(2)
        self.assertEqual(["t"], self.serving())
        self.renew()
        await asyncio.sleep(0.1)
        self.assertEqual([], self.serving())

    async def test_new_leader_drains_what_its_predecessor_could_not(self) -> None:
        self.member.is_leader = False
        self.lead()
        self.on_entry.observe(self.known, 0.1)
        self.renew()
        await asyncio.sleep(1.0)
        self.assertEqual(["t"], self.serving())
        self.member.lead(2)
        await asyncio.sleep(0.5)
        self.assertEqual([], self.serving())

    async def test_next_run_is_not_drained(self) -> None:
        self.lead()
        self.on_entry.observe(self.known, 0.1)
        self.renew()
        await asyncio.sleep(0.1)
        started = int(self.clock().wall() * 1000) + 500
        await self.beat(started_at_ms=started)
        self.renew()
        self.on_leader.adopt([LeavingRecord(T, self.known.incarnation)])
        await asyncio.sleep(1.0)
        self.assertEqual(["t"], self.serving())

    async def test_next_run_that_had_answered_is_avoided_here_only(self) -> None:
        """An entry that was cut off did not know of the run that answered."""
        self.lead()
        await asyncio.sleep(10.0)
        self.on_entry.observe(self.known, 0.1)
        await self.beat(started_at_ms=int(self.clock().wall() * 1000) - 5000)
        next_run = self.targets.find(T)
        assert next_run is not None
        self.assertTrue(self.on_entry.includes(next_run))
        self.renew()
        await asyncio.sleep(1.0)
        self.assertEqual(["t"], self.serving())

    async def test_leaving_of_all_targets_is_logged(self) -> None:
        other = replace(self.known, id=TargetId("u"), address="u:80")
        announce(self.targets, other)
        structlog.reset_defaults()
        with structlog.testing.capture_logs() as lines:
            self.on_entry.observe(self.known, 0.1)
            self.assertEqual(0, self.on_entry.count_services())
            self.on_entry.observe(other, 0.1)
        self.assertEqual(
            [("quotes", 2)],
            [
                (line["service"], line["targets"])
                for line in lines
                if line["event"] == "all ready targets of a service leave"
            ],
        )
        self.assertEqual(2, self.on_entry.count())
        self.assertEqual(1, self.on_entry.count_services())


@dataclass(frozen=True)
class SendCase:
    """A request, and what the targets that stay do with it."""

    name: str
    prefix: str
    behaviours: tuple[Behaviour, ...]


SEND_CASES = [
    SendCase("first_attempt", "/again/", (Answers(),)),
    SendCase("retry", "/again/", (RESET, FULL, RESET)),
    SendCase("hedge", "/again/", (Hangs(),)),
    SendCase("run_once", "/once/", (FULL, FULL, FULL)),
    SendCase("stream", "/stream/", (Streams(3),)),
    SendCase("resumed_stream", "/resumed/", (Streams(3, breaks_after=1), RESET, RESET)),
]


class _NoSink:
    async def begin(self, status: int, headers: object) -> None:
        pass

    async def write(self, data: bytes) -> None:
        pass


class SendingTests(PausedClockTestCase):
    """Guards against attempts at a target that has said that it leaves."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)

    async def _send(
        self, prefix: str, behaviours: tuple[Behaviour, ...], leaving: str
    ) -> object:
        clock = self.clock()
        view = entry_view(clock, ("a", "b", "c"))
        targets = view.machine.get(TargetsSlice)
        known = LeavingTargets(targets, clock)
        for name in leaving:
            known.observe(target(name), 0.0)
        shared = list(behaviours)
        self.client = FakeTargetClient(dict.fromkeys("abc", shared))
        admission = Admission(view, clock)
        router = CallRouter(
            targets,
            CallerLocation(target("a").data_centre, target("a").region),
            clock,
            random.Random(1),
            is_excluded=known.includes,
        )
        admitted = admission.admit(request(prefix), clock.monotonic())
        assert isinstance(admitted, AdmittedRequest)
        guard = request_guard(view, self.client, clock)
        common = (admission, router, self.client, guard, UsageMeter(5.0), clock)
        if prefix in ("/stream/", "/resumed/"):
            return await StreamRunner(*common).run(admitted, _NoSink())
        return await CallRunner(*common, random.Random(1)).answer(admitted)

    @parameterized.expand([(case.name, case) for case in SEND_CASES])
    async def test_target_is_not_asked(self, _: str, case: SendCase) -> None:
        await self._send(case.prefix, case.behaviours, "b")
        self.assertTrue(self.client.calls)
        self.assertNotIn("b", self.client.called_targets)

    @parameterized.expand([("/again/",), ("/once/",), ("/stream/",)])
    async def test_refused_at_once_if_all_leave(self, prefix: str) -> None:
        began = self.clock().monotonic()
        refusal = await self._send(prefix, (Answers(),), "abc")
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (RefusalReason.CAPACITY, Verdict.NOT_RUN),
            (refusal.reason, refusal.verdict),
        )
        self.assertGreater(refusal.retry_after_seconds or 0.0, 0.0)
        self.assertEqual([], self.client.calls)
        self.assertEqual(began, self.clock().monotonic())
