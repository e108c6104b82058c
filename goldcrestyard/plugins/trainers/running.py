"""The samples of a step that are being generated, and their hedges."""

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
from goldcrestyard.plugins.trainers.samples import Maker, Sample, SampleRun
from goldcrestyard.policy.stragglers import (
    RunningSample,
    StreamPace,
    choose_hedges,
    helpers_are_late,
)

logger = structlog.get_logger(__name__)

LOOK_SECONDS = 1.0
"""How often a step that waits for its last samples looks for stragglers."""


@dataclass(slots=True)
class Racers:
    """The runs of one sample: the first, and its hedge if there is one."""

    tasks_by_run: dict[SampleRun, asyncio.Task[None]] = field(default_factory=dict)


class RunningSamples:
    """Runs samples as tasks of a group, one winner for each sample."""

    def __init__(self, group: asyncio.TaskGroup, maker: Maker) -> None:
        self._group = group
        self._maker = maker
        self._racers_by_id: dict[SampleId, Racers] = {}
        self._finished: asyncio.Queue[tuple[SampleRun, Sample | Refusal] | None] = (
            asyncio.Queue()
        )
        self._pace = StreamPace()
        self._hedged = 0

    @property
    def samples(self) -> int:
        """The number of samples that are being generated."""
        return len(self._racers_by_id)

    def start(self, task: SampleTask) -> None:
        """Start to generate a sample."""
        self._racers_by_id[task.id] = Racers()
        self._add(SampleRun(task, self._maker))

    async def next_result(self) -> Sample | Refusal | None:
        """Return the next whole sample, or a refusal that no hedge averts.

        Returns None if nothing ended for a while, or at ``wake``.
        """
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                ended = await self._finished.get()
        except TimeoutError:
            return None
        if ended is None:
            return None
        run, result = ended
        racers = self._racers_by_id.get(run.task.id)
        if racers is None or run not in racers.tasks_by_run:
            return None
        del racers.tasks_by_run[run]
        if isinstance(result, Refusal) and racers.tasks_by_run:
            return None
        self._pace.observe(run.stream_seconds, run.stream_tokens)
        for task in racers.tasks_by_run.values():
            task.cancel()
        del self._racers_by_id[run.task.id]
        return result

    def wake(self) -> None:
        """End the wait for the next result."""
        self._finished.put_nowait(None)

    def hedge_stragglers(self, done: int, total: int) -> None:
        """Start a second run of the samples that hold up the step."""
        running = [
            RunningSample(sample_id, run.stream_seconds, run.stream_tokens)
            for sample_id, racers in self._racers_by_id.items()
            if len(racers.tasks_by_run) == 1
            for run in racers.tasks_by_run
        ]
        chosen = choose_hedges(
            running, self._pace, done=done, total=total, hedged=self._hedged
        )
        for sample_id in chosen:
            (run,) = self._racers_by_id[sample_id].tasks_by_run
            logger.info("sample hedged", sample=sample_id, engine=run.engine)
            self._hedged += 1
            self._add(run.hedge())

    def cancel(self) -> None:
        """Cancel all runs."""
        for racers in self._racers_by_id.values():
            for task in racers.tasks_by_run.values():
                task.cancel()

    def _add(self, run: SampleRun) -> None:
        task = self._group.create_task(self._generate(run))
        self._racers_by_id[run.task.id].tasks_by_run[run] = task

    async def _generate(self, run: SampleRun) -> None:
        self._finished.put_nowait((run, await run.run()))


class Elsewhere(Protocol):
    """The helpers of a step."""

    @property
    def samples(self) -> int:
        """The number of samples that helpers are generating."""
        ...

    def take_over(self) -> None:
        """Put the helpers' unfinished samples back to be generated here."""
        ...

    def cancel(self) -> None:
        """End the helpers' work."""
        ...


class Nobody:
    """No helpers."""

    samples = 0

    def take_over(self) -> None:
        """Do nothing."""

    def cancel(self) -> None:
        """Do nothing."""


def without_help(_: asyncio.TaskGroup, wake: Callable[[], None]) -> Elsewhere:
    """Generate on this entry alone."""
    return Nobody()


async def generate_all(
    pending: deque[SampleTask],
    maker: Maker,
    writer: ChunkWriter,
    concurrency: int,
    help_from: Callable[
        [asyncio.TaskGroup, Callable[[], None]], Elsewhere
    ] = without_help,
) -> Refusal | None:
    """Generate and store all pending samples, or return why it cannot be done.

    Helpers take from ``pending`` too.
    """
    total = len(pending)
    started_at = idle_since = maker.clock.monotonic()
    refusal: Refusal | None = None
    async with asyncio.TaskGroup() as group:
        running = RunningSamples(group, maker)
        elsewhere = help_from(group, running.wake)
        while refusal is None and (pending or running.samples or elsewhere.samples):
            while pending and running.samples < concurrency:
                task = pending.popleft()
                if task.id not in writer:
                    running.start(task)
            if running.samples:
                idle_since = maker.clock.monotonic()
            match await running.next_result():
                case Sample() as sample:
                    refusal = await writer.add(sample)
                case Refusal() as refused:
                    refusal = refused
                case None if running.samples and not pending:
                    left = running.samples + elsewhere.samples
                    running.hedge_stragglers(total - left, total)
                case None if not pending and helpers_are_late(
                    idle_since - started_at, maker.clock.monotonic() - idle_since
                ):
                    logger.warning("helpers are late", samples=elsewhere.samples)
                    elsewhere.take_over()
        running.cancel()
        elsewhere.cancel()
    return refusal or await writer.flush()
