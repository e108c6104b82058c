"""Distribution of a step's samples over several entries.

Reading a piece of a stream takes an entry about 50 microseconds of processor
time, so a single entry cannot read all streams of a large step.  The entry
that generates the step therefore sends parts of it to other entries, its
helpers.  A helper generates and stores the samples of a part and returns where
they are stored.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

import structlog

from goldcrestyard.core.ids import CorrelationId, GroupId, InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.trainers.chunks import ChunkWriter
from goldcrestyard.plugins.trainers.commands import StepKey
from goldcrestyard.plugins.trainers.dependencies import (
    GenerationDependencies,
    generation_context,
)
from goldcrestyard.plugins.trainers.identifiers import sample_id_of
from goldcrestyard.plugins.trainers.manifests import PlacedSample
from goldcrestyard.plugins.trainers.questions import Question, SampleTask
from goldcrestyard.plugins.trainers.running import generate_all
from goldcrestyard.policy.addresses import EntryLocation, order_entries
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

SAMPLES_PER_PART = 32

MAX_HELPERS_PER_STEP = 31
"""Limit on the helpers of a step.  The generating entry opens one connection
to each of them, and no others to its peers for the step."""


@dataclass(frozen=True, slots=True)
class PartSample:
    """Identity of a sample in ``GeneratePart``."""

    group: GroupId
    number: int


@dataclass(frozen=True, slots=True)
class GeneratePart:
    """Request to a helper to generate some samples of a step.

    ``question`` contains only the prompts of these samples.
    """

    key: StepKey
    question: Question
    samples: tuple[PartSample, ...]
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class PartGenerated:
    """Response to ``GeneratePart``: the samples are stored."""

    samples: tuple[PlacedSample, ...]


PART_MESSAGES = (GeneratePart, PartGenerated)


def build_part(
    key: StepKey,
    question: Question,
    tasks: Sequence[SampleTask],
    correlation_id: CorrelationId,
) -> GeneratePart:
    """Return the request for the given samples of a step."""
    prompts = {task.prompt.group: task.prompt for task in tasks}
    return GeneratePart(
        key,
        replace(question, prompts=list(prompts.values())),
        tuple(PartSample(task.prompt.group, task.number) for task in tasks),
        correlation_id,
    )


def part_sample_tasks(part: GeneratePart) -> list[SampleTask]:
    """Return the samples to generate for a part."""
    prompts_by_group = {prompt.group: prompt for prompt in part.question.prompts}
    return [
        SampleTask(
            sample_id_of(part.key, part.question.attempt, sample.group, sample.number),
            prompts_by_group[sample.group],
            sample.number,
        )
        for sample in part.samples
    ]


class PartServer:
    """Generates parts for other entries, as their helper.

    A part is cancelled when the connection that requested it closes, so that
    nothing is generated for an entry that has died or that has cancelled the
    step because the trainer's key was withdrawn.
    """

    def __init__(self, dependencies: GenerationDependencies) -> None:
        self._dependencies = dependencies
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False

    def register(self, handlers: Handlers) -> None:
        """Register the handler of ``GeneratePart``."""
        handlers.add(GeneratePart, self._on_generate)

    async def drain(self) -> None:
        """Refuse further parts and wait for the running ones to end."""
        self._draining = True
        await self._idle.wait()

    async def _on_generate(self, part: GeneratePart, _: PeerConnection) -> object:
        if self._draining:
            return Failure(
                RefusalReason.DRAINING, "this entry is stopping", Verdict.NOT_RUN
            )
        self._running += 1
        self._idle.clear()
        try:
            result = await self._generate(part)
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()
        if isinstance(result, Refusal):
            return Failure(result.reason, result.detail, result.verdict)
        return PartGenerated(result)

    async def _generate(self, part: GeneratePart) -> tuple[PlacedSample, ...] | Refusal:
        writer = ChunkWriter(self._dependencies.bodies)
        context = generation_context(
            part.key, part.question, self._dependencies, part.correlation_id
        )
        pending = deque(part_sample_tasks(part))
        refusal = await generate_all(
            pending, context, writer, self._dependencies.concurrent_samples
        )
        if refusal is not None:
            return refusal
        return tuple(writer.placed_by_id.values())


def helper_addresses(
    instance: InstanceId, entries: EntriesSlice, step_name: str, count: int
) -> dict[InstanceId, PeerAddress]:
    """Return the peer addresses of up to ``count`` helpers for a step.

    ``step_name`` seeds the choice, so that steps use different helpers.
    These come from all regions, since each helper prefers the engines near it
    and a step should use the engines of all regions.
    """
    locations = [
        EntryLocation(entry.id, entry.data_centre, entry.region)
        for entry in entries.entries_by_id.values()
        if entry.id != instance and entry.peer_address and not entry.draining
    ]
    chosen = order_entries(locations, step_name, "", "")[
        : min(count, MAX_HELPERS_PER_STEP)
    ]
    return {
        entry: PeerAddress.parse(entries.entries_by_id[entry].peer_address)
        for entry in chosen
    }


class Helpers:
    """The entries that generate parts of one step.

    Helpers take samples from ``pending``, which the entry's own generation
    takes from as well, and add the stored samples to ``writer``.  ``wake`` is
    called when a part is complete or has failed.
    """

    def __init__(
        self,
        dependencies: GenerationDependencies,
        pending: deque[SampleTask],
        writer: ChunkWriter,
        build_part: Callable[[Sequence[SampleTask]], GeneratePart],
        wake: Callable[[], None],
    ) -> None:
        self._dependencies = dependencies
        self._pending = pending
        self._writer = writer
        self._build_part = build_part
        self._wake = wake
        self._tasks_by_part: dict[int, list[SampleTask]] = {}
        self._next_part = 0
        self._running: list[asyncio.Task[None]] = []

    def start(
        self, group: asyncio.TaskGroup, addresses: Mapping[InstanceId, PeerAddress]
    ) -> None:
        """Start a task in the group for each helper to send it parts."""
        for entry, address in addresses.items():
            self._running.append(group.create_task(self._run(entry, address)))

    def cancel(self) -> None:
        """Close the connections to the helpers, which cancels their parts."""
        for task in self._running:
            task.cancel()

    @property
    def samples(self) -> int:
        """The number of samples in unfinished parts."""
        return sum(len(tasks) for tasks in self._tasks_by_part.values())

    def take_over(self) -> None:
        """Return the samples of unfinished parts to ``pending``.

        The helpers continue as well; the first result of a sample is used.
        """
        for tasks in self._tasks_by_part.values():
            self._pending.extend(t for t in tasks if t.id not in self._writer)
        self._tasks_by_part.clear()

    async def _run(self, entry: InstanceId, address: PeerAddress) -> None:
        """Send parts to a helper until no samples are pending or it fails."""
        try:
            async with self._dependencies.dialer.connect(address) as connection:
                parts_at_a_time = (
                    self._dependencies.concurrent_samples // SAMPLES_PER_PART
                )
                async with asyncio.TaskGroup() as group:
                    for _ in range(max(1, parts_at_a_time)):
                        group.create_task(self._send_parts(connection))
        except PeerUnavailableError as error:
            logger.info("helper entry unavailable", entry=entry, error=str(error))

    async def _send_parts(self, connection: PeerConnection) -> None:
        while self._pending and not connection.closed:
            count = min(SAMPLES_PER_PART, len(self._pending))
            tasks = [self._pending.popleft() for _ in range(count)]
            number = self._next_part
            self._next_part += 1
            self._tasks_by_part[number] = tasks
            reply = await connection.request(
                self._build_part(tasks), self._dependencies.step_seconds
            )
            unfinished = self._tasks_by_part.pop(number, [])
            match reply:
                case PartGenerated(samples=samples):
                    requested_ids = {task.id for task in tasks}
                    self._writer.add_placed(
                        s for s in samples if s.stored.id in requested_ids
                    )
                    self._wake()
                case _:
                    logger.warning(
                        "helper did not generate its part",
                        entry=connection.peer,
                        reply=reply,
                    )
                    self._pending.extend(unfinished)
                    self._wake()
                    return
