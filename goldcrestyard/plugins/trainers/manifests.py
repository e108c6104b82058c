"""Format of a batch in the body store.

Samples are packed into chunks, so that a step takes a few hundred synced
files instead of thousands, and an entry holds one chunk in memory instead of
the whole step.  The manifest lists the chunk and the position of each sample.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from goldcrestyard.core.ids import BodyDigest, SampleId, WeightVersion
from goldcrestyard.plugins.trainers.samples import Sample

CHUNK_FLUSH_BYTES = 1024 * 1024
"""Size from which a chunk is stored."""


@dataclass(frozen=True, slots=True)
class StoredSample:
    """Position of a sample in a stored chunk, in bytes."""

    id: SampleId
    chunk: BodyDigest
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Manifest:
    """The samples of a batch in the order in which they are handed out."""

    samples: tuple[StoredSample, ...]

    @property
    def chunks(self) -> set[BodyDigest]:
        """The digests of the chunks that contain the samples."""
        return {sample.chunk for sample in self.samples}


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as JSON."""
    return msgspec.json.encode(manifest)


def decode_manifest(body: bytes) -> Manifest:
    """Decode a manifest from its stored body."""
    return msgspec.json.decode(body, type=Manifest)


def encode_sample(sample: Sample) -> bytes:
    """Encode a sample as the JSON that the trainer receives."""
    return msgspec.json.encode(sample)


@dataclass(frozen=True, slots=True)
class PlacedSample:
    """A stored sample and the weight versions that generated it."""

    stored: StoredSample
    versions: tuple[WeightVersion, ...]


@dataclass(slots=True)
class Chunk:
    """Samples that are stored in one body.

    ``samples`` holds each sample with its offset and length in bytes.
    """

    body: bytearray
    samples: list[tuple[Sample, int, int]]

    @classmethod
    def empty(cls) -> "Chunk":
        """Return a chunk without samples."""
        return cls(bytearray(), [])

    @property
    def is_full(self) -> bool:
        """Whether the chunk is large enough to be stored."""
        return len(self.body) >= CHUNK_FLUSH_BYTES

    def add(self, sample: Sample) -> None:
        """Encode a sample and append it."""
        encoded = encode_sample(sample)
        self.samples.append((sample, len(self.body), len(encoded)))
        self.body += encoded

    def place(self, digest: BodyDigest) -> Iterable[PlacedSample]:
        """Yield the samples with their positions in the stored chunk."""
        for sample, offset, length in self.samples:
            stored = StoredSample(sample.id, digest, offset, length)
            yield PlacedSample(stored, sample.versions)
