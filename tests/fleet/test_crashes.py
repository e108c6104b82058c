"""Tests of requests that crash targets: detection, exchange and rejection."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.core.attempts import Broken
from goldcrestyard.core.calls import TargetCall, request_digest
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import TargetState
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.crashes.guard import END_SECONDS, RequestGuard
from goldcrestyard.fleet.crashes.messages import MESSAGES
from goldcrestyard.fleet.crashes.rejection import RequestRejection
from goldcrestyard.fleet.crashes.slices import CrashingRequestsSlice
from goldcrestyard.fleet.crashes.suspects import (
    Suspects,
    SuspectsChannel,
    SuspectsMerger,
)
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.gateway.calls import CallAnswer, CallRunner
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.gateway.streams import StreamRunner
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.plugins.targets.commands import DrainTarget, RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.crashing_requests import (
    HELD_SECONDS,
    REJECTED_SECONDS,
    TargetRun,
)
from goldcrestyard.wire.codec import Codec
from tests.fakes.announcements import announce
from tests.fakes.member import FakeMember
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import entry_view, request, request_guard
from tests.fakes.state import apply
from tests.fakes.targets import (
    Answers,
    Behaviour,
    Fails,
    FakeTargetClient,
    Hangs,
    Streams,
    target,
)

CRASH = Fails(Broken("connection reset"), 0.01)


def run(name: str) -> TargetRun:
    return TargetRun(target(name).id, target(name).incarnation)


class CrashesTestCase(PausedClockTestCase):
    """A site whose entries share one replicated state."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.view = entry_view(self.clock(), tuple("abcd"))
        self.targets = self.view.machine.get(TargetsSlice)
        self.committed = self.view.machine.get(CrashingRequestsSlice)
        self.client = FakeTargetClient({name: [Answers()] for name in "abcd"})
        self.codec = Codec()
        self.codec.register(*MESSAGES)
        self.admission = Admission(self.view, self.clock())
        self.deadly = self.admit("/again/")
        self.call = self.deadly.to_call()
        self.digest = request_digest(self.call)
        self.innocent = request_digest(replace(self.call, body=b"innocent"))
        self.suspects = self.new_suspects()
        self.guard = self.new_guard(self.suspects)

    def new_suspects(self) -> Suspects:
        metrics = FleetMetrics(CollectorRegistry())
        return Suspects(self.committed, metrics, self.clock())

    def new_guard(self, suspects: Suspects) -> RequestGuard:
        return request_guard(self.view, self.client, self.clock(), suspects)

    def admit(self, prefix: str) -> AdmittedRequest:
        admitted = self.admission.admit(request(prefix), self.clock().monotonic())
        assert isinstance(admitted, AdmittedRequest)
        return admitted

    async def commit(self, suspects: Suspects) -> FakeMember:
        """Let the leader decide on what it knows."""
        member = FakeMember(self.view.machine, self.clock())
        rejection = RequestRejection(member, suspects)  # type: ignore[arg-type]
        task = asyncio.create_task(rejection.run())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return member


@dataclass(frozen=True)
class BrokenCase:
    """What becomes of a target whose connection broke, and if it counts."""

    name: str
    before: Callable[["GuardTests"], None] = lambda _: None
    after: Callable[["GuardTests"], None] = lambda _: None
    crashed: bool = False


def _refuse(test: "GuardTests") -> None:
    test.client.gone.add("a")


def _drain(test: "GuardTests") -> None:
    apply(test.view.machine, DrainTarget(target("a").id, target("a").incarnation))
    _refuse(test)


def _remove(state: TargetState) -> Callable[["GuardTests"], None]:
    def remove(test: "GuardTests") -> None:
        a = target("a")
        apply(test.view.machine, RemoveTarget(a.id, a.incarnation, state))

    return remove


_lose = _remove(TargetState.LOST)


def _restart(test: "GuardTests") -> None:
    announce(test.targets, replace(target("a"), incarnation="2000"))


