"""Concurrent generation of a step's samples on one entry.

Near the end of a step, slow samples are hedged by a second run on another
engine.  The first run that completes provides the sample.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from goldcrestyard.core.ids import SampleId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.plugins.trainers.chunks import ChunkWriter
from goldcrestyard.plugins.trainers.questions import SampleTask
from goldcrestyard.plugins.trainers.samples import GenerationContext, Sample, SampleRun
from goldcrestyard.policy.stragglers import (
    RunningSample,
    StreamPace,
    choose_hedges,
    helpers_are_late,
)

logger = structlog.get_logger(__name__)

RESULT_WAIT_SECONDS = 1.0
"""Longest wait for the next sample; slow samples and late helpers are looked
for after each wait without a result."""


@dataclass(slots=True)
class ActiveSample:
    """The runs of one sample: the first one, and its hedge if any."""

    tasks_by_run: dict[SampleRun, asyncio.Task[None]] = field(default_factory=dict)


class RunningSamples:
    """Runs samples as tasks of a group and returns one result for each.

    When a run of a sample completes, its other run is cancelled.
    """

    def __init__(self, group: asyncio.TaskGroup, context: GenerationContext) -> None:
        self._group = group
        self._context = context
        self._active_by_id: dict[SampleId, ActiveSample] = {}
        self._ended_runs: asyncio.Queue[tuple[SampleRun, Sample | Refusal] | None] = (
            asyncio.Queue()
        )
        self._pace = StreamPace()
        self._hedge_count = 0

    @property
    def samples(self) -> int:
        """The number of samples that are being generated."""
        return len(self._active_by_id)

    def start(self, task: SampleTask) -> None:
        """Start to generate a sample."""
        self._active_by_id[task.id] = ActiveSample()
        self._add(SampleRun(task, self._context))

    async def next_result(self) -> Sample | Refusal | None:
        """Return the next complete sample, or the refusal of its last run.

        Returns None if no run ended within ``RESULT_WAIT_SECONDS``, after
        ``wake``, or if the run that ended does not decide its sample.
        """
        try:
            async with asyncio.timeout(RESULT_WAIT_SECONDS):
                ended = await self._ended_runs.get()
        except TimeoutError:
            return None
        if ended is None:
            return None
        run, result = ended
        active = self._active_by_id.get(run.task.id)
        if active is None or run not in active.tasks_by_run:
            return None
        del active.tasks_by_run[run]
        if isinstance(result, Refusal) and active.tasks_by_run:
            return None
        self._pace.observe(run.stream_seconds, run.stream_tokens)
        for task in active.tasks_by_run.values():
            task.cancel()
        del self._active_by_id[run.task.id]
        return result

    def wake(self) -> None:
        """End the wait for the next result."""
        self._ended_runs.put_nowait(None)

    def hedge_stragglers(self, done: int, total: int) -> None:
        """Start a second run of the slow samples that delay the step.

        ``done`` of the step's ``total`` samples are complete.
        """
        running = [
            RunningSample(sample_id, run.stream_seconds, run.stream_tokens)
            for sample_id, active in self._active_by_id.items()
            if len(active.tasks_by_run) == 1
            for run in active.tasks_by_run
        ]
        chosen = choose_hedges(
            running, self._pace, done=done, total=total, hedged=self._hedge_count
        )
        for sample_id in chosen:
            (run,) = self._active_by_id[sample_id].tasks_by_run
            logger.info(
                "sample is slow on its engine, starting a hedge",
                sample=sample_id,
                engine=run.engine,
            )
            self._hedge_count += 1
            self._add(run.hedge())

    def cancel(self) -> None:
        """Cancel all runs."""
        for active in self._active_by_id.values():
            for task in active.tasks_by_run.values():
                task.cancel()

    def _add(self, run: SampleRun) -> None:
        task = self._group.create_task(self._generate(run))
        self._active_by_id[run.task.id].tasks_by_run[run] = task

    async def _generate(self, run: SampleRun) -> None:
        self._ended_runs.put_nowait((run, await run.run()))


class HelperPool(Protocol):
    """Interface to the other entries that generate samples of a step."""

    @property
    def samples(self) -> int:
        """The number of samples that helpers are generating."""
        ...

    def take_over(self) -> None:
        """Return the helpers' unfinished samples to be generated here."""
        ...

    def cancel(self) -> None:
        """Cancel the helpers' work."""
        ...


class NoHelpers:
    """Empty pool, for a step that this entry generates alone."""

    samples = 0

    def take_over(self) -> None:
        """Do nothing, since no samples are elsewhere."""

    def cancel(self) -> None:
        """Do nothing, since nothing runs elsewhere."""


def without_helpers(_: asyncio.TaskGroup, wake: Callable[[], None]) -> HelperPool:
    """Return an empty pool, so that all samples are generated here."""
    return NoHelpers()


async def generate_all(
    pending: deque[SampleTask],
    context: GenerationContext,
    writer: ChunkWriter,
    concurrency: int,
    start_helpers: Callable[
        [asyncio.TaskGroup, Callable[[], None]], HelperPool
    ] = without_helpers,
) -> Refusal | None:
    """Generate and store all pending samples.

    Returns None on success, otherwise the refusal that ended the generation.
    Up to ``concurrency`` samples run on this entry at a time; the helpers take
    samples from ``pending`` as well.
    """
    total = len(pending)
    started_at = idle_since = context.clock.monotonic()
    refusal: Refusal | None = None
    async with asyncio.TaskGroup() as group:
        running = RunningSamples(group, context)
        helpers = start_helpers(group, running.wake)
        while refusal is None and (pending or running.samples or helpers.samples):
            while pending and running.samples < concurrency:
                task = pending.popleft()
                if task.id not in writer:
                    running.start(task)
            if running.samples:
                idle_since = context.clock.monotonic()
            match await running.next_result():
                case Sample() as sample:
                    refusal = await writer.add(sample)
                case Refusal() as refused:
                    refusal = refused
                case None if running.samples and not pending:
                    unfinished = running.samples + helpers.samples
                    running.hedge_stragglers(total - unfinished, total)
                case None if not pending and helpers_are_late(
                    idle_since - started_at, context.clock.monotonic() - idle_since
                ):
                    logger.warning(
                        "helpers are late, generating their samples here",
                        samples=helpers.samples,
                    )
                    helpers.take_over()
        running.cancel()
        helpers.cancel()
    return refusal or await writer.flush()
