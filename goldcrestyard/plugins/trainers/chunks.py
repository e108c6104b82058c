"""Storage of samples in chunks while a step is generated."""

from collections.abc import Iterable

from goldcrestyard.core.ids import BodyDigest, SampleId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.trainers.manifests import Chunk, PlacedSample
from goldcrestyard.plugins.trainers.samples import Sample

SAMPLE_RETENTION_SECONDS = 2 * 3600.0
"""Retention time of chunks and manifests, longer than any step takes.  Bodies
of a fixed batch are kept until it is acknowledged, regardless of this time."""


class ChunkWriter:
    """Packs samples into chunks, stores them and records their positions."""

    def __init__(self, bodies: BodyClient) -> None:
        self._bodies = bodies
        self._chunk = Chunk.empty()
        self.placed_by_id: dict[SampleId, PlacedSample] = {}

    def __contains__(self, sample_id: SampleId) -> bool:
        """Return whether a sample is in a stored chunk."""
        return sample_id in self.placed_by_id

    @property
    def count(self) -> int:
        """The number of samples, including those in the unfinished chunk."""
        return len(self.placed_by_id) + len(self._chunk.samples)

    async def add(self, sample: Sample) -> Refusal | None:
        """Add a sample and store its chunk if that is full.

        Returns None on success, otherwise why the chunk cannot be stored.
        """
        self._chunk.add(sample)
        return await self.flush() if self._chunk.is_full else None

    async def flush(self) -> Refusal | None:
        """Store the unfinished chunk, if it has samples.

        Returns None on success, otherwise why the chunk cannot be stored.
        """
        if not self._chunk.samples:
            return None
        chunk, self._chunk = self._chunk, Chunk.empty()
        digest = await self.store(bytes(chunk.body))
        if isinstance(digest, Refusal):
            return digest
        self.add_placed(chunk.place(digest))
        return None

    def add_placed(self, placed: Iterable[PlacedSample]) -> None:
        """Record the positions of stored samples.

        A sample that is already known keeps its position.
        """
        for sample in placed:
            self.placed_by_id.setdefault(sample.stored.id, sample)

    async def store(self, body: bytes) -> BodyDigest | Refusal:
        """Store a chunk or manifest for ``SAMPLE_RETENTION_SECONDS``."""
        return await self._bodies.put(body, SAMPLE_RETENTION_SECONDS)
