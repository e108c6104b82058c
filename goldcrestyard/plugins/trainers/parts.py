"""Spreading a step over several entries.

Reading a piece takes an entry about 50 microseconds of processor time, so one
entry reads far fewer than the engines send for a large step.  The entry that
was asked therefore gives parts of the step to helpers, which store the samples
themselves and answer with their places.
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
from goldcrestyard.plugins.trainers.identifiers import sample_id_of
from goldcrestyard.plugins.trainers.manifests import PlacedSample
from goldcrestyard.plugins.trainers.questions import Question, SampleTask
from goldcrestyard.plugins.trainers.running import generate_all
from goldcrestyard.plugins.trainers.tools import Tools, maker_for
from goldcrestyard.policy.addresses import EntryLocation, order_entries
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

PART_SAMPLES = 32
MAX_HELPERS = 31
"""Connections of one step; an entry opens no others to its peers."""


@dataclass(frozen=True, slots=True)
class PartSample:
    """A sample of a part, by its group and number."""

    group: GroupId
    number: int


@dataclass(frozen=True, slots=True)
class GeneratePart:
    """Asks an entry to generate some samples of a step.

    ``question`` holds the prompts of these samples only.
    """

    key: StepKey
    question: Question
    samples: tuple[PartSample, ...]
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class PartGenerated:
    """The samples of a part are stored."""

    samples: tuple[PlacedSample, ...]


PART_MESSAGES = (GeneratePart, PartGenerated)


def part_of(
    key: StepKey,
    question: Question,
    tasks: Sequence[SampleTask],
    correlation_id: CorrelationId,
) -> GeneratePart:
    """Return the message that asks for some samples of a step."""
    prompts = {task.prompt.group: task.prompt for task in tasks}
    return GeneratePart(
        key,
        replace(question, prompts=list(prompts.values())),
        tuple(PartSample(task.prompt.group, task.number) for task in tasks),
        correlation_id,
    )


def tasks_of(part: GeneratePart) -> list[SampleTask]:
    """Return the samples that a part asks for."""
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
    """Generates parts for other entries.

    A part ends with the connection of the entry that asked for it, so that
    nothing is generated for an entry that has died or whose trainer's key
    was revoked.
    """

    def __init__(self, tools: Tools) -> None:
        self._tools = tools
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False

    def register(self, handlers: Handlers) -> None:
        """Serve the other entries' messages."""
        handlers.add(GeneratePart, self._on_generate)

    async def drain(self) -> None:
        """Refuse further parts and wait for the running ones."""
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
        writer = ChunkWriter(self._tools.bodies)
        maker = maker_for(part.key, part.question, self._tools, part.correlation_id)
        pending = deque(tasks_of(part))
        refusal = await generate_all(
            pending, maker, writer, self._tools.concurrent_samples
        )
        if refusal is not None:
            return refusal
        return tuple(writer.placed_by_id.values())


def helper_addresses(
    instance: InstanceId, entries: EntriesSlice, asker: str, count: int
) -> dict[InstanceId, PeerAddress]:
    """Return the peer addresses of up to ``count`` helpers for a step.

    They come from all regions, since engines of all regions are to be used,
    and each helper prefers the engines near it.
    """
    locations = [
        EntryLocation(entry.id, entry.data_centre, entry.region)
        for entry in entries.entries_by_id.values()
        if entry.id != instance and entry.peer_address and not entry.draining
    ]
    chosen = order_entries(locations, asker, "", "")[: min(count, MAX_HELPERS)]
    return {
        entry: PeerAddress.parse(entries.entries_by_id[entry].peer_address)
        for entry in chosen
    }


class Helpers:
    """The entries that generate parts of one step."""

    def __init__(
        self,
        tools: Tools,
        pending: deque[SampleTask],
        writer: ChunkWriter,
        make_part: Callable[[Sequence[SampleTask]], GeneratePart],
        wake: Callable[[], None],
    ) -> None:
        self._tools = tools
        self._pending = pending
        self._writer = writer
        self._make_part = make_part
        self._wake = wake
        self._tasks_by_part: dict[int, list[SampleTask]] = {}
        self._next_part = 0
        self._running: list[asyncio.Task[None]] = []

    def start(
        self, group: asyncio.TaskGroup, addresses: Mapping[InstanceId, PeerAddress]
    ) -> None:
        """Give parts to helpers, each in a task of the group."""
        for entry, address in addresses.items():
            self._running.append(group.create_task(self._run(entry, address)))

    def cancel(self) -> None:
        """End the helpers' work by closing the connections."""
        for task in self._running:
            task.cancel()

    @property
    def samples(self) -> int:
        """The number of samples that helpers are generating."""
        return sum(len(tasks) for tasks in self._tasks_by_part.values())

    def take_over(self) -> None:
        """Put the helpers' unfinished samples back to be generated here.

        The helpers go on; whichever is first for a sample wins.
        """
        for tasks in self._tasks_by_part.values():
            self._pending.extend(t for t in tasks if t.id not in self._writer)
        self._tasks_by_part.clear()

    async def _run(self, entry: InstanceId, address: PeerAddress) -> None:
        """Give parts to one helper until none is left or it fails."""
        try:
            async with self._tools.dialer.connect(address) as connection:
                parts_at_a_time = self._tools.concurrent_samples // PART_SAMPLES
                async with asyncio.TaskGroup() as group:
                    for _ in range(max(1, parts_at_a_time)):
                        group.create_task(self._feed(connection))
        except PeerUnavailableError as error:
            logger.info("helper unavailable", entry=entry, error=str(error))

    async def _feed(self, connection: PeerConnection) -> None:
        while self._pending and not connection.closed:
            count = min(PART_SAMPLES, len(self._pending))
            tasks = [self._pending.popleft() for _ in range(count)]
            number = self._next_part
            self._next_part += 1
            self._tasks_by_part[number] = tasks
            reply = await connection.request(
                self._make_part(tasks), self._tools.step_seconds
            )
            unfinished = self._tasks_by_part.pop(number, [])
            match reply:
                case PartGenerated(samples=samples):
                    asked = {task.id for task in tasks}
                    self._writer.note(s for s in samples if s.stored.id in asked)
                    self._wake()
                case _:
                    logger.warning("part failed", entry=connection.peer, reply=reply)
                    self._pending.extend(unfinished)
                    self._wake()
                    return
