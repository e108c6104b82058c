"""Tests of job items on engines that refuse, fail, hang or are slow."""

import asyncio
import random
from dataclasses import dataclass, replace

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.consensus.control_member import DEFAULT_SHARES
from goldcrestyard.core.ids import (
    ConfigVersion,
    DataCentre,
    EventNumber,
    GroupId,
    JobId,
    Region,
    RequestId,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.jobs import ItemOutcome, Job, Progress, RewardCall
from goldcrestyard.core.states import TargetKind
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.commands import EndJob, KeepProgress, SubmitJob
from goldcrestyard.fleet.jobs.rewards import RewardClient
from goldcrestyard.fleet.jobs.runner import JobRunner
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.loading import LoadingModels
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.policy.job_schedule import EngineTrust
from goldcrestyard.policy.memory import ControlShares
from tests.fakes.announcements import announce
from tests.fakes.engine_control import FakeControl
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, HOST, MODEL
from tests.fakes.targets import (
    DOWN,
    FULL,
    RESET,
    Answers,
    Behaviour,
    FakeTargetClient,
    Hangs,
    Streams,
    target,
)
from tests.fleet.test_jobs_slice import job


@dataclass(frozen=True)
class SavedText:
    """A saved text of two events, and the run that completes the item.

    ``engines`` are the software of the engines with their behaviours.
    """

    name: str
    software: str
    engines: tuple[tuple[str, Behaviour | list[Behaviour]], ...]
    target: str
    resumed_after: int | None
    seconds: tuple[float, float]
    """Bounds on the time until the item is listed."""
    ended: frozenset[str] = frozenset()
    """Engines that refuse connections."""


WHOLE = Streams(3)
BACK: list[Behaviour] = [*([DOWN] * 7), WHOLE]
"""Behaviour of an engine that is out of reach for some seconds."""
AT_ONCE, AFTER_WAITING = (0.0, 0.9), (1.0, 4.0)
SAVED_TEXTS = [
    SavedText("same", "v1", (("v2", WHOLE), ("v1", WHOLE)), "e1", 2, AT_ONCE),
    SavedText("none_left", "v1", (("v2", WHOLE),), "e0", None, AT_ONCE),
    SavedText("unknown", "", (("v1", WHOLE), ("", WHOLE)), "e0", None, AT_ONCE),
    SavedText("down", "v1", (("v1", DOWN), ("v2", WHOLE)), "e1", None, AFTER_WAITING),
    SavedText(
        "ended",
        "v1",
        (("v1", DOWN), ("v2", WHOLE)),
        "e1",
        None,
        AT_ONCE,
        frozenset({"e0"}),
    ),
    # A text is kept until another engine has begun a new one.
    SavedText("all_down", "v1", (("v1", BACK), ("v2", DOWN)), "e0", 2, AFTER_WAITING),
    SavedText("only_one_is_down", "v1", (("v1", BACK),), "e0", 2, AFTER_WAITING),
    SavedText("none_left_and_down", "v1", (("v2", BACK),), "e0", None, AFTER_WAITING),
]


LISTING_TIMEOUT_SECONDS = 30.0
SCORED = (Answers(signature="score"),)
REWARD = RewardCall(RequestId("reward"), HOST, "/score/1", b"")


@dataclass(frozen=True)
class Case:
    """Successive behaviours of engines and scoring target; the result."""

    name: str
    engines: tuple[Behaviour, ...]
    outcome: ItemOutcome = ItemOutcome.COMPLETE
    runs: int = 1
    versions: tuple[int, ...] = (1,)
    scorers: tuple[Behaviour, ...] = SCORED
    prefix: str = "/jobs/"
    events: int = 3


ERRORED = ItemOutcome.ERRORED
LONG = b"x" * 300_000
SERVER_ERROR = Answers(status=500)

CASES = [
    Case("whole", (Streams(3),)),
    Case("full_then_whole", (FULL, Streams(3)), runs=2),
    Case("down_then_whole", (DOWN, Streams(3)), runs=2),
    Case("no_answer_then_whole", (RESET, Streams(3)), runs=2),
    Case("hangs_then_whole", (Hangs(), Streams(3)), runs=2),
    Case("resumed", (Streams(3, breaks_after=2), Streams(3)), runs=2),
    Case("silent_then_resumed", (Streams(3, silent_after=1), Streams(3)), runs=2),
    Case("fault_then_whole", (SERVER_ERROR, Streams(3)), runs=2),
    Case("always_fails", (SERVER_ERROR,), ERRORED, 3, ()),
    Case("impossible", (Answers(status=422),), ERRORED, 1, ()),
    Case("new_version_on_the_way", (Streams(3, changes_at=2),), versions=(1, 2)),
    Case(
        "resumed_under_another_version",
        (Streams(3, breaks_after=1), Streams(3, version=2)),
        runs=2,
        versions=(1, 2),
    ),
    Case(
        "single_version_starts_again",
        (Streams(3, changes_at=2), Streams(3, version=2)),
        runs=2,
        versions=(2,),
        prefix="/single/",
    ),
    Case("text_too_long_then_whole", (Streams(9, padding=LONG), Streams(3)), runs=2),
    Case("text_without_end", (Streams(10**6, padding=LONG), Streams(3)), runs=2),
    Case("scorer_fails_once", (Streams(3),), scorers=(SERVER_ERROR, *SCORED)),
    Case("scorer_is_cut_off", (Streams(3),), scorers=(RESET, FULL, *SCORED)),
    Case("scorer_hangs_once", (Streams(3),), scorers=(Hangs(), *SCORED)),
    Case("scorer_always_fails", (Streams(3),), ERRORED, 1, (), (SERVER_ERROR,)),
]


def scored_job(prefix: str, items: int = 1) -> Job:
    plain = job(items=items)
    return replace(
        plain,
        items=tuple(
            replace(item, path=f"{prefix}{item.id}", model=MODEL, reward=REWARD)
            for item in plain.items
        ),
        model=MODEL,
        host=HOST,
    )


class RunnerTestCase(PausedClockTestCase):
    """Runs the items of jobs on scripted engines."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(JobsSlice, ServingSlice, TargetsSlice)
        self.member = FakeMember(self.machine, self.clock())
        apply(self.machine, PutServing(CONFIG, b""))
        self.jobs = self.machine.get(JobsSlice)

    def _start(
        self,
        engines: tuple[Behaviour, ...],
        scorers: tuple[Behaviour, ...] = SCORED,
        engine_count: int = 2,
        leaving: frozenset[str] = frozenset(),
        shares: ControlShares = DEFAULT_SHARES,
        software: tuple[str, ...] = (),
        incarnations: dict[str, str] | None = None,
    ) -> "asyncio.Task[None]":
        clock = self.clock()
        targets = self.machine.get(TargetsSlice)
        tracker = TargetTracker(self.member, {}, 1.0, clock)  # type: ignore[arg-type]
        shared = list(engines)
        behaviours: dict[str, list[Behaviour]] = {"scorer": list(scorers)}
        announce(targets, target("scorer"))
        for number in range(engine_count):
            name = f"e{number}"
            engine = target(name, "engines", TargetKind.ENGINE)
            if software:
                named = SoftwareVersion(software[number])
                engine = replace(engine, software=named)
            announce(targets, engine)
            tracker.record_version(engine, MODEL, WeightVersion(1))
            behaviours[name] = shared
        self.client = FakeTargetClient(behaviours)
        self.tracker = tracker
        location = CallerLocation(DataCentre("dc"), Region("r"))
        rewards = RewardClient(
            self.machine.get(ServingSlice),
            CallRouter(targets, location, clock, random.Random(1)),
            self.client,
            clock,
        )
        self.metrics = FleetMetrics(CollectorRegistry())
        runner = JobRunner(
            self.member,  # type: ignore[arg-type]
            tracker,
            LoadingModels(),
            JobWork(),
            self.client,
            rewards,
            location,
            self.metrics,
            clock,
            random.Random(1),
            is_excluded=lambda target: target.id in leaving,
            shares=shares,
            control=(
                None if incarnations is None else FakeControl(incarnations)  # type: ignore[arg-type]
            ),
        )
        self.text_room = runner._text_room
        self.faults = runner._notes.faults
        self.paces = runner._notes.paces
        self.served = runner._ordering._order.served
        task = asyncio.create_task(runner.run())
        self.addAsyncCleanup(self._stop, task)
        return task

    async def _stop(self, task: "asyncio.Task[None]") -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _wait_listed(self, count: int = 1) -> None:
        state = self.jobs.jobs_by_id[JobId("job")]
        async with asyncio.timeout(LISTING_TIMEOUT_SECONDS):
            while len(state.results) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def _save_text(self, submitted: Job, software: str) -> None:
        """Save two events of the text of a job's first item."""
        versions = (WeightVersion(1),)
        saved = Progress(
            0,
            (b"1", b"2"),
            EventNumber(2),
            versions,
            versions[0],
            SoftwareVersion(software),
        )
        apply(self.machine, KeepProgress(submitted.id, {submitted.items[0].id: saved}))

    def _groups_ended(self, outcome: str) -> float:
        name = "goldcrest_fleet_groups_ended_total"
        return self.metrics.registry.get_sample_value(name, {"outcome": outcome}) or 0.0

    def _engine_calls(self) -> list[str]:
        return [name for name in self.client.called_targets if name != "scorer"]


class RunnerTests(RunnerTestCase):
    """Guards against wrong weight versions, lost text and unlisted items.

    Runs can end at any event and change engine and version, so text and
    versions have to be joined over all runs of an item.
    """

    async def test_engine_that_leaves_gets_no_items(self) -> None:
        """Guards against items for a target that has said that it leaves."""
        self._start((Streams(3),), leaving=frozenset({"e0"}))
        submit = SubmitJob(scored_job("/jobs/", items=4))
        apply(self.machine, submit, time=self.clock().wall())
        await self._wait_listed(4)
        self.assertEqual({"e1"}, set(self._engine_calls()))

    @parameterized.expand([("scorer_at_home", "home"), ("scorer_elsewhere", "r")])
    async def test_items_and_their_scores_stay_at_home(
        self, _: str, scorer_region: str
    ) -> None:
        """Guards against items that leave the homes of their organisation."""
        homes = (Region("home"),)
        config = replace(
            CONFIG,
            version=CONFIG.version + 1,
            organisations=tuple(
                replace(each, residency=homes) for each in CONFIG.organisations
            ),
        )
        apply(self.machine, PutServing(config, b""))
        submitted = replace(
            scored_job("/jobs/", items=4), organisation=CONFIG.organisations[0].id
        )
        self._start((Streams(3),))
        targets = self.machine.get(TargetsSlice)
        for name, region in (("e1", "home"), ("scorer", scorer_region)):
            known = targets.find(TargetId(name))
            assert known is not None
            announce(targets, replace(known, region=Region(region)))
        apply(self.machine, SubmitJob(submitted), time=self.clock().wall())
        await asyncio.sleep(10.0)
        self.assertEqual({"e1"}, set(self._engine_calls()))
        scored = "scorer" in self.client.called_targets
        self.assertEqual(scored, scorer_region == "home")
        results = self.jobs.jobs_by_id[submitted.id].results
        self.assertEqual(len(results), 4 if scored else 0)

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_item(self, _: str, case: Case) -> None:
        self._start(case.engines, case.scorers)
        submit = SubmitJob(scored_job(case.prefix))
        apply(self.machine, submit, time=self.clock().wall())
        await self._wait_listed()
        (result,) = self.jobs.jobs_by_id[JobId("job")].results
        self.assertIs(result.outcome, case.outcome)
        self.assertEqual(len(self._engine_calls()), case.runs)
        self.assertEqual(result.versions, case.versions)
        if case.outcome is ItemOutcome.COMPLETE:
            self.assertEqual(result.text, b"1\n2\n3")
            self.assertEqual(result.score, "score")

    @parameterized.expand([(case.name, case) for case in SAVED_TEXTS])
    async def test_saved_text_stays_at_its_software(
        self, _: str, case: SavedText
    ) -> None:
        """Guards against a text of two software versions after a new leader.

        Also guards against an item that waits too long for its version.
        """
        submitted = scored_job("/jobs/")
        apply(self.machine, SubmitJob(submitted), time=self.clock().wall())
        self._save_text(submitted, case.software)
        named = tuple(name for name, _ in case.engines)
        self._start((WHOLE,), engine_count=len(named), software=named)
        for number, (_, behaviour) in enumerate(case.engines):
            several = behaviour if isinstance(behaviour, list) else [behaviour]
            self.client.behaviours_by_target[f"e{number}"] = list(several)
        self.client.gone.update(case.ended)
        began = self.clock().monotonic()
        await self._wait_listed()
        seconds = self.clock().monotonic() - began
        name, call = self.client.calls[-2]
        self.assertEqual((name, call.resume_after), (case.target, case.resumed_after))
        self.assertTrue(case.seconds[0] <= seconds <= case.seconds[1], seconds)

    @parameterized.expand(
        [
            ("recorded", {"e0": "1000", "e1": "1000"}, "e0", 2),
            ("no_run_is_named", {"e0": "", "e1": ""}, "e0", 2),
            ("another", {"e0": "2000", "e1": "1000"}, "e1", 2),
            ("no_answer", {"e1": "1000"}, "e1", 2),
            ("no_recorded_one", {"e0": "2000", "e1": "2000"}, "e2", None),
        ]
    )
    async def test_text_goes_on_at_the_recorded_run_only(
        self, _: str, incarnations: dict[str, str], name: str, resumed_after: int
    ) -> None:
        """Guards against an engine that started again and is not heard yet."""
        submitted = scored_job("/jobs/")
        apply(self.machine, SubmitJob(submitted), time=self.clock().wall())
        self._save_text(submitted, "v1")
        software = ("v1", "v1", "v2")
        self._start(
            (WHOLE,), engine_count=3, software=software, incarnations=incarnations
        )
        await self._wait_listed()
        called, call = self.client.calls[-2]
        self.assertEqual((called, call.resume_after), (name, resumed_after))

    @parameterized.expand(
        [
            ("enough_time", 60.0, "a", None),
            ("too_little_time", 3.0, "b", None),
            ("urgency_differs", 60.0, "a", 4),
        ]
    )
    async def test_group_that_starts_first(
        self, _: str, due_seconds: float, expected: str, urgency: int | None
    ) -> None:
        """Guards against an order that the decision does not reach.

        The texts of group a are twice as long, and those of both need 6 s.
        """
        own = CONFIG.organisations[0]
        config = replace(
            CONFIG,
            version=ConfigVersion(2),
            routes=tuple(
                replace(route, due_seconds=due_seconds) for route in CONFIG.routes
            ),
            organisations=(replace(own, priority=urgency),),
        )
        apply(self.machine, PutServing(config, b""))
        plain = scored_job("/jobs/", items=12)
        items = tuple(
            replace(
                item,
                group=GroupId("ab"[number % 2]),
                estimated_tokens=2000 - number % 2 * 1000,
            )
            for number, item in enumerate(plain.items)
        )
        self._start((Streams(3),), engine_count=1)
        self.paces.observe(TargetId("e0"), 0.1, self.clock().monotonic())
        submit = SubmitJob(replace(plain, items=items))
        apply(self.machine, submit, time=self.clock().wall())
        await self._wait_listed(12)
        group_by_item = {str(item.id): item.group for item in items}
        runs = [call for name, call in self.client.calls if name == "e0"]
        first = {group_by_item[str(call.request)] for call in runs[:6]}
        self.assertEqual(first, {expected})
        ended = {group: self._groups_ended(group) for group in ("in time", "late")}
        self.assertEqual(ended, {"in time": 2.0, "late": 0.0})
        self.assertEqual({call.urgency for call in runs}, {urgency})

    async def test_organisation_is_charged_what_was_generated(self) -> None:
        """Guards against a use that counts refused runs, or estimates."""
        self._start((FULL, Streams(3, breaks_after=2), Streams(3)))
        apply(self.machine, SubmitJob(scored_job("/jobs/")), time=self.clock().wall())
        await self._wait_listed()
        (used,) = self.served.use.counts(self.clock().monotonic()).values()
        self.assertAlmostEqual(used, 3.0, delta=0.2)

    @parameterized.expand([("not_known", 0, 6), ("two_texts", 4500, 2)])
    async def test_memory_of_an_engine(
        self, _: str, memory_tokens: int, expected: int
    ) -> None:
        """Guards against an engine that interrupts texts to make room."""
        services = tuple(
            replace(
                service, engine=replace(service.engine, memory_tokens=memory_tokens)
            )
            if service.engine is not None
            else service
            for service in CONFIG.services
        )
        config = replace(CONFIG, version=ConfigVersion(2), services=services)
        apply(self.machine, PutServing(config, b""))
        plain = scored_job("/jobs/", items=6)
        items = tuple(replace(item, estimated_tokens=2000) for item in plain.items)
        self._start((Streams(3),), engine_count=1)
        submit = SubmitJob(replace(plain, items=items))
        apply(self.machine, submit, time=self.clock().wall())
        await asyncio.sleep(0.05)
        self.assertEqual(self.client.open_calls, expected)
        await self._wait_listed(6)

    async def test_engine_that_starts_again_under_its_id(self) -> None:
        """Guards against text of a later run with other software.

        Such a run may serve requests before its first heartbeat.
        """
        self._start((Streams(30, breaks_after=20), Streams(30)), engine_count=1)
        apply(self.machine, SubmitJob(scored_job("/jobs/")), time=self.clock().wall())
        await asyncio.sleep(0.3)
        again = replace(
            target("e0", "engines", TargetKind.ENGINE),
            incarnation="2000",
            software=SoftwareVersion("v2"),
        )
        announce(self.machine.get(TargetsSlice), again)
        self.tracker.record_version(again, MODEL, WeightVersion(1))
        await self._wait_listed()
        runs = [call.resume_after for name, call in self.client.calls if name == "e0"]
        self.assertEqual(runs, [None, None])

    async def test_texts_of_many_items_share_a_room(self) -> None:
        """Guards against texts that exceed the memory of the leader together.

        All items are listed in the end, though not all texts fit at a time.
        """
        room = 30_000
        self._start(
            (Streams(3, padding=b"x" * 1000),),
            engine_count=4,
            shares=replace(DEFAULT_SHARES, texts=room),
        )
        submit = SubmitJob(scored_job("/jobs/", items=40))
        apply(self.machine, submit, time=self.clock().wall())
        most = 0
        state = self.jobs.jobs_by_id[JobId("job")]
        async with asyncio.timeout(LISTING_TIMEOUT_SECONDS):
            while len(state.results) < 40:
                most = max(most, self.text_room.held)
                await asyncio.sleep(0.005)
        self.assertLessEqual(most, room)
        self.assertGreater(most, room / 2)
        self.assertEqual({r.outcome for r in state.results}, {ItemOutcome.COMPLETE})
        self.assertEqual(self.text_room.held, 0)

    async def test_engine_without_sound_answers_gets_few_items(self) -> None:
        """Guards against items that each try an engine in trouble.

        Its slots are free again at once, so that all items that wait for a
        slot of a sound engine would run there, and cost the leader time.
        """
        self._start((Streams(30),), engine_count=4)
        endless = Streams(10**6, padding=LONG, event_seconds=0.005)
        self.client.behaviours_by_target["e0"] = [endless]
        submit = SubmitJob(scored_job("/jobs/", items=90))
        apply(self.machine, submit, time=self.clock().wall())
        await self._wait_listed(90)
        calls = self._engine_calls().count("e0")
        # Six slots at first, then one trial after 2 s and one after 4 more.
        self.assertLessEqual(calls, 6 + 2)

    @parameterized.expand(
        [
            ("begun_there", 0, EngineTrust.AVOIDED),
            ("resumed_there", 2, EngineTrust.TRUSTED),
        ]
    )
    async def test_text_that_is_too_long(
        self, _: str, saved: int, expected: EngineTrust
    ) -> None:
        """Guards against an engine that is avoided for the text of another."""
        submitted = scored_job("/jobs/", items=2)
        apply(self.machine, SubmitJob(submitted), time=self.clock().wall())
        versions = (WeightVersion(1),)
        progress = Progress(
            0,
            (LONG,) * saved,
            EventNumber(saved),
            versions,
            versions[0],
            SoftwareVersion("v1"),
        )
        if saved:
            items = {item.id: progress for item in submitted.items}
            apply(self.machine, KeepProgress(submitted.id, items))
        long = Streams(9, padding=LONG)
        self._start((long, long, Hangs()), engine_count=1)
        await asyncio.sleep(1.0)
        run = TargetRun(TargetId("e0"), "1000")
        self.assertGreater(len(self._engine_calls()), 2)
        self.assertIs(self.faults.trust(run, self.clock().monotonic()), expected)

    @parameterized.expand([("at_once", 0.0), ("late", 0.4), ("very_late", 0.9)])
    async def test_saved_text_that_was_dropped_is_not_resumed(
        self, _: str, commit_seconds: float
    ) -> None:
        """Guards against a new leader that goes on after a dropped text.

        Saved texts that were dropped also filled the share of the jobs.  A
        text may be dropped before its own commit or that of another text.
        """
        self.member.commit_seconds = commit_seconds
        endless = Streams(10**6, padding=b"x" * 80_000, event_seconds=0.06)
        first = self._start((endless, endless, Hangs()))
        submitted = scored_job("/jobs/", items=2)
        apply(self.machine, SubmitJob(submitted), time=self.clock().wall())
        state = self.jobs.jobs_by_id[submitted.id]
        async with asyncio.timeout(LISTING_TIMEOUT_SECONDS):
            while not state.text_bytes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await asyncio.sleep(3.0)
        self.assertEqual(len(self._engine_calls()), 4)
        self.assertEqual(state.text_bytes, 0)
        await self._stop(first)
        self._start((Streams(3),))
        await self._wait_listed(2)
        resumed_after = [call.resume_after for _, call in self.client.calls]
        self.assertEqual(set(resumed_after), {None})

    async def test_no_run_begins_while_the_jobs_fill_their_share(self) -> None:
        """Guards against texts for which the members have no room."""
        submit = SubmitJob(scored_job("/jobs/"))
        apply(self.machine, submit, time=self.clock().wall())
        other = replace(scored_job("/none/", items=9), id=JobId("other"))
        apply(self.machine, SubmitJob(other), time=self.clock().wall())
        held = self.jobs.held_bytes(self.clock().wall())
        shares = replace(DEFAULT_SHARES, jobs=held - 100)
        self._start((Streams(3),), shares=shares)
        await asyncio.sleep(5.0)
        self.assertEqual(self._engine_calls(), [])
        apply(self.machine, EndJob(other.id, other.organisation))
        await self._wait_listed()

    @parameterized.expand([("ahead", 40.0), ("back", -40.0)])
    async def test_jump_of_the_time_of_day(self, _: str, seconds: float) -> None:
        """Guards against items that are given up before their time."""
        jump = 0.0
        clock = Clock(lambda: EPOCH + asyncio.get_running_loop().time() + jump)
        self.clock = lambda: clock  # type: ignore[method-assign]
        self._start((Hangs(),))
        submitted = scored_job("/jobs/")
        apply(self.machine, SubmitJob(submitted), time=clock.wall())
        await asyncio.sleep(1.0)
        jump = seconds
        await asyncio.sleep(55.0)
        state = self.jobs.jobs_by_id[submitted.id]
        self.assertEqual(state.results, [])
        await asyncio.sleep(10.0)
        (result,) = state.results
        self.assertIs(result.outcome, ERRORED)

    async def test_score_is_asked_for_after_the_last_event(self) -> None:
        self._start((Streams(3, breaks_after=2), Streams(3)))
        apply(self.machine, SubmitJob(scored_job("/jobs/")), time=self.clock().wall())
        await self._wait_listed()
        self.assertEqual(self.client.called_targets[-1], "scorer")
        self.assertEqual(self.client.called_targets.count("scorer"), 1)

    async def test_ended_job_ends_its_runs(self) -> None:
        self._start((Streams(1000),))
        submitted = scored_job("/jobs/", 4)
        apply(self.machine, SubmitJob(submitted), time=self.clock().wall())
        await asyncio.sleep(1.0)
        self.assertEqual(self.client.open_calls, 4)
        apply(self.machine, EndJob(submitted.id, submitted.organisation))
        await asyncio.sleep(0.1)
        self.assertEqual(self.client.open_calls, 0)

    async def test_new_leader_goes_on_where_the_last_one_was(self) -> None:
        first = self._start((Streams(100),))
        apply(self.machine, SubmitJob(scored_job("/jobs/")), time=self.clock().wall())
        await asyncio.sleep(2.0)
        await self._stop(first)
        self._start((Streams(100),))
        await self._wait_listed()
        _, call = next(c for c in self.client.calls if c[0] != "scorer")
        assert call.resume_after is not None
        self.assertGreater(call.resume_after, 30)
        (result,) = self.jobs.jobs_by_id[JobId("job")].results
        expected = [b"%d" % number for number in range(1, 101)]
        self.assertEqual(result.text.split(b"\n"), expected)

    async def test_item_leaves_a_slow_engine(self) -> None:
        task = self._start((Streams(1),), engine_count=3)
        fast, slow = Streams(60), Streams(60, event_seconds=0.2)
        self.client.behaviours_by_target.update(e0=[fast], e1=[fast], e2=[slow])
        apply(
            self.machine, SubmitJob(scored_job("/jobs/", 9)), time=self.clock().wall()
        )
        await self._wait_listed(9)
        # At the pace of the slow engine alone, 60 events take 12 seconds.
        self.assertLess(self.clock().monotonic(), 8.0)
        self.assertFalse(task.done())

    async def test_item_leaves_an_engine_that_turns_slow_late(self) -> None:
        self._start((Streams(1),), engine_count=3)
        fast, slowing = Streams(120), Streams(120, slows_after=80)
        self.client.behaviours_by_target.update(e0=[fast], e1=[fast], e2=[slowing])
        apply(
            self.machine, SubmitJob(scored_job("/jobs/", 9)), time=self.clock().wall()
        )
        await self._wait_listed(9)
        # All events take 3.6 seconds at an engine that does not slow down, and
        # the four slow events until the item moves take another 1.2.
        self.assertLess(self.clock().monotonic(), 5.5)

    async def test_item_is_given_up_at_its_time(self) -> None:
        self._start((FULL,))
        apply(self.machine, SubmitJob(scored_job("/jobs/")), time=self.clock().wall())
        await asyncio.sleep(59.0)
        self.assertEqual(self.jobs.jobs_by_id[JobId("job")].results, [])
        await self._wait_listed()
        (result,) = self.jobs.jobs_by_id[JobId("job")].results
        self.assertIs(result.outcome, ERRORED)

    async def test_too_old_engine_gets_no_item(self) -> None:
        self._start((Streams(3),))
        strict = replace(scored_job("/jobs/"), oldest_version=WeightVersion(2))
        apply(self.machine, SubmitJob(strict), time=self.clock().wall())
        await asyncio.sleep(5.0)
        self.assertEqual(self.client.calls, [])
