"""Tests of requests with a single answer: attempts, verdicts and admission."""

import asyncio
import random
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import ConfigVersion, Revision
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import (
    MAX_START_WAIT_SECONDS,
    MAX_START_WAIT_SHARE,
    Admission,
    AdmittedRequest,
)
from goldcrestyard.fleet.gateway.calls import CallAnswer, CallRunner
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.wire.codec import Codec
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, entry_view, request, request_guard
from tests.fakes.state import apply
from tests.fakes.targets import (
    DOWN,
    FULL,
    RESET,
    Answers,
    Behaviour,
    FakeTargetClient,
    Hangs,
    target,
)

SLOW = Answers(b"slow", seconds=1.0)
SERVER_ERROR = Answers(b"fault", 500)


@dataclass(frozen=True)
class Case:
    """Behaviours of the targets in turn, number of attempts, and outcome."""

    name: str
    prefix: str
    behaviours: tuple[Behaviour, ...]
    asked: int
    status: int | None = None
    reason: RefusalReason | None = None
    verdict: Verdict | None = None


NO_CAPACITY = RefusalReason.CAPACITY
NOT_RUN, MAY_HAVE_RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN

CASES = [
    Case("answered", "/once/", (Answers(),), 1, 200),
    Case("fault_is_passed_on", "/once/", (SERVER_ERROR,), 1, 500),
    Case("full_then_answered", "/once/", (FULL, Answers()), 2, 200),
    Case("down_then_answered", "/once/", (DOWN, Answers()), 2, 200),
    Case(
        "cut_is_never_sent_again",
        "/once/",
        (RESET, Answers()),
        1,
        None,
        RefusalReason.TARGET_FAILED,
        MAY_HAVE_RUN,
    ),
    Case("all_full", "/once/", (FULL, FULL, FULL), 3, None, NO_CAPACITY, NOT_RUN),
    Case("all_down", "/once/", (DOWN,), 4, None, NO_CAPACITY, NOT_RUN),
    Case(
        "hangs_once",
        "/once/",
        (Hangs(),),
        1,
        None,
        RefusalReason.DEADLINE,
        MAY_HAVE_RUN,
    ),
    Case("cut_then_answered", "/again/", (RESET, Answers()), 2, 200),
    Case("fault_then_answered", "/again/", (SERVER_ERROR, Answers()), 2, 200),
    Case("slow_one_is_hedged", "/again/", (SLOW, Answers(b"fast")), 2, 200),
    Case("hanging_one_is_hedged", "/again/", (Hangs(), Answers()), 2, 200),
    Case(
        "attempts_are_bounded",
        "/again/",
        (SERVER_ERROR, SERVER_ERROR, SERVER_ERROR),
        3,
        500,
    ),
    Case(
        "one_may_have_run",
        "/again/",
        (FULL, RESET, FULL),
        3,
        None,
        RefusalReason.TARGET_FAILED,
        MAY_HAVE_RUN,
    ),
]


class CallTests(PausedClockTestCase):
    """Guards against second runs, wrong verdicts and attempts left open."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.view = entry_view(self.clock(), ("a", "b", "c", "d"))
        self.meter = UsageMeter(5.0)

    def _runner(self, behaviours: tuple[Behaviour, ...]) -> CallRunner:
        """Return a runner whose targets share one list of behaviours."""
        shared = list(behaviours)
        self.client = FakeTargetClient(dict.fromkeys("abcd", shared))
        clock = self.clock()
        self.admission = Admission(self.view, clock)
        location = CallerLocation(target("a").data_centre, target("a").region)
        router = CallRouter(
            self.view.machine.get(TargetsSlice), location, clock, random.Random(1)
        )
        return CallRunner(
            self.admission,
            router,
            self.client,
            request_guard(self.view, self.client, clock),
            self.meter,
            clock,
            random.Random(1),
        )

    def _admit(self, prefix: str) -> AdmittedRequest:
        now = self.clock().monotonic()
        admitted = self.admission.admit(request(prefix), now)
        assert isinstance(admitted, AdmittedRequest)
        return admitted

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_outcome(self, _: str, case: Case) -> None:
        runner = self._runner(case.behaviours)
        answer = await runner.answer(self._admit(case.prefix))
        self.assertEqual(len(self.client.calls), case.asked)
        self.assertEqual(len(set(self.client.called_targets)), case.asked)
        if isinstance(answer, CallAnswer):
            self.assertEqual(answer.status, case.status)
        else:
            self.assertEqual(
                (answer.reason, answer.verdict), (case.reason, case.verdict)
            )
        self.assertEqual(self.client.open_calls, 0)

    async def test_first_answer_wins_and_ends_the_other(self) -> None:
        answer = await self._runner((SLOW, Answers(b"fast"))).answer(
            self._admit("/again/")
        )
        assert isinstance(answer, CallAnswer)
        self.assertEqual(answer.body, b"fast")
        self.assertLess(self.clock().monotonic(), 1.0)

    async def test_caller_that_leaves_ends_the_work(self) -> None:
        runner = self._runner((Hangs(),))
        waiting = asyncio.create_task(runner.answer(self._admit("/again/")))
        await asyncio.sleep(0.5)
        self.assertGreater(self.client.open_calls, 0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.client.open_calls, 0)

    @parameterized.expand([("urgent", "/again/", 0), ("less", "/once/", 3)])
    async def test_urgency_is_passed_on(
        self, _: str, prefix: str, expected: int
    ) -> None:
        """Guards against targets that don't learn which request is urgent."""
        routes = tuple(
            replace(route, priority=3 * (route.prefix == "/once/"))
            for route in CONFIG.routes
        )
        config = replace(CONFIG, version=ConfigVersion(2), routes=routes)
        apply(self.view.machine, PutServing(config, b""))
        await self._runner((Answers(b"whole"),)).answer(self._admit(prefix))
        self.assertEqual([call.urgency for _, call in self.client.calls], [expected])

    async def test_deadline_is_passed_on_as_it_shrinks(self) -> None:
        runner = self._runner((Answers(seconds=5.0),))
        began = self.clock().monotonic()
        answer = await runner.answer(self._admit("/once/"))
        assert isinstance(answer, Refusal)
        self.assertAlmostEqual(self.clock().monotonic() - began, 2.0, delta=0.05)

    async def test_hedged_request_is_counted_once(self) -> None:
        both = Answers(seconds=0.15)
        await self._runner((both, both)).answer(self._admit("/again/"))
        (window,) = self.meter.counts().windows
        self.assertEqual(window.counts_by_organisation, {"tejo": 1})


