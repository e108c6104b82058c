"""Scheduler of batch jobs on the leader.

Assigns the unfinished items of open jobs to engines, follows each run, has
completed texts scored, and commits each item's result to the replicated list
of its job.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import structlog

from goldcrestyard.consensus.control_member import DEFAULT_SHARES, ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.ids import (
    CorrelationId,
    GroupId,
    JobId,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.jobs import EndedItem, ItemOutcome, Job, JobItem, Progress
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    KeepProgress,
    ListResults,
    StageJobPart,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.item_runs import (
    BrokenOff,
    Failed,
    Generated,
    Impossible,
    Malformed,
    Moved,
    NotRun,
    RunOutcome,
    SlowEngineDetector,
    TooLong,
    run_item,
)
from goldcrestyard.fleet.jobs.rewards import NoScore, RewardClient, Scored
from goldcrestyard.fleet.jobs.slices import JobsSlice, JobState
from goldcrestyard.fleet.jobs.slot_queue import Rank
from goldcrestyard.fleet.jobs.transcripts import TextShortage, Transcript
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.loading import LoadingModels
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    RemoveTarget,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.policy.call_routing import CallerLocation, distance_seconds
from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.policy.engine_faults import EngineFaults
from goldcrestyard.policy.engine_paces import MAX_MOVES_PER_ITEM, EnginePaces
from goldcrestyard.policy.item_lengths import ItemLengths
from goldcrestyard.policy.job_schedule import (
    EngineSlots,
    EngineTrust,
    ItemKey,
    TextLoss,
    WaitingItem,
    assign,
    longest_first,
    may_continue,
    text_loss,
)
from goldcrestyard.policy.job_sizes import progress_size
from goldcrestyard.policy.memory import ControlShares
from goldcrestyard.state.commands import AppliedEntry

logger = structlog.get_logger(__name__)

SCHEDULING_INTERVAL_SECONDS = 0.2
"""Longest time in seconds between two scheduling passes.  The scheduler is not
notified of every change of the engines' free slots and weight versions."""

PROGRESS_SAVE_INTERVAL_SECONDS = 0.4
MIN_UNSAVED_EVENTS = 6
"""Minimum number of new events of an item for which its progress is saved.
Short items end before a save would pay off."""

MAX_SAVED_BYTES = 256 * 1024
"""Size of the progress that is saved with one log entry, unless that of a
single item is larger."""

REQUEUE_BACKOFF = Backoff(base_seconds=0.03, longest_seconds=0.5)
"""Delay of an item's next run after runs that were refused or interrupted."""

ENGINE_AVOIDANCE_SECONDS = 2.0
"""Time in seconds for which an item prefers other engines after a run that
failed, was interrupted or slow, or did not reach its engine."""

LISTING_RETRY_SECONDS = 0.2
"""Pause in seconds before an uncommitted result is proposed again."""

EXPIRY_MARGIN_SECONDS = 0.5
"""Time in seconds added to an item's time limit.  The trainer counts the limit
from its first attempt to submit the job, on a clock that may differ from the
leader's."""

DEFAULT_ITEM_TIMEOUT_SECONDS = 600.0
"""Time limit in seconds of an item whose route sets none."""

MAX_GROUPS_PER_ENGINE = 4096
"""Maximum number of groups recorded per engine as having read their shared
prompt; the oldest is dropped first."""


@dataclass(slots=True)
class PendingItem:
    """The state of an item whose result this leader has not committed yet.

    An item may need several runs, at different engines, until it is complete.
    """

    key: ItemKey
    item: JobItem
    expires_at: float
    """Monotonic time in seconds from which the item counts as errored."""
    rank: Rank
    """Rank of its reward call: the job's submission time, then the position of
    the item's group in the job.  A group counts only when complete, so groups
    are scored one after another."""
    transcript: Transcript = field(default_factory=Transcript)
    failures: int = 0
    """Number of runs answered with an error status, limited by the route's
    ``max_attempts``."""
    interruptions: int = 0
    """Number of runs that were refused, unreached or interrupted."""
    moves: int = 0
    """Number of runs abandoned because the engine was slow."""
    text_ran_at: float = 0.0
    """Monotonic time at which the last run that added to the text ended, or at
    which this leader took the item over."""
    begun_at: Target | None = None
    """The target that began the text; None if another leader saw it begin."""
    not_before: float = 0.0
    """Monotonic time of the earliest next run."""
    avoided_until_by_target: dict[TargetId, float] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None
    """The task that runs, scores or lists the item; None while it waits."""


