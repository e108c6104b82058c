"""Generating the samples of a step and fixing them as its batch."""

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
from goldcrestyard.plugins.trainers.manifests import Manifest, encode_manifest
from goldcrestyard.plugins.trainers.parts import Helpers, helper_addresses, part_of
from goldcrestyard.plugins.trainers.questions import Question, sample_tasks
from goldcrestyard.plugins.trainers.running import Elsewhere, generate_all
from goldcrestyard.plugins.trainers.tools import Tools, maker_for

logger = structlog.get_logger(__name__)

COMMIT_SECONDS = 60.0
"""Longest wait for a commit at the end of a step; the samples are stored, and
giving them up costs the whole step."""


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
        self._maker = maker_for(key, question, tools, correlation_id)
        self._tasks_by_id = {task.id: task for task in sample_tasks(key, question)}
        self._pending = deque(self._tasks_by_id.values())
        self._writer = ChunkWriter(tools.bodies)

    @property
    def done(self) -> int:
        """The number of samples generated so far."""
        return self._writer.count

    @property
    def total(self) -> int:
        """The number of samples asked for."""
        return self._question.count

    async def run(self) -> Batch | Refusal:
        """Generate all samples and return the step's batch.

        That is the batch of another entry if it was fixed first.
        """
        while True:
            refusal = await generate_all(
                self._pending,
                self._maker,
                self._writer,
                self._tools.concurrent_samples,
                self._get_help,
            )
            if refusal is not None:
                return refusal
            placed = self._writer.placed_by_id.values()
            barred = self._maker.checks.barred(
                {version for sample in placed for version in sample.versions}
            )
            if not barred:
                outcome = await self._fix()
                if not isinstance(outcome, VersionsBarred):
                    return outcome
                barred = outcome.versions
            self._drop(barred)

    def _get_help(
        self, group: asyncio.TaskGroup, wake: Callable[[], None]
    ) -> Elsewhere:
        """Let other entries generate what this one cannot do at a time."""
        tools = self._tools
        count = math.ceil(len(self._pending) / tools.concurrent_samples) - 1
        helpers = Helpers(
            tools,
            self._pending,
            self._writer,
            lambda tasks: part_of(
                self._key, self._question, tasks, self._correlation_id
            ),
            wake,
        )
        asker = f"{self._key.model}/{self._key.number}"
        helpers.start(
            group, helper_addresses(tools.instance, tools.entries, asker, count)
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