def _answer(test: "GuardTests") -> None:
    test.guard.watch(test.call).note_answer()
    _lose(test)


class GuardTests(CrashesTestCase):
    """Guards against suspicion for lost connections and planned ends."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                BrokenCase("refuses_connections", before=_refuse, crashed=True),
                BrokenCase("takes_connections"),
                BrokenCase("removed_before", before=_lose, crashed=True),
                BrokenCase("draining", before=_drain),
                BrokenCase("left_before", before=_remove(TargetState.LEFT)),
                BrokenCase("silent_then_lost", after=_lose, crashed=True),
                BrokenCase("restarted_under_its_id", after=_restart, crashed=True),
                BrokenCase("left_afterwards", after=_remove(TargetState.LEFT)),
                BrokenCase("answered_elsewhere_meanwhile", after=_answer),
            )
        ]
    )
    async def test_broken_connection(self, _: str, case: BrokenCase) -> None:
        case.before(self)
        await self.guard.watch(self.call).note_broken(target("a"))
        case.after(self)
        self.guard.resolve()
        self.assertEqual(int(case.crashed), self.suspects.crash_count(self.digest))

    async def test_target_that_ends_much_later_did_not_crash(self) -> None:
        await self.guard.watch(self.call).note_broken(target("a"))
        await asyncio.sleep(END_SECONDS + 1.0)
        self.guard.resolve()
        _lose(self)
        self.guard.resolve()
        self.assertEqual(0, self.suspects.crash_count(self.digest))


class ExchangeTests(CrashesTestCase):
    """Guards against crashes that the leader does not learn of."""

    def exchange(self, channel: SuspectsChannel, leader: Suspects) -> bytes:
        """Renew an entry's lease; return its digest."""
        merger = SuspectsMerger(leader, self.codec)
        digest = channel.collect()
        merger.merge(InstanceId("entry"), digest)
        channel.receive(merger.summary(InstanceId("entry")))
        return digest

    def channel(self, suspects: Suspects) -> SuspectsChannel:
        return SuspectsChannel(suspects, lambda: None, self.codec)

    async def test_crashes_of_all_entries_are_summed(self) -> None:
        leader = self.new_suspects()
        entries = [self.new_suspects() for _ in range(3)]
        channels = [self.channel(entry) for entry in entries]
        for entry, name in zip(entries, "abc", strict=True):
            entry.note_crash(self.digest, run(name), self.clock().monotonic())
        for channel in channels * 2:
            self.exchange(channel, leader)
        self.assertEqual([3, 3, 3], [e.crash_count(self.digest) for e in entries])
        member = await self.commit(leader)
        self.assertEqual(1, len(member.proposed))
        self.assertIsNotNone(self.new_suspects().refused_seconds_left(self.digest))

    async def test_new_leader_learns_what_entries_had_been_told(self) -> None:
        """The entry that saw the crashes is gone together with the leader."""
        first, second = self.new_suspects(), self.new_suspects()
        first.note_crash(self.digest, run("a"), self.clock().monotonic())
        channel = self.channel(self.suspects)
        self.exchange(channel, first)
        self.assertLess(len(self.exchange(channel, first)), 80)
        for _ in range(2):
            self.exchange(channel, second)
        self.assertEqual(1, second.crash_count(self.digest))

    async def test_answer_at_one_entry_clears_the_request_at_all(self) -> None:
        leader, other = self.new_suspects(), self.new_suspects()
        channels = [self.channel(self.suspects), self.channel(other)]
        for name in "ab":
            self.suspects.note_crash(self.digest, run(name), self.clock().monotonic())
        for channel in channels * 2:
            self.exchange(channel, leader)
        await asyncio.sleep(1.0)
        self.new_guard(other).watch(self.call).note_answer()
        for channel in channels[::-1] * 2:
            self.exchange(channel, leader)
        for suspects in (leader, other, self.suspects):
            self.assertEqual(0, suspects.crash_count(self.digest))

    async def test_innocent_request_beside_a_deadly_one_is_served(self) -> None:
        """Both were on three targets that crashed one after another."""
        now = self.clock().monotonic()
        for name in "abc":
            for digest in (self.digest, self.innocent):
                self.suspects.note_crash(digest, run(name), now)
        await self.commit(self.suspects)
        self.assertEqual(0, len(self.committed.rejected_by_request))
        self.suspects.note_crash(self.digest, run("d"), now)
        await self.commit(self.suspects)
        self.assertIsNone(self.guard.refusal(self.innocent))
        self.assertEqual(0, self.suspects.crash_count(self.innocent))
        self.assertIsNotNone(self.guard.refusal(self.digest))

    async def test_request_is_held_back_everywhere_after_two_crashes(self) -> None:
        """Guards against a third crash while the first targets are down."""
        for name in "ab":
            self.suspects.note_crash(self.digest, run(name), self.clock().monotonic())
        await self.commit(self.suspects)
        guard = self.new_guard(self.new_suspects())
        refusal = guard.refusal(self.digest)
        assert refusal is not None
        self.assertLessEqual(refusal.retry_after_seconds or 0.0, 2 * HELD_SECONDS)
        await asyncio.sleep(2 * HELD_SECONDS + 1.0)
        self.assertIsNone(guard.refusal(self.digest))
        self.assertTrue(guard.is_suspect(self.digest))

    async def test_rejection_survives_a_snapshot_and_ends_in_time(self) -> None:
        for name in "abc":
            self.suspects.note_crash(self.digest, run(name), 0.0)
        await self.commit(self.suspects)
        self.committed.load_snapshot(self.committed.to_snapshot())
        refusal = self.guard.refusal(self.digest)
        assert refusal is not None
        self.assertAlmostEqual(
            REJECTED_SECONDS, refusal.retry_after_seconds or 0.0, delta=1.0
        )
        await asyncio.sleep(REJECTED_SECONDS + 1.0)
        self.assertIsNone(self.guard.refusal(self.digest))
        self.suspects.note_crash(self.digest, run("d"), self.clock().monotonic())
        self.assertIsNotNone(self.guard.refusal(self.digest))


