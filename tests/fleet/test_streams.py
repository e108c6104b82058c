"""Tests of streamed answers: complete, resumed or cut."""

import asyncio
import random
from dataclasses import dataclass, replace
from unittest.mock import AsyncMock, Mock

from parameterized import parameterized

from goldcrestyard.core.calls import Headers
from goldcrestyard.core.ids import (
    EventNumber,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import TargetKind
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.gateway.streams import StreamEnd, StreamRunner
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.resumption.entry_side import StreamOrigins
from goldcrestyard.fleet.versions.recorded_runs import RecordedRuns
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.stream_origins import KnownOrigin, StreamOrigin, TakeUp
from tests.fakes.announcements import announce
from tests.fakes.engine_control import FakeControl
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


class RecordingSink:
    """Records what a caller receives."""

    def __init__(self) -> None:
        self.head_count = 0
        self.body = b""

    async def begin(self, status: int, headers: Headers) -> None:
        self.head_count += 1

    async def write(self, data: bytes) -> None:
        self.body += data


@dataclass(frozen=True)
class Case:
    """Successive behaviours of the targets, and what the caller receives."""

    name: str
    prefix: str
    behaviours: tuple[Behaviour, ...]
    expected: object
    events: int
    asked: int
    seconds: float | None = None
    """The caller's deadline; None for that of the route."""
    software: tuple[str, ...] = ("v1",) * 4
    """Software version of each of the targets ``a`` to ``d``."""


WHOLE, STREAM_CUT = StreamEnd.WHOLE, StreamEnd.CUT
ALL_DIFFER = ("v1", "v2", "v3", "v4")

CASES = [
    Case("whole", "/stream/", (Streams(3),), WHOLE, 3, 1),
    Case("full_then_whole", "/stream/", (FULL, Streams(3)), WHOLE, 3, 2),
    Case("cut", "/stream/", (Streams(3, breaks_after=2), Streams(3)), STREAM_CUT, 2, 1),
    Case("never_begun", "/stream/", (RESET, Streams(3)), Verdict.MAY_HAVE_RUN, 0, 1),
    Case("all_full", "/stream/", (FULL, FULL, FULL), Verdict.NOT_RUN, 0, 3),
    Case("resumed", "/resumed/", (Streams(4, breaks_after=2), Streams(4)), WHOLE, 4, 2),
    Case("hangs", "/resumed/", (Hangs(), Streams(4)), WHOLE, 4, 2),
    Case("silent", "/resumed/", (Streams(4, silent_after=1), Streams(4)), WHOLE, 4, 2),
    # Nowhere else to go on: a slow stream is relayed as long as it lasts.
    Case(
        "slow_but_sound",
        "/stream/",
        (Streams(3, event_seconds=2.5),),
        WHOLE,
        3,
        1,
        30.0,
    ),
    Case(
        "slow_everywhere",
        "/resumed/",
        (*(Streams(4, event_seconds=2.5),) * 2, Streams(3, event_seconds=2.5)),
        WHOLE,
        3,
        3,
        30.0,
    ),
    Case("stalled", "/stream/", (Streams(3, silent_after=1),), STREAM_CUT, 1, 1, 30.0),
    Case(
        "error_between_two_runs",
        "/resumed/",
        (Streams(4, breaks_after=2), Answers(b"error", 500), Streams(4)),
        WHOLE,
        4,
        3,
    ),
    Case(
        "error_instead_of_the_rest",
        "/resumed/",
        (Streams(4, breaks_after=2), *(Answers(b"error", 500),) * 2),
        STREAM_CUT,
        2,
        3,
    ),
    Case(
        "no_content_instead_of_the_rest",
        "/resumed/",
        (Streams(4, breaks_after=2), *(Answers(b"", 204),) * 2),
        STREAM_CUT,
        2,
        3,
    ),
    Case(
        "resumed_in_vain",
        "/resumed/",
        (Streams(4, breaks_after=1), RESET, RESET),
        STREAM_CUT,
        1,
        3,
    ),
    Case(
        "resumed_at_the_same_version",
        "/resumed/",
        (Streams(4, breaks_after=2), Streams(4)),
        WHOLE,
        4,
        2,
        software=("v1", "v2", "v1", "v2"),
    ),
    Case(
        "no_target_of_its_version_left",
        "/resumed/",
        (Streams(4, breaks_after=2), Streams(4)),
        STREAM_CUT,
        2,
        1,
        software=ALL_DIFFER,
    ),
    Case(
        "unknown_version_may_be_another",
        "/resumed/",
        (Streams(4, breaks_after=2), Streams(4)),
        STREAM_CUT,
        2,
        1,
        software=("",) * 4,
    ),
    Case(
        "no_event_binds_to_no_version",
        "/resumed/",
        (Hangs(), Streams(4)),
        WHOLE,
        4,
        2,
        30.0,
        software=ALL_DIFFER,
    ),
    Case(
        "slow_and_no_target_of_its_version",
        "/resumed/",
        (Streams(4, event_seconds=0.3, slows_after=1), Streams(4)),
        WHOLE,
        4,
        1,
        30.0,
        software=ALL_DIFFER,
    ),
]


class StreamTests(PausedClockTestCase):
    """Guards against events that are lost, repeated or out of order."""

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_stream(self, _: str, case: Case) -> None:
        quiet_logs(self)
        clock = self.clock()
        view = entry_view(clock, ())
        software_by_name = dict(zip("abcd", case.software, strict=True))
        for name, software in software_by_name.items():
            announced = target(name, software=software)
            announce(view.machine.get(TargetsSlice), announced)
        shared = list(case.behaviours)
        client = FakeTargetClient(dict.fromkeys("abcd", shared))
        admission = Admission(view, clock)
        location = CallerLocation(target("a").data_centre, target("a").region)
        router = CallRouter(
            view.machine.get(TargetsSlice), location, clock, random.Random(1)
        )
        runner = StreamRunner(
            admission,
            router,
            client,
            request_guard(view, client, clock),
            UsageMeter(5.0),
            clock,
        )
        admitted = admission.admit(request(case.prefix), clock.monotonic())
        assert isinstance(admitted, AdmittedRequest)
        if case.seconds is not None:
            deadline = clock.monotonic() + case.seconds
            admitted = replace(admitted, deadline=deadline)
        sink = RecordingSink()
        end = await runner.run(admitted, sink)
        if isinstance(end, Refusal):
            self.assertEqual(end.verdict, case.expected)
        else:
            self.assertEqual(end, case.expected)
        numbers = range(1, case.events + 1)
        self.assertEqual(
            sink.body, b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)
        )
        self.assertEqual(sink.head_count, int(case.events > 0))
        self.assertEqual(len(client.calls), case.asked)
        self.assertEqual(client.open_calls, 0)
        resumed = [name for name, call in client.calls if call.resume_after]
        if resumed:
            versions = {software_by_name[name] for name, _ in client.calls}
            self.assertEqual(len(versions), 1)


