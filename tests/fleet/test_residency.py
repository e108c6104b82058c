"""Tests of the choice of targets where routes or organisations have homes.

They guard against a body that leaves its home regions with an attempt, a
retry, a hedge, a stream that goes on, a reward call or a stored job.
"""

import random
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.calls import Headers
from goldcrestyard.core.ids import (
    DataCentre,
    EventNumber,
    GroupId,
    JobId,
    ModelName,
    Region,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.jobs import Job, JobItem, RewardCall
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import ServingConfig
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.gateway.calls import CallAnswer, CallRunner
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.gateway.streams import StreamEnd, StreamRunner
from goldcrestyard.fleet.jobs.residency import JobHomes
from goldcrestyard.fleet.jobs.rewards import NoScore, RewardClient, Scored
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.stream_origins import OnlyVersion, StreamOrigin, TakeUp
from tests.fakes.announcements import announce
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import (
    CONFIG,
    HOST,
    entry_view,
    item_id,
    request,
    request_guard,
)
from tests.fakes.state import apply
from tests.fakes.targets import (
    DOWN,
    FULL,
    RESET,
    Answers,
    Behaviour,
    FakeTargetClient,
    Streams,
    target,
)

NORTH, SOUTH = Region("north"), Region("south")
HOME, AWAY = frozenset({"n1", "n2"}), frozenset({"s1", "s2"})
REGION_BY_TARGET = {"n1": NORTH, "n2": NORTH, "s1": SOUTH, "s2": SOUTH}
SLOW = Answers(b"slow", seconds=1.0)
FAULT = Answers(b"fault", 500)


def with_homes(
    route: tuple[Region, ...] = (), organisation: tuple[Region, ...] = ()
) -> ServingConfig:
    """Return the next version of ``CONFIG``, with homes on all its routes."""
    return replace(
        CONFIG,
        version=CONFIG.version + 1,
        routes=tuple(replace(each, residency=route) for each in CONFIG.routes),
        organisations=tuple(
            replace(each, residency=organisation) for each in CONFIG.organisations
        ),
    )


@dataclass(frozen=True)
class Case:
    """Homes, the behaviours of targets at home in turn, and the outcome."""

    name: str
    prefix: str
    homes: ServingConfig
    behaviours: tuple[Behaviour, ...]
    asked: int
    outcome: int | RefusalReason = 200
    verdict: Verdict = Verdict.NOT_RUN
    at_home: frozenset[str] = HOME
    """Targets that may be asked."""
    targets: frozenset[str] = HOME | AWAY
    """Targets that are ready."""


ROUTE, OWNER = with_homes((NORTH,)), with_homes((), (NORTH,))
NOWHERE = with_homes((SOUTH,), (NORTH,))
WHOLE, CAPACITY = Answers(), RefusalReason.CAPACITY
REFUSED = RefusalReason.RESIDENCY
CASES = [
    Case("answered", "/once/", ROUTE, (WHOLE,), 1),
    Case("homes_of_the_organisation", "/once/", OWNER, (WHOLE,), 1),
    Case("organisation_on_an_open_route", "/open/", OWNER, (WHOLE,), 1),
    Case("both", "/once/", with_homes((NORTH, SOUTH), (NORTH,)), (WHOLE,), 1),
    Case("retried", "/again/", ROUTE, (RESET, WHOLE), 2),
    Case("refused_then_answered", "/once/", ROUTE, (FULL, WHOLE), 2),
    Case("hedged", "/again/", ROUTE, (SLOW, WHOLE), 2),
    Case("all_full", "/once/", ROUTE, (FULL, FULL), 2, CAPACITY),
    Case("all_down", "/again/", ROUTE, (DOWN, DOWN), 2, CAPACITY),
    Case("all_at_fault", "/again/", ROUTE, (FAULT, FAULT), 2, 500),
    Case("none_at_home", "/again/", ROUTE, (), 0, REFUSED, targets=AWAY),
    Case("none_at_all", "/again/", ROUTE, (), 0, REFUSED, targets=frozenset()),
    Case("no_region_in_common", "/again/", NOWHERE, (), 0, REFUSED),
    Case(
        "no_homes",
        "/again/",
        with_homes(),
        (RESET, RESET, WHOLE),
        3,
        at_home=HOME | AWAY,
    ),
]


class _Sink:
    def __init__(self) -> None:
        self.written: list[bytes] = []

    async def begin(self, status: int, headers: Headers) -> None:
        pass

    async def write(self, data: bytes) -> None:
        self.written.append(data)


class _Origins:
    """Knows that each stream was begun by software version ``v1``."""

    async def find(self, *_: object) -> OnlyVersion:
        return OnlyVersion(StreamOrigin(ServiceName("quotes"), SoftwareVersion("v1")))

    def note(self, *_: object) -> None:
        pass


class HomeRegionTests(PausedClockTestCase):
    """An entry in the south, with targets in both regions."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.view = entry_view(self.clock(), ())
        self.serving = self.view.machine.get(ServingSlice)
        self.admission = Admission(self.view, self.clock())

    def _prepare(
        self,
        config: ServingConfig,
        behaviours: tuple[Behaviour, ...],
        targets: frozenset[str] = HOME | AWAY,
        service: str = "quotes",
    ) -> CallRouter:
        apply(self.view.machine, PutServing(config, b""))
        slice_ = self.view.machine.get(TargetsSlice)
        shared = list(behaviours)
        for name in sorted(targets):
            # Those in the south are in the entry's data centre, so that it
            # would choose them first.
            region = REGION_BY_TARGET[name]
            zone = target(name).data_centre if region == SOUTH else DataCentre("n")
            announced = replace(target(name, service), region=region, data_centre=zone)
            announce(slice_, announced)
        self.client = FakeTargetClient(dict.fromkeys(REGION_BY_TARGET, shared))
        location = CallerLocation(target("a").data_centre, SOUTH)
        return CallRouter(slice_, location, self.clock(), random.Random(1))

    def _calls(self, router: CallRouter) -> CallRunner:
        clock = self.clock()
        guard = request_guard(self.view, self.client, clock)
        meter = UsageMeter(5.0)
        return CallRunner(
            self.admission, router, self.client, guard, meter, clock, random.Random(1)
        )

    def _streams(self, router: CallRouter) -> StreamRunner:
        clock = self.clock()
        guard = request_guard(self.view, self.client, clock)
        return StreamRunner(
            self.admission,
            router,
            self.client,
            guard,
            UsageMeter(5.0),
            clock,
            random.Random(1),
            _Origins(),  # type: ignore[arg-type]
        )

    def _admit(self, prefix: str, takes_up: TakeUp | None = None) -> AdmittedRequest:
        asked = replace(request(prefix), takes_up=takes_up)
        admitted = self.admission.admit(asked, self.clock().monotonic())
        assert isinstance(admitted, AdmittedRequest)
        return admitted

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_call(self, _: str, case: Case) -> None:
        runner = self._calls(self._prepare(case.homes, case.behaviours, case.targets))
        began_at = self.clock().monotonic()
        answer = await runner.answer(self._admit(case.prefix))
        asked = self.client.called_targets
        self.assertEqual(len(asked), case.asked)
        self.assertLessEqual(set(asked), case.at_home)
        if isinstance(answer, CallAnswer):
            self.assertEqual(answer.status, case.outcome)
            return
        self.assertEqual((answer.reason, answer.verdict), (case.outcome, case.verdict))
        self.assertIsNotNone(answer.retry_after_seconds)
        if not case.asked:
            self.assertEqual(self.clock().monotonic(), began_at)

    async def test_homes_that_change_during_a_request(self) -> None:
        """A retry goes to the homes of the document in force by then."""
        runner = self._calls(self._prepare(ROUTE, (SLOW, WHOLE)))
        admitted = self._admit("/again/")
        south = replace(with_homes((SOUTH,)), version=CONFIG.version + 2)
        apply(self.view.machine, PutServing(south, b""))
        await runner.answer(admitted)
        self.assertLessEqual(set(self.client.called_targets), AWAY)

    @parameterized.expand(
        [
            ("whole", (Streams(3),), None, 1),
            ("resumed", (Streams(4, breaks_after=2), Streams(4)), None, 2),
            ("silent", (Streams(4, silent_after=1), Streams(4)), None, 2),
            ("taken_up", (Streams(3),), TakeUp(RequestId("f"), EventNumber(1)), 1),
        ]
    )
    async def test_stream(
        self,
        _: str,
        behaviours: tuple[Behaviour, ...],
        takes_up: TakeUp | None,
        asked: int,
    ) -> None:
        runner = self._streams(self._prepare(ROUTE, behaviours))
        admitted = self._admit("/resumed/", takes_up)
        admitted = replace(admitted, deadline=admitted.deadline + 30.0)
        end = await runner.run(admitted, _Sink())
        self.assertIs(end, StreamEnd.WHOLE)
        self.assertEqual(len(self.client.called_targets), asked)
        self.assertLessEqual(set(self.client.called_targets), HOME)

    async def test_stream_without_a_target_at_home(self) -> None:
        runner = self._streams(self._prepare(ROUTE, (), AWAY))
        end = await runner.run(self._admit("/resumed/"), _Sink())
        assert isinstance(end, Refusal)
        self.assertEqual((end.reason, end.verdict), (REFUSED, Verdict.NOT_RUN))
        self.assertEqual(self.client.called_targets, [])

    @parameterized.expand(
        [
            ("homes_of_the_route", ROUTE, Scored("score")),
            ("homes_of_the_organisation", OWNER, Scored("score")),
            ("nowhere", NOWHERE, NoScore()),
        ]
    )
    async def test_reward_call(
        self, _: str, config: ServingConfig, expected: Scored | NoScore
    ) -> None:
        answer = Answers(signature="score")
        router = self._prepare(config, (FULL, RESET, answer))
        client = RewardClient(
            self.serving, router, self.client, self.clock(), random.Random(1)
        )
        call = RewardCall(RequestId("reward"), HOST, "/score/1", b"")
        deadline = self.clock().monotonic() + 5.0
        organisation = CONFIG.organisations[0].id
        outcome = await client.score(call, deadline, organisation=organisation)
        self.assertEqual(outcome, expected)
        self.assertLessEqual(set(self.client.called_targets), HOME)

    @parameterized.expand(
        [
            ("no_homes", (), (), False),
            ("all_regions", (NORTH, SOUTH), (SOUTH, NORTH), False),
            ("one_region_of_the_routes", (NORTH,), (), True),
            ("one_region_of_the_organisation", (), (SOUTH,), True),
        ]
    )
    async def test_job(
        self,
        _: str,
        route: tuple[Region, ...],
        organisation: tuple[Region, ...],
        refused: bool,
    ) -> None:
        self._prepare(with_homes(route, organisation), ())
        refusal = JobHomes(self.serving, frozenset({NORTH, SOUTH})).refusal(job())
        self.assertEqual(refusal is not None, refused)

    @parameterized.expand([("/jobs/",), ("/single/",), ("/score/",), ("/once/",)])
    async def test_job_with_homes_on_one_of_its_routes(self, prefix: str) -> None:
        """The job's route, that of an item, that of a reward, or another."""
        config = replace(
            with_homes(),
            routes=tuple(
                replace(each, residency=(NORTH,) if each.prefix == prefix else ())
                for each in CONFIG.routes
            ),
        )
        self._prepare(config, ())
        refusal = JobHomes(self.serving, frozenset({NORTH, SOUTH})).refusal(job())
        self.assertEqual(refusal is not None, prefix != "/once/")
        if refusal is not None:
            self.assertEqual(
                (refusal.reason, refusal.verdict), (REFUSED, Verdict.NOT_RUN)
            )


def job() -> Job:
    """Return a job with an item on another route than its own."""
    reward = RewardCall(RequestId("reward"), HOST, "/score/1", b"")
    item = JobItem(
        item_id(1), "/single/1", (), b"", ModelName("m"), GroupId("g"), reward
    )
    return Job(
        JobId("job"),
        CONFIG.organisations[0].id,
        HOST,
        "/jobs/",
        ModelName("m"),
        StepNumber(0),
        WeightVersion(1),
        1,
        (item,),
    )
