"""The samples of a step that are being generated, and their hedges."""

import asyncio
from dataclasses import dataclass, field

import structlog

from goldcrestyard.core.ids import SampleId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.plugins.trainers.questions import SampleTask
from goldcrestyard.plugins.trainers.samples import Maker, Sample, SampleRun
from goldcrestyard.policy.stragglers import Pace, RunningSample, choose_hedges

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
        self._finished: asyncio.Queue[tuple[SampleRun, Sample | Refusal]] = (
            asyncio.Queue()
        )
        self._pace = Pace()
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

        Returns None if nothing ended for a while.
        """
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                run, result = await self._finished.get()
        except TimeoutError:
            return None
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