@dataclass(frozen=True)
class RunCase:
    """Runs that targets a and b name, and the targets that are asked to go on.

    A target that is not in ``runs`` does not answer.
    """

    name: str
    runs: dict[str, str]
    asked: frozenset[str]
    kind: TargetKind = TargetKind.ENGINE


A_OR_B, RECORDED, LATER = frozenset("ab"), "1000", "2000"
RUN_CASES = [
    RunCase("recorded", {"a": RECORDED, "b": RECORDED}, A_OR_B),
    RunCase("not_named", {"a": "", "b": ""}, A_OR_B),
    RunCase("one_has_started_again", {"a": LATER, "b": RECORDED}, frozenset("b")),
    RunCase("both_have_started_again", {"a": LATER, "b": LATER}, frozenset()),
    RunCase("one_does_not_answer", {"b": RECORDED}, frozenset("b")),
    RunCase("none_answers", {}, frozenset()),
    RunCase("services_without_reports", {}, A_OR_B, TargetKind.SERVICE),
    RunCase(
        "services_started_again",
        {"a": LATER, "b": LATER},
        frozenset(),
        TargetKind.SERVICE,
    ),
]


class RecordedRunTests(PausedClockTestCase):
    """Guards against a target that has started again with other software.

    An entry that stood still, or is cut off, has not heard of it.
    """

    def _runner(self, case: RunCase) -> StreamRunner:
        clock = self.clock()
        view = entry_view(clock, ())
        targets = view.machine.get(TargetsSlice)
        for name in "ab":
            announce(targets, target(name, kind=case.kind))
        self.admission = Admission(view, clock)
        origins = Mock(spec=StreamOrigins)
        known = StreamOrigin(ServiceName("quotes"), SoftwareVersion("v1"))
        origins.find = AsyncMock(return_value=KnownOrigin(known))
        location = CallerLocation(target("a").data_centre, target("a").region)
        return StreamRunner(
            self.admission,
            CallRouter(targets, location, clock, random.Random(1)),
            self.client,
            request_guard(view, self.client, clock),
            UsageMeter(5.0),
            clock,
            random.Random(1),
            origins,
            RecordedRuns(targets, FakeControl(case.runs)),  # type: ignore[arg-type]
        )

    def _admit(self, takes_up: TakeUp | None) -> AdmittedRequest:
        asked = replace(request("/resumed/"), takes_up=takes_up)
        admitted = self.admission.admit(asked, self.clock().monotonic())
        assert isinstance(admitted, AdmittedRequest)
        return admitted

    @parameterized.expand([(case.name, case) for case in RUN_CASES])
    async def test_taken_up(self, _: str, case: RunCase) -> None:
        quiet_logs(self)
        self.client = FakeTargetClient({"a": [Streams(4)], "b": [Streams(4)]})
        runner = self._runner(case)
        takes_up = TakeUp(RequestId("first"), EventNumber(2))
        end = await runner.run(self._admit(takes_up), RecordingSink())
        called = set(self.client.called_targets)
        self.assertLessEqual(called, case.asked)
        self.assertEqual(len(self.client.calls), int(bool(case.asked)))
        if case.asked:
            self.assertIs(end, StreamEnd.WHOLE)
        else:
            assert isinstance(end, Refusal)
            self.assertIs(end.verdict, Verdict.NOT_RUN)

    @parameterized.expand([(case.name, case) for case in RUN_CASES])
    async def test_within_one_answer(self, _: str, case: RunCase) -> None:
        """A stream breaks off; only then are the targets asked."""
        quiet_logs(self)
        shared: list[Behaviour] = [Streams(4, breaks_after=2), Streams(4)]
        self.client = FakeTargetClient({"a": shared, "b": shared})
        runner = self._runner(case)
        end = await runner.run(self._admit(None), RecordingSink())
        first, *others = self.client.called_targets
        self.assertLessEqual(set(others), case.asked - {first})
        goes_on = bool(case.asked - {first})
        self.assertIs(end, StreamEnd.WHOLE if goes_on else StreamEnd.CUT)


