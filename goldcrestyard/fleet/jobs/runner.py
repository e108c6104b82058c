"""The leader runs the items of all open jobs."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.ids import (
    CorrelationId,
    GroupId,
    JobId,
    ServiceName,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.jobs import EndedItem, ItemOutcome, Job, JobItem
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    KeepProgress,
    ListResults,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.item_runs import (
    BrokenOff,
    Failed,
    Generated,
    Impossible,
    Moved,
    NotRun,
    PaceWatch,
    RunOutcome,
    run_item,
)
from goldcrestyard.fleet.jobs.rewards import NoScore, RewardCaller, Scored
from goldcrestyard.fleet.jobs.slices import JobsSlice, JobState
from goldcrestyard.fleet.jobs.transcripts import Transcript
from goldcrestyard.fleet.jobs.waiting_line import Order
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.loading import LoadingModels
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    RemoveTarget,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.policy.call_routing import Place, distance_seconds
from goldcrestyard.policy.engine_paces import MOST_MOVES, EnginePaces
from goldcrestyard.policy.job_schedule import (
    EngineRoom,
    ItemKey,
    WaitingItem,
    assign,
)
from goldcrestyard.state.commands import AppliedEntry

logger = structlog.get_logger(__name__)

WAKE_SECONDS = 0.2
"""Rooms and versions of engines change without an event here."""

SAVE_SECONDS = 0.4
SAVED_EVENTS = 6
"""A long item gets so far between two savings; short ones end before they are
worth one."""

REQUEUE = Backoff(base_seconds=0.03, longest_seconds=0.5)

AVOID_SECONDS = 2.0
"""How long an engine that broke a run off, or could not be reached, gets no
further item while others can take it."""

LISTING_PAUSE_SECONDS = 0.2
EXPIRY_MARGIN_SECONDS = 0.5
"""An item's time counts from its trainer's first attempt to submit it, on a
clock that may differ from the leader's."""

DEFAULT_ITEM_SECONDS = 600.0
GROUPS_REMEMBERED = 4096


