"""Generating the samples of a step and fixing them as its batch."""

import asyncio
from collections import deque
from dataclasses import dataclass

import structlog

from goldcrestyard.core.ids import BodyDigest, CorrelationId, SampleId, WeightVersion
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.trainers.commands import (
    Batch,
    BatchReady,
    FixBatch,
    StepKey,
    VersionsBarred,
)
from goldcrestyard.plugins.trainers.commits import Committer
from goldcrestyard.plugins.trainers.manifests import (
    Chunk,
    Manifest,
    PlacedSample,
    encode_manifest,
)
from goldcrestyard.plugins.trainers.questions import (
    Question,
    SampleTask,
    sample_tasks,
)
from goldcrestyard.plugins.trainers.samples import Sample, SampleRun
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.policy.hand_out import barred_versions

logger = structlog.get_logger(__name__)

COMMIT_SECONDS = 60.0
"""Longest wait for a commit at the end of a step; the samples are stored, and
giving them up costs the whole step."""


@dataclass(frozen=True, slots=True)
class Tools:
    """What every generation on this entry uses."""

    dispatcher: Dispatcher
    bodies: BodyClient
    committer: Committer
    weights: WeightsSlice
    clock: Clock
    concurrent_samples: int


class Generation:
    """One attempt at a step, generated on this entry."""

    def __init__(
        self,
        key: StepKey,
        question: Question,
        tools: Tools,
        author: str,
        correlation_id: CorrelationId,
    ) -> None:
        self._key = key
        self._question = question
        self._tools = tools
        self._author = author
        self._correlation_id = correlation_id
        self._tasks_by_id = {task.id: task for task in sample_tasks(key, question)}
        self._pending = deque(self._tasks_by_id.values())
        self._placed_by_id: dict[SampleId, PlacedSample] = {}
        self._chunk = Chunk.empty()
        self.done = 0

    @property
    def total(self) -> int:
        """The number of samples asked for."""
        return self._question.count

    async def run(self) -> Batch | Refusal:
        """Generate all samples and return the step's batch.

        That is the batch of another entry if it was fixed first.
        """
        while True:
            refusal = await self._generate() or await self._store_chunk()
            if refusal is not None:
                return refusal
            barred = self._barred(
                {v for placed in self._placed_by_id.values() for v in placed.versions}
            )
            if not barred:
                outcome = await self._fix()
                if not isinstance(outcome, VersionsBarred):
                    return outcome
                barred = outcome.versions
            self._drop(barred)

    async def _generate(self) -> Refusal | None:
        """Generate what is pending; return why it cannot be generated."""
        finished: asyncio.Queue[Sample | Refusal] = asyncio.Queue()

        async def generate(task: SampleTask) -> None:
            run = SampleRun(
                task,
                self._question,
                self._tools.dispatcher,
                self._barred,
                self._correlation_id,
            )
            finished.put_nowait(await run.run())

        refusal: Refusal | None = None
        running = 0
        async with asyncio.TaskGroup() as group:
            tasks: set[asyncio.Task[None]] = set()
            while refusal is None and (self._pending or running):
                while self._pending and running < self._tools.concurrent_samples:
                    running += 1
                    task = group.create_task(generate(self._pending.popleft()))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                match await finished.get():
                    case Sample() as sample:
                        running -= 1
                        refusal = await self._accept(sample)
                    case Refusal() as refusal:
                        pass
            for task in tasks:
                task.cancel()
        return refusal

    async def _accept(self, sample: Sample) -> Refusal | None:
        self.done += 1
        self._chunk.add(sample)
        return await self._store_chunk() if self._chunk.is_full else None

    async def _store_chunk(self) -> Refusal | None:
        if not self._chunk.samples:
            return None
        digest = await self._tools.bodies.put(bytes(self._chunk.body))
        if isinstance(digest, Refusal):
            return digest
        for placed in self._chunk.place(digest):
            self._placed_by_id[placed.stored.id] = placed
        self._chunk = Chunk.empty()
        return None

    async def _fix(self) -> Batch | VersionsBarred | Refusal:
        placed = list(self._placed_by_id.values())
        manifest = Manifest(tuple(item.stored for item in placed))
        digest = await self._tools.bodies.put(encode_manifest(manifest))
        if isinstance(digest, Refusal):
            return digest
        versions = {version for item in placed for version in item.versions}
        command = self._fix_command(digest, tuple(sorted(versions)))
        outcome = await self._tools.committer.commit(
            command, self._author, self._correlation_id, COMMIT_SECONDS
        )
        match outcome:
            case BatchReady(batch=batch):
                return batch
            case VersionsBarred() | Refusal():
                return outcome
            case _:
                return Refusal(
                    RefusalReason.UNKNOWN_OUTCOME,
                    f"unexpected outcome {type(outcome).__name__}",
                    Verdict.MAY_HAVE_RUN,
                )

    def _fix_command(
        self, manifest: BodyDigest, versions: tuple[WeightVersion, ...]
    ) -> FixBatch:
        return FixBatch(
            self._key,
            self._question.attempt,
            self._question.digest,
            manifest,
            self.total,
            versions,
        )

    def _drop(self, barred: tuple[WeightVersion, ...]) -> None:
        """Put the samples of versions that are too old back to pending."""
        dropped = [
            sample_id
            for sample_id, placed in self._placed_by_id.items()
            if not set(barred).isdisjoint(placed.versions)
        ]
        for sample_id in dropped:
            del self._placed_by_id[sample_id]
            self._pending.append(self._tasks_by_id[sample_id])
        self.done -= len(dropped)
        logger.info(
            "samples dropped before the batch was fixed",
            count=len(dropped),
            versions=list(barred),
            step=self._key.number,
        )

    def _barred(
        self, versions: tuple[WeightVersion, ...] | set[WeightVersion]
    ) -> tuple[WeightVersion, ...]:
        """Return the versions that this entry's view bars.

        The view may lag behind the log, so ``FixBatch`` checks them again.
        """
        line = self._tools.weights.lines_by_name.get(self._key.model)
        if line is None:
            return tuple(versions)
        return barred_versions(
            versions,
            lambda version: self._tools.weights.versions_behind(
                self._key.model, version
            ),
            line.max_versions_behind,
        )
