"""Storing samples in chunks as they are generated."""

from collections.abc import Iterable

from goldcrestyard.core.ids import BodyDigest, SampleId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.trainers.manifests import Chunk, PlacedSample
from goldcrestyard.plugins.trainers.samples import Sample

SAMPLE_KEEP_SECONDS = 2 * 3600.0
"""Longer than any step takes.  Bodies of a fixed batch stay until it is
acknowledged, whatever this time."""


class ChunkWriter:
    """Packs samples into chunks and notes where each of them lies."""

    def __init__(self, bodies: BodyClient) -> None:
        self._bodies = bodies
        self._chunk = Chunk.empty()
        self.placed_by_id: dict[SampleId, PlacedSample] = {}

    def __contains__(self, sample_id: SampleId) -> bool:
        """Return whether a sample lies in a stored chunk."""
        return sample_id in self.placed_by_id

    @property
    def count(self) -> int:
        """The number of samples, stored or about to be."""
        return len(self.placed_by_id) + len(self._chunk.samples)

    async def add(self, sample: Sample) -> Refusal | None:
        """Add a sample; return why its chunk cannot be stored."""
        self._chunk.add(sample)
        return await self.flush() if self._chunk.is_full else None

    async def flush(self) -> Refusal | None:
        """Store the chunk that is being filled."""
        if not self._chunk.samples:
            return None
        chunk, self._chunk = self._chunk, Chunk.empty()
        digest = await self.store(bytes(chunk.body))
        if isinstance(digest, Refusal):
            return digest
        self.note(chunk.place(digest))
        return None

    def note(self, placed: Iterable[PlacedSample]) -> None:
        """Take note of samples that lie in chunks of another entry."""
        for sample in placed:
            self.placed_by_id.setdefault(sample.stored.id, sample)

    async def store(self, body: bytes) -> BodyDigest | Refusal:
        """Store a body for the time that a step may take."""
        return await self._bodies.put(body, SAMPLE_KEEP_SECONDS)
