"""How the samples of a batch lie in the body store.

Samples are packed into chunks, so that a step takes a few hundred synced
files instead of thousands, and an entry holds one chunk in memory instead of
the whole step.  The manifest lists the chunks and the place of each sample.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from goldcrestyard.core.ids import BodyDigest, SampleId, WeightVersion
from goldcrestyard.plugins.trainers.samples import Sample

CHUNK_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StoredSample:
    """Where a sample lies."""

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
        """The bodies that the batch needs besides the manifest."""
        return {sample.chunk for sample in self.samples}


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the manifest as a body."""
    return msgspec.json.encode(manifest)


def decode_manifest(body: bytes) -> Manifest:
    """Return the manifest that a body holds."""
    return msgspec.json.decode(body, type=Manifest)


def encode_sample(sample: Sample) -> bytes:
    """Return a sample as the trainer receives it."""
    return msgspec.json.encode(sample)


@dataclass(frozen=True, slots=True)
class PlacedSample:
    """A stored sample with the versions that made it."""

    stored: StoredSample
    versions: tuple[WeightVersion, ...]


@dataclass(slots=True)
class Chunk:
    """Samples that are stored together."""

    body: bytearray
    samples: list[tuple[Sample, int, int]]

    @classmethod
    def empty(cls) -> "Chunk":
        """Return a chunk without samples."""
        return cls(bytearray(), [])

    @property
    def is_full(self) -> bool:
        """Whether the chunk should be stored now."""
        return len(self.body) >= CHUNK_BYTES

    def add(self, sample: Sample) -> None:
        """Append a sample."""
        encoded = encode_sample(sample)
        self.samples.append((sample, len(self.body), len(encoded)))
        self.body += encoded

    def place(self, digest: BodyDigest) -> Iterable[PlacedSample]:
        """Return the samples' places once the chunk is stored."""
        for sample, offset, length in self.samples:
            stored = StoredSample(sample.id, digest, offset, length)
            yield PlacedSample(stored, sample.versions)