class Sink:
    """Accepts a stream."""

    async def begin(self, status: int, headers: object) -> None:
        pass

    async def write(self, data: bytes) -> None:
        pass


class RunnerTests(CrashesTestCase):
    """Guards against one request that crashes many targets by itself."""

    async def answer(
        self, admitted: AdmittedRequest, behaviours: dict[str, Behaviour]
    ) -> object:
        """Run a request; targets that crash refuse connections."""
        clock = self.clock()
        self.client = FakeTargetClient(
            {name: [behaviours.get(name, CRASH)] for name in "abcd"}
        )
        self.client.gone = {n for n in "abcd" if behaviours.get(n, CRASH) is CRASH}
        router = CallRouter(
            self.targets,
            CallerLocation(target("a").data_centre, target("a").region),
            clock,
            random.Random(1),
        )
        self.guard = self.new_guard(self.suspects)
        parts = (
            self.admission,
            router,
            self.client,
            self.guard,
            UsageMeter(5.0),
            clock,
        )
        if admitted.route.kind.value == "streaming":
            return await StreamRunner(*parts).run(admitted, Sink())
        return await CallRunner(*parts, random.Random(1)).answer(admitted)

    @parameterized.expand(
        [("call", "/again/", 2), ("stream", "/resumed/", 2), ("once", "/once/", 1)]
    )
    async def test_crashes_under_one_request(
        self, _: str, prefix: str, crashes: int
    ) -> None:
        admitted = self.admit(prefix)
        outcome = await self.answer(admitted, {})
        assert isinstance(outcome, Refusal)
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.verdict)
        self.assertEqual(crashes, len(self.client.calls))
        digest = request_digest(admitted.to_call())
        self.assertEqual(crashes, self.suspects.crash_count(digest))

    @parameterized.expand([("call", "/again/"), ("stream", "/resumed/")])
    async def test_rejected_request_is_refused_at_once(
        self, _: str, prefix: str
    ) -> None:
        """Also by an entry that has no leader to tell it so."""
        admitted = self.admit(prefix)
        digest = request_digest(admitted.to_call())
        for name in "abc":
            self.suspects.note_crash(digest, run(name), 0.0)
        outcome = await self.answer(admitted, {})
        assert isinstance(outcome, Refusal)
        self.assertIs(RefusalReason.TARGETS_CRASHED, outcome.reason)
        self.assertIs(Verdict.NOT_RUN, outcome.verdict)
        self.assertEqual([], self.client.calls)

    async def test_request_that_was_given_up_is_no_suspect(self) -> None:
        """Its target ends later, when it no longer works on the request."""
        await self.answer(self.deadly, dict.fromkeys("abcd", Hangs()))
        for name in "abcd":
            gone = RemoveTarget(target(name).id, "1000", TargetState.LOST)
            apply(self.view.machine, gone)
        self.guard.resolve()
        self.assertEqual(0, self.suspects.crash_count(self.digest))

    async def test_suspect_is_not_hedged(self) -> None:
        self.suspects.note_crash(self.digest, run("x"), 0.0)
        outcome = await self.answer(self.deadly, dict.fromkeys("abcd", Hangs()))
        assert isinstance(outcome, Refusal)
        self.assertEqual(1, len(self.client.calls))

    @parameterized.expand([("call", "/again/"), ("stream", "/resumed/")])
    async def test_answer_clears_a_suspect(self, _: str, prefix: str) -> None:
        admitted = self.admit(prefix)
        digest = request_digest(admitted.to_call())
        before = self.clock().monotonic() - 2 * HELD_SECONDS
        for name in "xy":
            self.suspects.note_crash(digest, run(name), before)
        answers: Behaviour = Answers() if prefix == "/again/" else Streams()
        outcome = await self.answer(admitted, dict.fromkeys("abcd", answers))
        self.assertNotIsInstance(outcome, Refusal)
        self.assertEqual(0, self.suspects.crash_count(digest))

    async def test_server_error_does_not_clear_a_suspect(self) -> None:
        """A faulty target may answer so without running the request."""
        self.suspects.note_crash(self.digest, run("x"), 0.0)
        outcome = await self.answer(
            self.deadly, dict.fromkeys("abcd", Answers(status=500))
        )
        assert isinstance(outcome, CallAnswer)
        self.assertEqual(1, self.suspects.crash_count(self.digest))


