"""Runner of batch jobs on the leader.

Keeps the unfinished items of open jobs, lets those that are chosen run, and
gives up those that have expired.  ``ordering`` says which item starts first,
``choosing`` assigns items to engines, ``running`` follows each run,
``listing`` has complete texts scored and commits the results, and ``saving``
commits progress.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from goldcrestyard.consensus.control_member import DEFAULT_SHARES, ControlMember
from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.ids import (
    JobId,
)
from goldcrestyard.core.jobs import ItemOutcome
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.jobs.choosing import ItemChooser
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    StageJobPart,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.engine_notes import EngineNotes
from goldcrestyard.fleet.jobs.groups import GroupCounts
from goldcrestyard.fleet.jobs.item_services import ItemServices
from goldcrestyard.fleet.jobs.listing import ItemLister, errored_item
from goldcrestyard.fleet.jobs.ordering import JobOrdering
from goldcrestyard.fleet.jobs.pending import PendingItem, find_route
from goldcrestyard.fleet.jobs.rewards import RewardClient
from goldcrestyard.fleet.jobs.running import REQUEUE_BACKOFF, ItemRunner
from goldcrestyard.fleet.jobs.saving import ProgressSaver
from goldcrestyard.fleet.jobs.slices import JobsSlice, JobState
from goldcrestyard.fleet.jobs.transcripts import Transcript
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
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.job_schedule import (
    ItemKey,
)
from goldcrestyard.policy.memory import ControlShares
from goldcrestyard.state.commands import AppliedEntry

logger = structlog.get_logger(__name__)

SCHEDULING_INTERVAL_SECONDS = 0.2
"""Longest time in seconds between two scheduling passes.  The scheduler is not
notified of every change of the engines' free slots and weight versions."""

EXPIRY_MARGIN_SECONDS = 0.5
"""Time in seconds added to an item's time limit.  The trainer counts the limit
from its first attempt to submit the job, on a clock that may differ from the
leader's."""

DEFAULT_ITEM_TIMEOUT_SECONDS = 600.0
"""Time limit in seconds of an item whose route sets none."""


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
        is_excluded: Callable[[Target], bool] | None = None,
        shares: ControlShares = DEFAULT_SHARES,
        control: EngineControl | None = None,
    ) -> None:
        """Create a runner.

        ``permitted_runs`` returns how many runs a target's request limit
        allows to start now; without it no target has a limit.  ``is_excluded``
        tells whether a target gets no more requests, as it leaves or its data
        centre is evacuated; without it none does.
        ``shares`` bound what the texts of items take.  ``control`` asks an
        engine which run it is before it goes on with a text; without it the
        recorded run counts.
        """
        self._text_room = ByteRoom(shares.texts)
        self._member = member
        self._jobs = member.machine.get(JobsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._work = work
        self._clock = clock
        self._wake_event = asyncio.Event()
        self._pending_by_key: dict[ItemKey, PendingItem] = {}
        self._groups = GroupCounts(metrics)
        self._saver = ProgressSaver(member, self._pending_by_key)
        services = ItemServices(member.machine)
        self._lister = ItemLister(
            member, rewards, services, metrics, clock, self._on_listed
        )
        self._notes = EngineNotes(member.machine.get(TargetsSlice))
        self._item_runner = ItemRunner(
            member.machine,
            tracker,
            work,
            client,
            self._lister,
            self._notes,
            metrics,
            clock,
            random_source or random.Random(),
            control,
            self._on_run_end,
        )
        self._ordering = JobOrdering(
            member.machine, self._notes, self._pending_by_key, services, metrics, clock
        )
        self._chooser = ItemChooser(
            member.machine,
            tracker,
            loading,
            location,
            clock,
            self._notes,
            self._pending_by_key,
            self._ordering,
            services,
            shares.jobs,
            permitted_runs,
            is_excluded,
        )
        self._seen_at_by_job: dict[JobId, float] = {}
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
                self._groups.note_job_ended(job_id)
                self._wake_event.set()

    def _note_submission(self, job_id: JobId) -> None:
        self._seen_at_by_job.setdefault(job_id, self._clock.monotonic())
        self._forget_dropped_jobs()
        self._wake_event.set()

    async def run(self) -> None:
        """Run items during one term as leader, until cancelled."""
        for pending in list(self._pending_by_key.values()):
            self._forget(pending)
        self._groups.clear()
        self._notes.slots_in_use.clear()
        save_task = asyncio.create_task(self._saver.run(), name="save progress")
        try:
            while True:
                self._wake_event.clear()
                self._add_open_items()
                self._expire_items()
                # A leader that was suspended may have been replaced since.
                if self._member.holds_lease():
                    self._start_runs()
                await wait_at_most(SCHEDULING_INTERVAL_SECONDS, self._wake_event.wait())
        finally:
            save_task.cancel()
            self._ordering.clear_metrics()
            self._groups.clear()
            for pending in list(self._pending_by_key.values()):
                self._cancel(pending)

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
            self._groups.note_items(state.job.id, new_items)
            groups = dict.fromkeys(item.group for item in state.job.items)
            positions_by_group = {
                group: position for position, group in enumerate(groups)
            }
            for item in new_items:
                key = ItemKey(state.job.id, item.id)
                route = find_route(self._serving, state.job, item)
                seconds = route.item_seconds if route is not None else None
                due_seconds = route.due_seconds if route is not None else None
                submitted_at = self._submitted_at(state)
                expires_at = (
                    submitted_at
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
                    due_at=None if due_seconds is None else submitted_at + due_seconds,
                    waits_since=self._clock.monotonic(),
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
                self._spawn(
                    pending, self._lister.list_result(pending, errored_item(pending))
                )

    def _on_listed(self, pending: PendingItem, outcome: ItemOutcome) -> None:
        self._groups.note_listed(pending, outcome, self._clock.monotonic())
        self._forget(pending)

    def _cancel(self, pending: PendingItem) -> None:
        self._forget(pending)
        if pending.task is not None:
            pending.task.cancel()

    def _forget(self, pending: PendingItem) -> None:
        self._pending_by_key.pop(pending.key, None)
        pending.transcript.release()

    # Starting runs.

    def _start_runs(self) -> None:
        choice = self._chooser.choose()
        for run in choice.runs:
            work = self._item_runner.generate(
                run.pending,
                run.job,
                run.target,
                may_move=run.may_move,
                loss=run.loss,
            )
            run.pending.engine = run.target.id
            self._groups.note_start(run.pending, self._clock.monotonic())
            self._ordering.note_start(run.pending, run.job, run.expected_events)
            self._spawn(run.pending, work)
        self._work.record_pass(choice.waiting, self._notes.slots_in_use)

    def _on_run_end(self, pending: PendingItem, events: int) -> None:
        self._release_engine(pending, events)
        self._wake_event.set()

    def _release_engine(self, pending: PendingItem, events: int = 0) -> None:
        pending.engine = None
        pending.waits_since = self._clock.monotonic()
        self._ordering.note_end(pending, events)

    def _spawn(self, pending: PendingItem, work: Coroutine[Any, Any, None]) -> None:
        pending.task = asyncio.create_task(work, name=f"item {pending.key.item}")
        pending.task.add_done_callback(lambda task: self._on_task_done(pending, task))

    def _on_task_done(self, pending: PendingItem, task: asyncio.Task[None]) -> None:
        pending.task = None
        if pending.engine is not None:
            # The task was cancelled before it began.
            self._release_engine(pending)
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
