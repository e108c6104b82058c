"""Running of items at engines, and what follows from each outcome."""

import random
from collections.abc import Callable
from functools import partial

import structlog

from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.jobs import Job
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.jobs.engine_notes import (
    ENGINE_AVOIDANCE_SECONDS,
    EngineNotes,
    run_of,
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
from goldcrestyard.fleet.jobs.listing import ItemLister, errored_item
from goldcrestyard.fleet.jobs.pending import (
    PendingItem,
    find_route,
    is_other_software,
    must_restart,
)
from goldcrestyard.fleet.jobs.transcripts import TextShortage
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.fleet.versions.recorded_runs import RecordedRuns
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.policy.job_schedule import EngineTrust, TextLoss
from goldcrestyard.state.machine import StateMachine

logger = structlog.get_logger(__name__)

REQUEUE_BACKOFF = Backoff(base_seconds=0.03, longest_seconds=0.5)
"""Delay of an item's next run after runs that were refused or interrupted."""


class ItemRunner:
    """Runs one item at a time at an engine and acts on the outcome."""

    def __init__(
        self,
        machine: StateMachine,
        tracker: TargetTracker,
        work: JobWork,
        client: TargetClient,
        lister: ItemLister,
        notes: EngineNotes,
        metrics: FleetMetrics,
        clock: Clock,
        random_source: random.Random,
        control: EngineControl | None,
        on_run_end: Callable[[PendingItem, int], None],
    ) -> None:
        """Create a runner that reports the end of each run.

        ``on_run_end`` gets the number of events that the run has added.

        ``control`` asks an engine which run it is before it goes on with a
        text; without it the recorded run counts.
        """
        self._serving = machine.get(ServingSlice)
        self._targets = machine.get(TargetsSlice)
        self._tracker = tracker
        self._work = work
        self._client = client
        self._lister = lister
        self._notes = notes
        self._metrics = metrics
        self._clock = clock
        self._random = random_source
        self._recorded_runs = RecordedRuns(self._targets, control)
        self._on_run_end = on_run_end

    async def generate(
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
        self._notes.slots_in_use[target.id] += 1
        self._notes.remember_group(target.id, pending.item.group)
        began = self._clock.monotonic()
        seconds_left = max(0.1, pending.expires_at - began)
        transcript = pending.transcript
        before = (transcript.drops, transcript.last_event)
        drops, length = transcript.drops, len(transcript.events)
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
                SlowEngineDetector(
                    self._notes.paces, target, self._clock, may_move=may_move
                ),
                start_again,
                self._sent_urgency(pending, job),
            )
        finally:
            self._notes.slots_in_use[target.id] -= 1
            self._on_run_end(pending, transcript.added_since(drops, length))
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
            self._notes.lengths.observe(
                pending.item.model,
                pending.item.estimated_tokens,
                len(pending.transcript.events),
            )
        self._record_trust(pending, target, outcome, whole_text=resumed_after is None)
        if has_changed:
            pending.text_ran_at = self._clock.monotonic()
            if resumed_after is None:
                pending.begun_at = target
            if is_other_software(self._targets, pending, target) or is_other_software(
                self._targets, pending, pending.begun_at
            ):
                self._drop_text(pending, TextLoss.ENGINE_RESTARTED)
                if isinstance(outcome, Generated):
                    return
        await self._handle_outcome(pending, job, target, outcome)

    def _sent_urgency(self, pending: PendingItem, job: Job) -> int | None:
        table = self._serving.table
        route = find_route(self._serving, job, pending.item)
        if table is None or route is None:
            return None
        return table.sent_urgency(route, job.organisation)

    async def _check_recorded_run(self, target: Target) -> NotRun | None:
        """Return why a text may not go on at an engine, or None if it may."""
        fault = await self._recorded_runs.find_fault(target)
        return None if fault is None else NotRun(fault.detail, fault.target_was_asked)

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
                self._notes.faults.note_text(run_of(target))
            case TooLong(shortage=TextShortage.TEXT) if whole_text:
                self._note_fault(pending, target)
            case Malformed():
                self._note_fault(pending, target)

    def _note_fault(self, pending: PendingItem, target: Target) -> None:
        run = run_of(target)
        now = self._clock.monotonic()
        before = self._notes.faults.trust(run, now)
        self._notes.faults.note_fault(run, pending.key, now)
        trust = self._notes.faults.trust(run, now)
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
                await self._lister.score(pending, job)
            case Impossible():
                await self._lister.list_result(pending, errored_item(pending))
            case Failed():
                pending.failures += 1
                pending.transcript.discard()
                route = find_route(self._serving, job, pending.item)
                if route is not None and pending.failures >= route.max_attempts:
                    await self._lister.list_result(pending, errored_item(pending))
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
                if must_restart(self._serving, pending, job):
                    pending.transcript.discard()
            case BrokenOff() | Malformed():
                self._requeue(pending, now)
                pending.avoided_until_by_target[target.id] = (
                    now + ENGINE_AVOIDANCE_SECONDS
                )
                if must_restart(self._serving, pending, job):
                    pending.transcript.discard()

    async def _note_unreached(self, pending: PendingItem, target: Target) -> None:
        now = self._clock.monotonic()
        pending.avoided_until_by_target[target.id] = now + ENGINE_AVOIDANCE_SECONDS
        if await self._client.refuses_connections(target):
            self._notes.note_refusal(target, now)

    def _requeue(self, pending: PendingItem, now: float) -> None:
        pending.interruptions += 1
        delay = REQUEUE_BACKOFF.delay_seconds(
            pending.interruptions, self._random.random()
        )
        pending.not_before = now + delay

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