@dataclass(slots=True)
class ItemRun:
    """An item that this leader has taken up and not yet listed."""

    key: ItemKey
    item: JobItem
    expires_at: float
    """On the wall clock, in seconds."""
    order: Order
    """When the job was submitted, and the place of the item's group in it.
    A group counts once it is whole, so scores are not spread over groups."""
    transcript: Transcript = field(default_factory=Transcript)
    failures: int = 0
    interruptions: int = 0
    moves: int = 0
    not_before: float = 0.0
    avoided_until_by_target: dict[TargetId, float] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class JobRunner:
    """Starts items on engines, scores their texts and lists their results.

    The replicated state has the jobs and what is listed; everything else is
    lost with the leader, and its successor runs unlisted items again.
    """

    def __init__(
        self,
        member: ControlMember,
        tracker: TargetTracker,
        loading: LoadingModels,
        client: TargetClient,
        rewards: RewardCaller,
        place: Place,
        metrics: FleetMetrics,
        clock: Clock,
        source: random.Random | None = None,
    ) -> None:
        self._metrics = metrics
        self._member = member
        self._jobs = member.machine.get(JobsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._targets = member.machine.get(TargetsSlice)
        self._tracker = tracker
        self._loading = loading
        self._client = client
        self._rewards = rewards
        self._place = place
        self._clock = clock
        self._random = source or random.Random()
        self._wake = asyncio.Event()
        self._runs_by_key: dict[ItemKey, ItemRun] = {}
        self._in_use: Counter[TargetId] = Counter()
        self._paces = EnginePaces()
        self._groups_by_target: dict[TargetId, dict[GroupId, None]] = {}
        member.machine.listen(self._on_applied)

    def _on_applied(self, entry: AppliedEntry) -> None:
        match entry.envelope.command:
            case SubmitJob() | AnnounceTarget() | DrainTarget() | RemoveTarget():
                self._wake.set()
            case EndJob(job=job_id):
                for run in list(self._runs_by_key.values()):
                    if run.key.job == job_id:
                        self._drop(run)
                self._wake.set()

    async def run(self) -> None:
        """Run items for one time of leading."""
        self._runs_by_key.clear()
        self._in_use.clear()
        saving = asyncio.create_task(self._save_regularly(), name="save progress")
        try:
            while True:
                self._wake.clear()
                self._take_up()
                self._expire()
                self._start()
                await wait_at_most(WAKE_SECONDS, self._wake.wait())
        finally:
            saving.cancel()
            for run in list(self._runs_by_key.values()):
                self._drop(run)

    async def _save_regularly(self) -> None:
        """Commit what running items have generated.

        Each event goes into the log once, whether here or with the result.
        """
        while True:
            await asyncio.sleep(SAVE_SECONDS)
            for state in self._jobs.open_jobs():
                await self._save(state.job.id)

    async def _save(self, job_id: JobId) -> None:
        progress_by_run = {
            run.key: (run, len(run.transcript.events), run.transcript.unsaved())
            for run in self._runs_by_key.values()
            if run.key.job == job_id
            and len(run.transcript.events) >= run.transcript.saved + SAVED_EVENTS
        }
        if not progress_by_run:
            return
        result = await self._member.propose(
            KeepProgress(
                job_id,
                {key.item: saved for key, (_, _, saved) in progress_by_run.items()},
            ),
            self._member.instance,
            CorrelationId(job_id),
        )
        if not isinstance(result, Applied):
            return
        for run, count, saved in progress_by_run.values():
            # The transcript may have been discarded in the meantime.
            if (
                run.transcript.saved
                == saved.kept
                <= count
                <= len(run.transcript.events)
            ):
                run.transcript.saved = count

    # Taking up and giving up items.

    def _take_up(self) -> None:
        for state in self._jobs.open_jobs():
            untaken = [
                item
                for item in state.job.items
                if item.id not in state.positions_by_item
                and ItemKey(state.job.id, item.id) not in self._runs_by_key
            ]
            if not untaken:
                continue
            groups = dict.fromkeys(item.group for item in state.job.items)
            places_by_group = {group: place for place, group in enumerate(groups)}
            for item in untaken:
                key = ItemKey(state.job.id, item.id)
                route = self._route(state.job, item)
                seconds = route.item_seconds if route is not None else None
                expires_at = (
                    state.submitted_at
                    + (seconds or DEFAULT_ITEM_SECONDS)
                    + EXPIRY_MARGIN_SECONDS
                )
                self._runs_by_key[key] = ItemRun(
                    key,
                    item,
                    expires_at,
                    (state.submitted_at, places_by_group[item.group]),
                    Transcript.restore(state.progress_by_item.get(item.id)),
                )

    def _expire(self) -> None:
        now = self._clock.wall()
        for run in list(self._runs_by_key.values()):
            if now >= run.expires_at and run.task is None:
                logger.info("item given up", job=run.key.job, item=run.key.item)
                self._spawn(run, self._list(run, _errored(run)))

    def _drop(self, run: ItemRun) -> None:
        self._runs_by_key.pop(run.key, None)
        if run.task is not None:
            run.task.cancel()

    # Starting runs.

    def _start(self) -> None:
        waiting = self._waiting()
        if not waiting:
            return
        rooms = self._rooms()
        for key, target_id in assign(waiting, rooms):
            run = self._runs_by_key[key]
            target = self._targets.find(target_id)
            state = self._jobs.jobs_by_id.get(key.job)
            if target is not None and state is not None:
                may_move = run.moves < MOST_MOVES and len(rooms) > 1
                work = self._generate(run, state.job, target, may_move=may_move)
                self._spawn(run, work)

    def _waiting(self) -> list[WaitingItem]:
        now = self._clock.monotonic()
        waiting: list[WaitingItem] = []
        for state in self._jobs.open_jobs():
            for item in state.job.items:
                run = self._runs_by_key.get(ItemKey(state.job.id, item.id))
                if run is None or run.task is not None or now < run.not_before:
                    continue
                described = self._describe(state, run, now)
                if described is not None:
                    waiting.append(described)
        return waiting

    def _describe(
        self, state: JobState, run: ItemRun, now: float
    ) -> WaitingItem | None:
        route = self._route(state.job, run.item)
        if route is None:
            return None
        needs: WeightVersion | None = None
        if route.single_version and run.transcript.last is not None:
            needs = run.transcript.current_version
        return WaitingItem(
            run.key,
            route.services[0].name,
            run.item.model,
            state.job.oldest_version,
            run.item.group,
            needs,
            frozenset(
                target
                for target, until in run.avoided_until_by_target.items()
                if now < until
            ),
        )

    def _rooms(self) -> list[EngineRoom]:
        rooms: list[EngineRoom] = []
        now = self._clock.monotonic()
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            versions = self._tracker.versions(target)
            if target.state is not TargetState.READY or not versions:
                continue
            rooms.append(
                EngineRoom(
                    target.id,
                    ServiceName(target.serves[0]),
                    target.max_concurrency,
                    self._in_use[target.id],
                    distance_seconds(self._place, target),
                    versions,
                    self._loading.of(target.id),
                    set(self._groups_by_target.get(target.id, ())),
                    self._paces.pace(target.id, now),
                )
            )
        return rooms

    def _spawn(self, run: ItemRun, work: Coroutine[Any, Any, None]) -> None:
        run.task = asyncio.create_task(work, name=f"item {run.key.item}")
        run.task.add_done_callback(lambda task: self._ended(run, task))

    def _ended(self, run: ItemRun, task: asyncio.Task[None]) -> None:
        run.task = None
        self._wake.set()
        if not task.cancelled() and task.exception() is not None:
            run.not_before = self._clock.monotonic() + REQUEUE.longest_seconds
            logger.error(
                "item run failed", item=run.key.item, exc_info=task.exception()
            )

    # One item.

    async def _generate(
        self, run: ItemRun, job: Job, target: Target, *, may_move: bool
    ) -> None:
        """Run an item at an engine, then score and list it."""
        self._in_use[target.id] += 1
        self._remember_group(target.id, run.item.group)
        began = self._clock.monotonic()
        seconds_left = max(0.1, run.expires_at - self._clock.wall())
        first = run.transcript.last
        try:
            outcome = await run_item(
                self._client,
                target,
                job,
                run.item,
                run.transcript,
                seconds_left,
                PaceWatch(self._paces, target, self._clock, may_move=may_move),
            )
        finally:
            self._in_use[target.id] -= 1
            self._wake.set()
        if run.transcript.current_version is not None:
            self._tracker.learn_version(
                target, run.item.model, run.transcript.current_version
            )
        seconds = self._clock.monotonic() - began
        self._metrics.item_runs.labels(type(outcome).__name__).inc()
        self._metrics.item_seconds.observe(seconds)
        logger.info(
            "item run ended",
            job=job.id,
            item=run.item.id,
            target=target.id,
            incarnation=target.incarnation,
            resumed_after=first,
            last_event=run.transcript.last,
            versions=sorted(run.transcript.versions),
            outcome=str(outcome),
            seconds=round(seconds, 3),
        )
        await self._follow_up(run, job, target, outcome)

    async def _follow_up(
        self, run: ItemRun, job: Job, target: Target, outcome: RunOutcome
    ) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Generated():
                await self._score(run, job)
            case Impossible():
                await self._list(run, _errored(run))
            case Failed():
                run.failures += 1
                run.transcript.discard()
                route = self._route(job, run.item)
                if route is not None and run.failures >= route.max_attempts:
                    await self._list(run, _errored(run))
                run.avoided_until_by_target[target.id] = now + AVOID_SECONDS
            case NotRun(unreached=unreached):
                self._requeue(run, now)
                if unreached:
                    run.avoided_until_by_target[target.id] = now + AVOID_SECONDS
            case Moved():
                run.moves += 1
                run.avoided_until_by_target[target.id] = now + AVOID_SECONDS
                if self._must_restart(run, job):
                    run.transcript.discard()
            case BrokenOff():
                self._requeue(run, now)
                run.avoided_until_by_target[target.id] = now + AVOID_SECONDS
                if self._must_restart(run, job):
                    run.transcript.discard()

    def _requeue(self, run: ItemRun, now: float) -> None:
        run.interruptions += 1
        delay = REQUEUE.delay_seconds(run.interruptions, self._random.random())
        run.not_before = now + delay

    def _must_restart(self, run: ItemRun, job: Job) -> bool:
        """Return whether what an item has cannot be gone on with."""
        route = self._route(job, run.item)
        single = route is not None and route.single_version
        return single and len(run.transcript.versions) > 1

    async def _score(self, run: ItemRun, job: Job) -> None:
        if self._must_restart(run, job):
            logger.info("item has two versions; it runs again", item=run.key.item)
            run.transcript.discard()
            return
        score = ""
        began = self._clock.monotonic()
        if run.item.reward is not None:
            deadline = self._clock.monotonic() + run.expires_at - self._clock.wall()
            match await self._rewards.score(run.item.reward, deadline, run.order):
                case Scored(score=text):
                    score = text
                case NoScore():
                    logger.info(
                        "item has no score",
                        item=run.key.item,
                        request=run.item.reward.request,
                    )
                    await self._list(run, _errored(run))
                    return
        await self._list(
            run,
            EndedItem(
                run.item.id, ItemOutcome.COMPLETE, run.transcript.unsaved(), score
            ),
            self._clock.monotonic() - began,
        )

    async def _list(
        self, run: ItemRun, ended: EndedItem, score_seconds: float | None = None
    ) -> None:
        """Commit a result, for as long as this member leads."""
        command = ListResults(run.key.job, (ended,))
        while True:
            outcome = await self._member.propose(
                command, self._member.instance, CorrelationId(run.key.item)
            )
            if isinstance(outcome, Applied):
                break
            await asyncio.sleep(LISTING_PAUSE_SECONDS)
        self._metrics.items.labels(ended.outcome.value).inc()
        logger.info(
            "item listed",
            job=run.key.job,
            item=run.key.item,
            outcome=ended.outcome.value,
            versions=sorted(run.transcript.versions),
            request=run.item.reward.request if run.item.reward is not None else None,
            score_seconds=None if score_seconds is None else round(score_seconds, 3),
        )
        self._runs_by_key.pop(run.key, None)

    def _route(self, job: Job, item: JobItem) -> ServingRoute | None:
        table = self._serving.table
        return table.route(job.host, item.path) if table is not None else None

    def _remember_group(self, target_id: TargetId, group: GroupId) -> None:
        groups = self._groups_by_target.setdefault(target_id, {})
        groups[group] = None
        if len(groups) > GROUPS_REMEMBERED:
            del groups[next(iter(groups))]


def _errored(run: ItemRun) -> EndedItem:
    return EndedItem(run.item.id, ItemOutcome.ERRORED)