class OriginTests(PausedClockTestCase):
    """Guards against a take-up at a version that may not have begun it."""

    @parameterized.expand(
        [
            ("not_restarted", None, ["v1"]),
            ("same_software", "v1", ["v1"]),
            ("other_software_heard_after_the_first_event", "v2", ["v1", ""]),
        ]
    )
    async def test_noted(self, _: str, restarts_with: str | None, noted) -> None:
        quiet_logs(self)
        clock = self.clock()
        view = entry_view(clock, ())
        targets = view.machine.get(TargetsSlice)
        announce(targets, target("a", software="v1"))
        client = FakeTargetClient({"a": [Streams(4, breaks_after=2)]})
        admission = Admission(view, clock)
        location = CallerLocation(target("a").data_centre, target("a").region)
        origins = Mock(spec=StreamOrigins)
        runner = StreamRunner(
            admission,
            CallRouter(targets, location, clock, random.Random(1)),
            client,
            request_guard(view, client, clock),
            UsageMeter(5.0),
            clock,
            origins=origins,
        )
        admitted = admission.admit(request("/resumed/"), clock.monotonic())
        assert isinstance(admitted, AdmittedRequest)
        running = asyncio.create_task(runner.run(admitted, RecordingSink()))
        await asyncio.sleep(0.045)
        if restarts_with is not None:
            again = target("a", software=restarts_with)
            announce(targets, replace(again, incarnation="2000"))
        await running
        seen = [call.args[3].software for call in origins.note.call_args_list]
        self.assertEqual(seen, noted)

    async def test_choices_before_the_first_event(self) -> None:
        """Each choice looks at all targets, and delays the first event."""
        clock = self.clock()
        view = entry_view(clock, ("a", "b"))
        client = FakeTargetClient({"a": [Streams(1)], "b": [Streams(1)]})
        admission = Admission(view, clock)
        location = CallerLocation(target("a").data_centre, target("a").region)
        router = CallRouter(
            view.machine.get(TargetsSlice), location, clock, random.Random(1)
        )
        router.choose = Mock(wraps=router.choose)  # type: ignore[method-assign]
        guard, meter = request_guard(view, client, clock), UsageMeter(5.0)
        runner = StreamRunner(admission, router, client, guard, meter, clock)
        admitted = admission.admit(request("/resumed/"), clock.monotonic())
        assert isinstance(admitted, AdmittedRequest)
        running = asyncio.create_task(runner.run(admitted, RecordingSink()))
        await asyncio.sleep(0.01)
        self.assertEqual(router.choose.call_count, 2)
        await running
