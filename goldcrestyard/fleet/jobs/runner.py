"""Scheduler of batch jobs on the leader.

Assigns the unfinished items of open jobs to engines, follows each run, has
completed texts scored, and commits each item's result to the replicated list
of its job.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import structlog

from goldcrestyard.consensus.control_member import DEFAULT_SHARES, ControlMember
from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.ids import (
    JobId,
    ServiceName,
    SoftwareVersion,
    WeightVersion,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    StageJobPart,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.engine_notes import EngineNotes, run_of
from goldcrestyard.fleet.jobs.listing import ItemLister, errored_item
from goldcrestyard.fleet.jobs.pending import PendingItem, find_route, is_other_software
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
from goldcrestyard.policy.call_routing import CallerLocation, distance_seconds
from goldcrestyard.policy.engine_paces import MAX_MOVES_PER_ITEM
from goldcrestyard.policy.job_schedule import (
    EngineSlots,
    ItemKey,
    TextLoss,
    WaitingItem,
    assign,
    longest_first,
    text_loss,
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
        is_leaving: Callable[[Target], bool] | None = None,
        shares: ControlShares = DEFAULT_SHARES,
        control: EngineControl | None = None,
    ) -> None:
        """Create a runner.

        ``permitted_runs`` returns how many runs a target's request limit
        allows to start now; without it no target has a limit.  ``is_leaving``
        tells whether a target has said that it leaves; without it none has.
        ``shares`` bound what the texts of items take.  ``control`` asks an
        engine which run it is before it goes on with a text; without it the
        recorded run counts.
        """
        self._max_jobs_bytes = shares.jobs
        self._had_room = True
        self._text_room = ByteRoom(shares.texts)
        self._is_leaving = is_leaving
        self._permitted_runs = permitted_runs
        self._member = member
        self._jobs = member.machine.get(JobsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._targets = member.machine.get(TargetsSlice)
        self._tracker = tracker
        self._loading = loading
        self._work = work
        self._location = location
        self._clock = clock
        self._wake_event = asyncio.Event()
        self._pending_by_key: dict[ItemKey, PendingItem] = {}
        self._saver = ProgressSaver(member, self._pending_by_key)
        self._lister = ItemLister(member, rewards, metrics, clock, self._forget)
        self._notes = EngineNotes(self._targets)
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
            self._wake_event.set,
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
                self._wake_event.set()

    def _note_submission(self, job_id: JobId) -> None:
        self._seen_at_by_job.setdefault(job_id, self._clock.monotonic())
        self._forget_dropped_jobs()
        self._wake_event.set()

    async def run(self) -> None:
        """Run items during one term as leader, until cancelled."""
        for pending in list(self._pending_by_key.values()):
            self._forget(pending)
        self._notes.slots_in_use.clear()
        save_task = asyncio.create_task(self._saver.run(), name="save progress")
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
                route = find_route(self._serving, state.job, item)
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
                self._spawn(
                    pending, self._lister.list_result(pending, errored_item(pending))
                )

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
                work = self._item_runner.generate(
                    pending,
                    state.job,
                    target,
                    may_move=may_move,
                    loss=losses.get(key),
                )
                self._spawn(pending, work)
        self._work.record_pass(
            ((item.model, item.oldest_version) for item in waiting.values()),
            self._notes.slots_in_use,
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
            if is_other_software(self._targets, pending, pending.begun_at):
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
            remaining_events=self._notes.lengths.remaining_events(
                item.model, request.estimated_tokens, 0
            ),
        )

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
        route = find_route(self._serving, state.job, pending.item)
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
            self._notes.lengths.remaining_events(
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
        self._notes.drop_old_refusals(now)
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
                    self._notes.slots_in_use[target.id],
                    distance_seconds(self._location, target),
                    versions,
                    self._loading.models_on(target.id),
                    set(self._notes.groups(target.id)),
                    self._permitted_runs(target) if self._permitted_runs else None,
                    self._notes.paces.pace(target.id, now),
                    self._notes.faults.trust(run_of(target), now),
                    target.software,
                    self._notes.has_refused(target),
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