ADMISSIONS = [
    ("known_key", "/again/", "key", 1.0, None),
    ("unknown_key", "/again/", "other", 1.0, RefusalReason.INVALID_KEY),
    ("no_key", "/again/", None, 1.0, RefusalReason.INVALID_KEY),
    ("open_route", "/open/", None, 1.0, None),
    ("no_route", "/nowhere/", "key", 1.0, RefusalReason.NOT_FOUND),
    ("lease_has_run_out", "/again/", "key", -1.0, RefusalReason.ENTRY_LEASE),
    ("open_route_without_lease", "/open/", None, -1.0, None),
]


class AdmissionTests(PausedClockTestCase):
    """Guards against accepting a key that was revoked."""

    @parameterized.expand(ADMISSIONS)
    async def test_admission(
        self,
        _: str,
        prefix: str,
        key: str | None,
        lease: float,
        expected: RefusalReason | None,
    ) -> None:
        clock = self.clock()
        full = entry_view(clock, ())
        view = EntryView(full.machine, None, clock)  # type: ignore[arg-type]
        view.grant(clock.monotonic(), lease)
        admitted = Admission(view, clock).admit(request(prefix, key), 0.0)
        if isinstance(admitted, Refusal):
            self.assertIs(admitted.reason, expected)
            self.assertIs(admitted.verdict, Verdict.NOT_RUN)
        else:
            self.assertIsNone(expected)

    @parameterized.expand(
        [
            ("of_the_route", "key", None, 3),
            ("of_the_organisation", "key", 7, 7),
            ("highest_of_the_organisation", "key", 0, 0),
        ]
    )
    async def test_priority(
        self, _: str, key: str, organisation: int | None, expected: int
    ) -> None:
        """Guards against a caller that returns with another one's urgency."""
        clock = self.clock()
        view = entry_view(clock, ())
        config = replace(
            CONFIG,
            version=ConfigVersion(2),
            routes=tuple(replace(route, priority=3) for route in CONFIG.routes),
            organisations=tuple(
                replace(each, priority=organisation) for each in CONFIG.organisations
            ),
        )
        apply(view.machine, PutServing(config, b""))
        admitted = Admission(view, clock).admit(request("/again/", key), 0.0)
        assert isinstance(admitted, AdmittedRequest)
        self.assertEqual(admitted.priority, expected)

    async def test_lease_that_ends_while_a_request_waits(self) -> None:
        clock = self.clock()
        view = entry_view(clock, ())
        admission = Admission(view, clock)
        admitted = admission.admit(request("/again/"), 0.0)
        assert isinstance(admitted, AdmittedRequest)
        self.assertTrue(admission.is_still_authorised(admitted))
        await asyncio.sleep(1001.0)
        self.assertFalse(admission.is_still_authorised(admitted))


@dataclass(frozen=True)
class StartCase:
    """When a started process holds its state, and how long a request waits."""

    name: str
    informed_after: float | None
    seconds_left: float | None
    wait_seconds: float


START_CASES = [
    StartCase("informed", 0.0, 1.2, 0.0),
    StartCase("informed_meanwhile", 0.3, 1.2, 0.3),
    StartCase("in_vain", None, 1.2, MAX_START_WAIT_SHARE * 1.2),
    StartCase("in_vain_without_a_time", None, None, MAX_START_WAIT_SECONDS),
    StartCase("in_vain_with_much_time", None, 60.0, MAX_START_WAIT_SECONDS),
]


class StartTests(PausedClockTestCase):
    """Guards against requests refused by a process that is still starting.

    After a loss of all processes, callers use up their retries within 0.7 s,
    before the entries have a configuration.
    """

    @parameterized.expand([(case.name, case) for case in START_CASES])
    async def test_wait(self, _: str, case: StartCase) -> None:
        clock = self.clock()
        view = EntryView(entry_view(clock, ()).machine, Codec(), clock)
        view.machine.revision = Revision(1)
        loop = asyncio.get_running_loop()
        if case.informed_after is not None:
            loop.call_later(
                case.informed_after, lambda: view.grant(clock.monotonic(), 3.0)
            )
            await asyncio.sleep(0.0)
        if case.informed_after == 0.0:
            await asyncio.sleep(0.01)
        began = clock.monotonic()
        await Admission(view, clock).wait_until_synchronized(case.seconds_left)
        self.assertAlmostEqual(case.wait_seconds, clock.monotonic() - began)

    async def test_lost_lease_is_not_waited_for(self) -> None:
        clock = self.clock()
        view = EntryView(entry_view(clock, ()).machine, Codec(), clock)
        view.machine.revision = Revision(1)
        view.grant(clock.monotonic(), 3.0)
        await asyncio.sleep(4.0)
        began = clock.monotonic()
        await Admission(view, clock).wait_until_synchronized(1.2)
        self.assertEqual(began, clock.monotonic())