class JobRunner:
    """Runs the items of open jobs and commits their results.

    Jobs, listed results and saved progress are replicated.  All other state
    is lost with the leader; its successor resumes unlisted items from their
    saved progress.
    """

    def __init__(
        self,
        member: ControlMember,
        tracker: TargetTracker,
        loading: LoadingModels,
        work: JobWork,
        client: TargetClient,
        rewards: RewardClient,
        location: CallerLocation,
        metrics: FleetMetrics,
        clock: Clock,
        random_source: random.Random | None = None,
        permitted_runs: Callable[[Target], int | None] | None = None,
        is_leaving: Callable[[Target], bool] | None = None,
        shares: ControlShares = DEFAULT_SHARES,
        control: EngineControl | None = None,
    ) -> None:
        """Create a runner.

        ``permitted_runs`` returns how many runs a target's request limit
        allows to start now; without it no target has a limit.  ``is_leaving``
        tells whether a target gets no more requests, as it leaves or its data
        centre is evacuated; without it none does.
        ``shares`` bound what the texts of items take.  ``control`` asks an
        engine which run it is before it goes on with a text; without it the
        recorded run counts.
        """
        self._max_jobs_bytes = shares.jobs
        self._had_room = True
        self._text_room = ByteRoom(shares.texts)
        self._is_leaving = is_leaving
        self._control = control
        self._permitted_runs = permitted_runs
        self._metrics = metrics
        self._member = member
        self._jobs = member.machine.get(JobsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._targets = member.machine.get(TargetsSlice)
        self._tracker = tracker
        self._loading = loading
        self._work = work
        self._client = client
        self._rewards = rewards
        self._location = location
        self._clock = clock
        self._random = random_source or random.Random()
        self._wake_event = asyncio.Event()
        self._pending_by_key: dict[ItemKey, PendingItem] = {}
        self._slots_in_use: Counter[TargetId] = Counter()
        self._seen_at_by_job: dict[JobId, float] = {}
        self._paces = EnginePaces()
        self._faults = EngineFaults()
        self._lengths = ItemLengths()
        self._refused_at_by_run: dict[TargetRun, float] = {}
        """Runs of engines that have lately refused a connection."""
        self._groups_by_target: dict[TargetId, dict[GroupId, None]] = {}
        member.machine.listen(self._on_applied)

    def _on_applied(self, entry: AppliedEntry) -> None:
        match entry.envelope.command:
            case SubmitJob(job=job):
                self._note_submission(job.id)
            case StageJobPart(job=job_id) if job_id in self._jobs.jobs_by_id:
                self._note_submission(job_id)
            case AnnounceTarget() | DrainTarget() | RemoveTarget():
                self._wake_event.set()
            case EndJob(job=job_id):
                for pending in list(self._pending_by_key.values()):
                    if pending.key.job == job_id:
                        self._cancel(pending)
                self._wake_event.set()

    def _note_submission(self, job_id: JobId) -> None:
        self._seen_at_by_job.setdefault(job_id, self._clock.monotonic())
        self._forget_dropped_jobs()
        self._wake_event.set()

    async def run(self) -> None:
        """Run items during one term as leader, until cancelled."""
        for pending in list(self._pending_by_key.values()):
            self._forget(pending)
        self._slots_in_use.clear()
        save_task = asyncio.create_task(self._save_periodically(), name="save progress")
        try:
            while True:
                self._wake_event.clear()
                self._add_open_items()
                self._expire_items()
                self._start_runs()
                await wait_at_most(SCHEDULING_INTERVAL_SECONDS, self._wake_event.wait())
        finally:
            save_task.cancel()
            for pending in list(self._pending_by_key.values()):
                self._cancel(pending)

    async def _save_periodically(self) -> None:
        """Commit the progress of running items at fixed intervals.

        Each event is written to the replicated log once: either here or with
        the item's result.  Saved text that an item has dropped is dropped here
        as well; a new leader would resume the item after it, and it would
        take room from the texts of others.
        """
        while True:
            await asyncio.sleep(PROGRESS_SAVE_INTERVAL_SECONDS)
            for state in self._jobs.open_jobs():
                await self._save_progress(state.job.id)

    async def _save_progress(self, job_id: JobId) -> None:
        progress_by_key = {
            pending.key: (
                pending.transcript,
                pending.transcript.drops,
                pending.transcript.unsaved_progress(),
            )
            for pending in self._pending_by_key.values()
            if pending.key.job == job_id
            and (
                pending.transcript.drop_unsaved
                or len(pending.transcript.events)
                >= pending.transcript.saved_count + MIN_UNSAVED_EVENTS
            )
        }
        if not progress_by_key:
            return
        for part in _split_progress(progress_by_key):
            await self._propose_progress(job_id, part)

    async def _propose_progress(
        self, job_id: JobId, progress_by_key: "_ProgressByKey"
    ) -> None:
        # Texts may have been dropped while earlier parts were committed.
        progress_by_key = {
            key: entry
            for key, entry in progress_by_key.items()
            if entry[0].drops == entry[1]
        }
        if not progress_by_key:
            return
        for transcript, _, _ in progress_by_key.values():
            transcript.may_be_saved = True
        result = await self._member.propose(
            KeepProgress(
                job_id,
                {key.item: saved for key, (_, _, saved) in progress_by_key.items()},
            ),
            self._member.instance,
            CorrelationId(job_id),
        )
        if not isinstance(result, Applied):
            return
        for transcript, drops, saved in progress_by_key.values():
            # The transcript may have been discarded during the commit.
            if transcript.drops == drops:
                transcript.record_saved(saved)

    # Adding, expiring and cancelling items.

    def _add_open_items(self) -> None:
        for state in self._jobs.open_jobs():
            new_items = [
                item
                for item in state.job.items
                if item.id not in state.positions_by_item
                and ItemKey(state.job.id, item.id) not in self._pending_by_key
            ]
            if not new_items:
                continue
            groups = dict.fromkeys(item.group for item in state.job.items)
            positions_by_group = {
                group: position for position, group in enumerate(groups)
            }
            for item in new_items:
                key = ItemKey(state.job.id, item.id)
                route = self._find_route(state.job, item)
                seconds = route.item_seconds if route is not None else None
                expires_at = (
                    self._submitted_at(state)
                    + (seconds or DEFAULT_ITEM_TIMEOUT_SECONDS)
                    + EXPIRY_MARGIN_SECONDS
                )
                self._pending_by_key[key] = PendingItem(
                    key,
                    item,
                    expires_at,
                    (state.submitted_at, positions_by_group[item.group]),
                    Transcript.restore(
                        state.progress_by_item.get(item.id), self._text_room.lease()
                    ),
                    text_ran_at=self._clock.monotonic(),
                )

    def _submitted_at(self, state: JobState) -> float:
        """Return the monotonic time at which this process learned of a job.

        The time of day may jump, and an item must not be given up early.  It
        is used only for a job that this process knows from a snapshot.  A
        member that learns of a job late, from the log after a restart or a
        partition, gives the job's items up as much later.
        """
        seen_at = self._seen_at_by_job.get(state.job.id)
        if seen_at is None:
            age = max(0.0, self._clock.wall() - state.submitted_at)
            seen_at = self._clock.monotonic() - age
            self._seen_at_by_job[state.job.id] = seen_at
        return seen_at

    def _forget_dropped_jobs(self) -> None:
        if len(self._seen_at_by_job) > 2 * len(self._jobs.jobs_by_id) + 64:
            self._seen_at_by_job = {
                job: seen_at
                for job, seen_at in self._seen_at_by_job.items()
                if job in self._jobs.jobs_by_id
            }

    def _expire_items(self) -> None:
        now = self._clock.monotonic()
        for pending in list(self._pending_by_key.values()):
            if now >= pending.expires_at and pending.task is None:
                logger.info(
                    "item expired before completion",
                    job=pending.key.job,
                    item=pending.key.item,
                )
                self._spawn(pending, self._list_result(pending, _errored_item(pending)))

    def _cancel(self, pending: PendingItem) -> None:
        self._forget(pending)
        if pending.task is not None:
            pending.task.cancel()

    def _forget(self, pending: PendingItem) -> None:
        self._pending_by_key.pop(pending.key, None)
        pending.transcript.release()

    # Starting runs.

    def _start_runs(self) -> None:
        waiting = {item.key: item for item in self._waiting_items()}
        engines = self._available_engines() if waiting else []
        if waiting and not self._has_room_for_texts():
            engines = []
        losses = self._find_text_losses(waiting, engines)
        texts = {key: waiting[key] for key in losses}
        for key in losses:
            waiting[key] = self._as_new_start(waiting[key])
        engines_by_id = {engine.id: engine for engine in engines}
        for key, target_id in assign(waiting.values(), engines):
            del waiting[key]
            if key in texts and engines_by_id[target_id].serves(texts[key]):
                del losses[key]
            pending = self._pending_by_key[key]
            target = self._targets.find(target_id)
            state = self._jobs.jobs_by_id.get(key.job)
            if target is not None and state is not None:
                may_move = pending.moves < MAX_MOVES_PER_ITEM and any(
                    engine.id != target.id
                    and engine.service in target.serves
                    and engine.software == target.software
                    for engine in engines
                )
                work = self._generate(
                    pending,
                    state.job,
                    target,
                    may_move=may_move,
                    loss=losses.get(key),
                )
                self._spawn(pending, work)
        self._work.record_pass(
            ((item.model, item.oldest_version) for item in waiting.values()),
            self._slots_in_use,
        )

    def _find_text_losses(
        self, waiting: dict[ItemKey, WaitingItem], engines: list[EngineSlots]
    ) -> dict[ItemKey, TextLoss]:
        """Return the items whose text no engine can go on with in time."""
        now = self._clock.monotonic()
        unheard = self._unheard_software()
        losses: dict[ItemKey, TextLoss] = {}
        for key, item in waiting.items():
            pending = self._pending_by_key[key]
            if self._is_other_software(pending, pending.begun_at):
                losses[key] = TextLoss.ENGINE_RESTARTED
                continue
            waited = now - pending.text_ran_at
            loss = text_loss(item, engines, unheard.get(item.service, ()), waited)
            if loss is not None:
                losses[key] = loss
        return losses

    def _as_new_start(self, item: WaitingItem) -> WaitingItem:
        """Return a waiting item as it would be without its text."""
        request = self._pending_by_key[item.key].item
        return replace(
            item,
            required_software=None,
            required_version=None,
            remaining_events=self._lengths.remaining_events(
                item.model, request.estimated_tokens, 0
            ),
        )

    def _drop_text(self, pending: PendingItem, loss: TextLoss) -> None:
        transcript = pending.transcript
        self._metrics.lost_texts.labels(loss.value).inc()
        logger.info(
            "item starts again: no engine can go on with its text",
            reason=loss.value,
            item=pending.key.item,
            software=transcript.software,
            events=len(transcript.events),
            job=pending.key.job,
        )
        transcript.discard()

    def _unheard_software(self) -> dict[ServiceName, set[SoftwareVersion]]:
        """Return the software of engines without known weights, by service."""
        unheard: dict[ServiceName, set[SoftwareVersion]] = {}
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            if self._takes_runs(target) and not self._tracker.versions(target):
                service = ServiceName(target.serves[0])
                unheard.setdefault(service, set()).add(target.software)
        return unheard

    def _takes_runs(self, target: Target) -> bool:
        return target.state is TargetState.READY and not (
            self._is_leaving is not None and self._is_leaving(target)
        )

    def _has_room_for_texts(self) -> bool:
        """Return whether the jobs leave room for the texts of further runs."""
        held = self._jobs.held_bytes(self._clock.wall())
        had_room, self._had_room = self._had_room, held <= self._max_jobs_bytes
        if had_room and not self._had_room:
            logger.warning(
                "no room for further texts; items wait",
                held_bytes=held,
                max_bytes=self._max_jobs_bytes,
            )
        return self._had_room

    def _waiting_items(self) -> list[WaitingItem]:
        now = self._clock.monotonic()
        waiting: list[WaitingItem] = []
        for state in self._jobs.open_jobs():
            of_job: list[WaitingItem] = []
            for item in state.job.items:
                pending = self._pending_by_key.get(ItemKey(state.job.id, item.id))
                if (
                    pending is None
                    or pending.task is not None
                    or now < pending.not_before
                ):
                    continue
                waiting_item = self._to_waiting_item(state, pending, now)
                if waiting_item is not None:
                    of_job.append(waiting_item)
            waiting += longest_first(of_job)
        return waiting

    def _to_waiting_item(
        self, state: JobState, pending: PendingItem, now: float
    ) -> WaitingItem | None:
        route = self._find_route(state.job, pending.item)
        if route is None:
            return None
        needed_version: WeightVersion | None = None
        if route.single_version and pending.transcript.last_event is not None:
            needed_version = pending.transcript.current_version
        return WaitingItem(
            pending.key,
            route.services[0].name,
            pending.item.model,
            state.job.oldest_version,
            pending.item.group,
            needed_version,
            pending.transcript.required_software,
            self._lengths.remaining_events(
                pending.item.model,
                pending.item.estimated_tokens,
                len(pending.transcript.events),
            ),
            frozenset(
                target
                for target, until in pending.avoided_until_by_target.items()
                if now < until
            ),
        )

    def _available_engines(self) -> list[EngineSlots]:
        engines: list[EngineSlots] = []
        now = self._clock.monotonic()
        self._refused_at_by_run = {
            run: refused_at
            for run, refused_at in self._refused_at_by_run.items()
            if now < refused_at + ENGINE_AVOIDANCE_SECONDS
        }
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            versions = self._tracker.versions(target)
            if not versions or not self._takes_runs(target):
                continue
            engines.append(
                EngineSlots(
                    target.id,
                    ServiceName(target.serves[0]),
                    target.max_concurrency,
                    self._slots_in_use[target.id],
                    distance_seconds(self._location, target),
                    versions,
                    self._loading.models_on(target.id),
                    set(self._groups_by_target.get(target.id, ())),
                    self._permitted_runs(target) if self._permitted_runs else None,
                    self._paces.pace(target.id, now),
                    self._faults.trust(_run_of(target), now),
                    target.software,
                    _run_of(target) in self._refused_at_by_run,
                )
            )
        return engines

    def _spawn(self, pending: PendingItem, work: Coroutine[Any, Any, None]) -> None:
        pending.task = asyncio.create_task(work, name=f"item {pending.key.item}")
        pending.task.add_done_callback(lambda task: self._on_task_done(pending, task))

    def _on_task_done(self, pending: PendingItem, task: asyncio.Task[None]) -> None:
        pending.task = None
        self._wake_event.set()
        if not task.cancelled() and task.exception() is not None:
            pending.not_before = (
                self._clock.monotonic() + REQUEUE_BACKOFF.longest_seconds
            )
            logger.error(
                "item task raised an exception",
                item=pending.key.item,
                exc_info=task.exception(),
            )

    # Running, scoring and listing one item.

    async def _generate(
        self,
        pending: PendingItem,
        job: Job,
        target: Target,
        *,
        may_move: bool,
        loss: TextLoss | None = None,
    ) -> None:
        """Run an item once at an engine and act on the outcome.

        ``loss`` tells why its text cannot go on, so that the run starts again.
        """
        self._slots_in_use[target.id] += 1
        self._remember_group(target.id, pending.item.group)
        began = self._clock.monotonic()
        seconds_left = max(0.1, pending.expires_at - began)
        transcript = pending.transcript
        before = (transcript.drops, transcript.last_event)
        resumed_after = transcript.last_event if loss is None else None
        start_again = None if loss is None else partial(self._drop_text, pending, loss)
        try:
            refusal = None
            if resumed_after is not None:
                refusal = await self._check_recorded_run(target)
            outcome = refusal or await run_item(
                self._client,
                target,
                job,
                pending.item,
                transcript,
                seconds_left,
                SlowEngineDetector(self._paces, target, self._clock, may_move=may_move),
                start_again,
            )
        finally:
            self._slots_in_use[target.id] -= 1
            self._wake_event.set()
        has_changed = (transcript.drops, transcript.last_event) != before
        if has_changed and transcript.current_version is not None:
            self._tracker.record_version(
                target, pending.item.model, transcript.current_version
            )
        seconds = self._clock.monotonic() - began
        self._metrics.item_runs.labels(type(outcome).__name__).inc()
        self._metrics.item_seconds.observe(seconds)
        logger.info(
            "item run ended",
            job=job.id,
            item=pending.item.id,
            target=target.id,
            incarnation=target.incarnation,
            software=target.software,
            resumed_after=resumed_after,
            last_event=pending.transcript.last_event,
            versions=sorted(pending.transcript.versions),
            outcome=str(outcome),
            seconds=round(seconds, 3),
        )
        if isinstance(outcome, Generated):
            self._work.record_run(pending.item.model, seconds)
            self._lengths.observe(
                pending.item.model,
                pending.item.estimated_tokens,
                len(pending.transcript.events),
            )
        self._record_trust(pending, target, outcome, whole_text=resumed_after is None)
        if has_changed:
            pending.text_ran_at = self._clock.monotonic()
            if resumed_after is None:
                pending.begun_at = target
            if self._is_other_software(pending, target) or self._is_other_software(
                pending, pending.begun_at
            ):
                self._drop_text(pending, TextLoss.ENGINE_RESTARTED)
                if isinstance(outcome, Generated):
                    return
        await self._handle_outcome(pending, job, target, outcome)

    async def _check_recorded_run(self, target: Target) -> NotRun | None:
        """Return why a text may not go on at an engine, or None if it may.

        An engine that starts again under its id may have other software, and
        accepts requests before its first heartbeat is received.
        """
        present = self._targets.find(target.id)
        if present is None or present.incarnation != target.incarnation:
            return NotRun("the recorded run has ended", False)
        if self._control is None:
            return None
        report = await self._control.report(target)
        if report is None:
            return NotRun("the engine does not tell which run it is", True)
        if report.incarnation not in ("", target.incarnation):
            return NotRun("another run than the recorded one", True)
        return None

    def _is_other_software(self, pending: PendingItem, target: Target | None) -> bool:
        """Return whether the target has started again with other software.

        Its record may be older than the process at its address, so a run that
        was sent to one run of the target may have reached the next.
        """
        if target is None:
            return False
        present = self._targets.find(target.id)
        required = pending.transcript.required_software
        return (
            present is not None
            and present.incarnation != target.incarnation
            and required is not None
            and not may_continue(required, present.software)
        )

    def _record_trust(
        self,
        pending: PendingItem,
        target: Target,
        outcome: RunOutcome,
        *,
        whole_text: bool,
    ) -> None:
        """Record for all items what a run has shown of its engine.

        ``whole_text`` tells whether the run began the item's text.  The text
        of another engine is no fault of one that resumes it.
        """
        match outcome:
            case Generated():
                self._faults.note_text(_run_of(target))
            case TooLong(shortage=TextShortage.TEXT) if whole_text:
                self._note_fault(pending, target)
            case Malformed():
                self._note_fault(pending, target)

    def _note_fault(self, pending: PendingItem, target: Target) -> None:
        run = _run_of(target)
        now = self._clock.monotonic()
        before = self._faults.trust(run, now)
        self._faults.note_fault(run, pending.key, now)
        trust = self._faults.trust(run, now)
        if trust is EngineTrust.AVOIDED and trust is not before:
            logger.warning(
                "engine avoided: invalid answers to items",
                target=target.id,
                incarnation=target.incarnation,
            )

    async def _handle_outcome(
        self, pending: PendingItem, job: Job, target: Target, outcome: RunOutcome
    ) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Generated():
                await self._score(pending, job)
            case Impossible():
                await self._list_result(pending, _errored_item(pending))
            case Failed():
                pending.failures += 1
                pending.transcript.discard()
                route = self._find_route(job, pending.item)
                if route is not None and pending.failures >= route.max_attempts:
                    await self._list_result(pending, _errored_item(pending))
                pending.avoided_until_by_target[target.id] = (
                    now + ENGINE_AVOIDANCE_SECONDS
                )
            case NotRun(unreached=unreached):
                self._requeue(pending, now)
                if unreached:
                    await self._note_unreached(pending, target)
            case TooLong(shortage=shortage):
                logger.warning(
                    "text of an item dropped",
                    job=job.id,
                    item=pending.item.id,
                    target=target.id,
                    reason=shortage.value,
                )
                pending.transcript.discard()
                self._requeue(pending, now)
                pending.avoided_until_by_target[target.id] = (
                    now + ENGINE_AVOIDANCE_SECONDS
                )
            case Moved():
                pending.moves += 1
                pending.avoided_until_by_target[target.id] = (
                    now + ENGINE_AVOIDANCE_SECONDS
                )
                if self._must_restart(pending, job):
                    pending.transcript.discard()
            case BrokenOff() | Malformed():
                self._requeue(pending, now)
                pending.avoided_until_by_target[target.id] = (
                    now + ENGINE_AVOIDANCE_SECONDS
                )
                if self._must_restart(pending, job):
                    pending.transcript.discard()

    async def _note_unreached(self, pending: PendingItem, target: Target) -> None:
        now = self._clock.monotonic()
        pending.avoided_until_by_target[target.id] = now + ENGINE_AVOIDANCE_SECONDS
        if await self._client.refuses_connections(target):
            self._refused_at_by_run[_run_of(target)] = now

    def _requeue(self, pending: PendingItem, now: float) -> None:
        pending.interruptions += 1
        delay = REQUEUE_BACKOFF.delay_seconds(
            pending.interruptions, self._random.random()
        )
        pending.not_before = now + delay

    def _must_restart(self, pending: PendingItem, job: Job) -> bool:
        """Return whether an item mixes versions on a single-version route."""
        route = self._find_route(job, pending.item)
        single = route is not None and route.single_version
        return single and len(pending.transcript.versions) > 1

    async def _score(self, pending: PendingItem, job: Job) -> None:
        if self._must_restart(pending, job):
            logger.info(
                "item restarted: generated by more than one weight version",
                item=pending.key.item,
            )
            pending.transcript.discard()
            return
        score = ""
        began = self._clock.monotonic()
        if pending.item.reward is not None:
            match await self._rewards.score(
                pending.item.reward, pending.expires_at, pending.rank
            ):
                case Scored(score=text):
                    score = text
                case NoScore():
                    logger.info(
                        "item errored: no score",
                        item=pending.key.item,
                        request=pending.item.reward.request,
                    )
                    await self._list_result(pending, _errored_item(pending))
                    return
        await self._list_result(
            pending,
            EndedItem(
                pending.item.id,
                ItemOutcome.COMPLETE,
                pending.transcript.unsaved_progress(),
                score,
            ),
            self._clock.monotonic() - began,
        )

    async def _list_result(
        self, pending: PendingItem, ended: EndedItem, score_seconds: float | None = None
    ) -> None:
        """Commit a result, retrying until it is applied or the task ends."""
        command = ListResults(pending.key.job, (ended,))
        while True:
            outcome = await self._member.propose(
                command, self._member.instance, CorrelationId(pending.key.item)
            )
            if isinstance(outcome, Applied):
                break
            await asyncio.sleep(LISTING_RETRY_SECONDS)
        self._metrics.items.labels(ended.outcome.value).inc()
        logger.info(
            "item listed",
            job=pending.key.job,
            item=pending.key.item,
            outcome=ended.outcome.value,
            versions=sorted(pending.transcript.versions),
            request=pending.item.reward.request
            if pending.item.reward is not None
            else None,
            score_seconds=None if score_seconds is None else round(score_seconds, 3),
        )
        self._forget(pending)

    def _find_route(self, job: Job, item: JobItem) -> ServingRoute | None:
        table = self._serving.table
        return table.route(job.host, item.path) if table is not None else None

    def _remember_group(self, target_id: TargetId, group: GroupId) -> None:
        if target_id not in self._groups_by_target:
            # Targets come and go; what was read on those gone is forgotten.
            for gone in self._groups_by_target.keys() - self._targets.homed_by_id:
                del self._groups_by_target[gone]
        groups = self._groups_by_target.setdefault(target_id, {})
        groups[group] = None
        if len(groups) > MAX_GROUPS_PER_ENGINE:
            del groups[next(iter(groups))]


_ProgressByKey = dict[ItemKey, tuple[Transcript, int, Progress]]


def _split_progress(progress_by_key: _ProgressByKey) -> Iterator[_ProgressByKey]:
    """Yield the progress of items in parts that fit into a log entry each."""
    part: _ProgressByKey = {}
    size = 0
    for key, entry in progress_by_key.items():
        if part and size + progress_size(entry[2]) > MAX_SAVED_BYTES:
            yield part
            part, size = {}, 0
        part[key] = entry
        size += progress_size(entry[2])
    yield part


def _run_of(target: Target) -> TargetRun:
    return TargetRun(target.id, target.incarnation)


def _errored_item(pending: PendingItem) -> EndedItem:
    return EndedItem(pending.item.id, ItemOutcome.ERRORED)