@dataclass(frozen=True)
class DigestCase:
    """A change of a request, and whether it is still the same request."""

    name: str
    change: Callable[[TargetCall], TargetCall]
    same: bool = False


class DigestTests(CrashesTestCase):
    """Guards against taking different requests for the same."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                DigestCase("id", lambda c: replace(c, request="other"), True),  # type: ignore[arg-type]
                DigestCase("resumed", lambda c: replace(c, resume_after=3), True),  # type: ignore[arg-type]
                DigestCase("body", lambda c: replace(c, body=b"other")),
                DigestCase("path", lambda c: replace(c, path_and_query="/x")),
                DigestCase(
                    "path_that_is_not_utf8",
                    lambda c: replace(c, path_and_query="/\udcff"),
                ),
                DigestCase("method", lambda c: replace(c, method="PUT")),
                DigestCase("host", lambda c: replace(c, host="other")),
                DigestCase("organisation", lambda c: replace(c, organisation=None)),
                DigestCase(
                    "bytes_moved_from_path_to_body",
                    lambda c: replace(
                        c,
                        path_and_query=c.path_and_query[:-1],
                        body=c.path_and_query[-1:].encode() + c.body,
                    ),
                ),
            )
        ]
    )
    async def test_digest(self, _: str, case: DigestCase) -> None:
        digest = request_digest(case.change(self.call))
        self.assertEqual(case.same, digest == self.digest)
