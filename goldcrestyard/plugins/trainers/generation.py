"""Generation of a step's samples, and the commit of its batch.

A batch is fixed by a command in the log.  The first batch fixed for an attempt
is the only one that is handed out for it.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable

import structlog

from goldcrestyard.core.ids import BodyDigest, CorrelationId, WeightVersion
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.trainers.chunks import ChunkWriter
from goldcrestyard.plugins.trainers.commands import (
    Batch,
    BatchReady,
    FixBatch,
    StepKey,
    VersionsBarred,
)
from goldcrestyard.plugins.trainers.dependencies import (
    GenerationDependencies,
    generation_context,
)
from goldcrestyard.plugins.trainers.manifests import Manifest, encode_manifest
from goldcrestyard.plugins.trainers.parts import Helpers, build_part, helper_addresses
from goldcrestyard.plugins.trainers.questions import Question, sample_tasks
from goldcrestyard.plugins.trainers.running import HelperPool, generate_all

logger = structlog.get_logger(__name__)

FIX_BATCH_TIMEOUT_SECONDS = 60.0
"""Time limit for committing a batch.  It is long because all samples are
stored by then, and a failure would waste the whole step."""


class Generation:
    """Generation of one attempt at a step, managed by this entry.

    The samples are generated here and, for large steps, on helpers.
    """

    def __init__(
        self,
        key: StepKey,
        question: Question,
        dependencies: GenerationDependencies,
        author: str,
        correlation_id: CorrelationId,
    ) -> None:
        self._key = key
        self._question = question
        self._dependencies = dependencies
        self._author = author
        self._correlation_id = correlation_id
        self._context = generation_context(key, question, dependencies, correlation_id)
        self._tasks_by_id = {task.id: task for task in sample_tasks(key, question)}
        self._pending = deque(self._tasks_by_id.values())
        self._writer = ChunkWriter(dependencies.bodies)

    @property
    def done(self) -> int:
        """The number of complete samples."""
        return self._writer.count

    @property
    def total(self) -> int:
        """The number of samples of the step."""
        return self._question.count

    async def run(self) -> Batch | Refusal:
        """Generate all samples and return the step's batch.

        If another entry has fixed a batch first, that batch is returned.
        Samples whose weight versions have become too old are generated again.
        """
        while True:
            refusal = await generate_all(
                self._pending,
                self._context,
                self._writer,
                self._dependencies.concurrent_samples,
                self._start_helpers,
            )
            if refusal is not None:
                return refusal
            placed = self._writer.placed_by_id.values()
            barred = self._context.checks.barred(
                {version for sample in placed for version in sample.versions}
            )
            if not barred:
                outcome = await self._fix()
                if not isinstance(outcome, VersionsBarred):
                    return outcome
                barred = outcome.versions
            self._drop(barred)

    def _start_helpers(
        self, group: asyncio.TaskGroup, wake: Callable[[], None]
    ) -> HelperPool:
        """Start helpers for the samples beyond this entry's concurrency."""
        dependencies = self._dependencies
        count = math.ceil(len(self._pending) / dependencies.concurrent_samples) - 1
        helpers = Helpers(
            dependencies,
            self._pending,
            self._writer,
            lambda tasks: build_part(
                self._key, self._question, tasks, self._correlation_id
            ),
            wake,
        )
        step_name = f"{self._key.model}/{self._key.number}"
        helpers.start(
            group,
            helper_addresses(
                dependencies.instance, dependencies.entries, step_name, count
            ),
        )
        return helpers

    async def _fix(self) -> Batch | VersionsBarred | Refusal:
        placed = list(self._writer.placed_by_id.values())
        manifest = Manifest(tuple(item.stored for item in placed))
        digest = await self._writer.store(encode_manifest(manifest))
        if isinstance(digest, Refusal):
            return digest
        versions = {version for item in placed for version in item.versions}
        command = self._fix_command(digest, tuple(sorted(versions)))
        outcome = await self._dependencies.committer.commit(
            command, self._author, self._correlation_id, FIX_BATCH_TIMEOUT_SECONDS
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
        """Drop the samples of barred versions and queue them again."""
        dropped = [
            sample_id
            for sample_id, placed in self._writer.placed_by_id.items()
            if not set(barred).isdisjoint(placed.versions)
        ]
        for sample_id in dropped:
            del self._writer.placed_by_id[sample_id]
            self._pending.append(self._tasks_by_id[sample_id])
        logger.info(
            "samples dropped before the batch was fixed",
            count=len(dropped),
            versions=list(barred),
            step=self._key.number,
        )
