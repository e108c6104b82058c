"""Jobs that arrive in parts, since one log entry could not hold them.

A log entry of several MB would delay the leader's heartbeats for longer than
an election timeout.  The parts of a job are collected in the replicated state,
and the job is submitted when the last one arrives.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from goldcrestyard.core.ids import JobId, OrganisationId
from goldcrestyard.core.jobs import Job, JobItem, RewardCall
from goldcrestyard.fleet.jobs.commands import StagedJobRecord, StageJobPart
from goldcrestyard.policy.job_sizes import job_size
from goldcrestyard.wire.codec import Codec, CodecError

MAX_PART_BYTES = 256 * 1024
"""Size of a part, and of a job that is submitted as a whole.  Replication
sends entries of this size without delaying a heartbeat."""

STAGING_SECONDS = 10.0
"""Time in seconds after its latest part at which an incomplete job is dropped.
Its sender has given up long before."""

_CODEC = Codec()
_CODEC.register(Job, JobItem, RewardCall)

StagingKey = tuple[JobId, OrganisationId | None, bytes]
"""Parts belong together only if they come from the same submission."""


def encode_job(job: Job) -> bytes:
    """Return a job in the form whose parts are staged."""
    return _CODEC.encode(job)


def split_job(job: Job, encoded: bytes) -> Iterator[StageJobPart]:
    """Yield the parts of an encoded job, in order."""
    digest = _digest(encoded)
    held_bytes = job_size(job)
    for offset in range(0, len(encoded), MAX_PART_BYTES):
        yield StageJobPart(
            job.id,
            job.organisation,
            digest,
            len(encoded),
            offset,
            encoded[offset : offset + MAX_PART_BYTES],
            held_bytes,
        )


@dataclass(slots=True)
class StagedJob:
    """The parts of a job that have arrived so far."""

    size: int
    """Size of the whole encoded job, in bytes."""
    updated_at: float
    """Time of the latest part, the leader's wall time in seconds."""
    held_bytes: int = 0
    """Size of the whole job once it is held; 0 if a former release sent it."""
    parts_by_offset: dict[int, bytes] = field(default_factory=dict)

    def add(self, part: StageJobPart, time: float) -> bool:
        """Store a part; return False if it lies outside the job."""
        fits = part.size == self.size and 0 <= part.offset <= part.size - len(part.data)
        if fits and part.data:
            self.parts_by_offset[part.offset] = part.data
            self.updated_at = time
        return fits and bool(part.data)

    def assemble(self, key: StagingKey) -> Job | str | None:
        """Return the job, or None while parts are missing.

        A text says why the parts are no job.
        """
        if sum(map(len, self.parts_by_offset.values())) < self.size:
            return None
        ordered = sorted(self.parts_by_offset.items())
        encoded = b"".join(data for _, data in ordered)
        if _digest(encoded) != key[2]:
            return "the parts of the job do not belong together"
        try:
            job = _CODEC.decode(encoded)
        except CodecError as error:
            return f"unreadable job: {error}"
        if not isinstance(job, Job) or (job.id, job.organisation) != key[:2]:
            return "the parts hold another job"
        return job


def staging_key(part: StageJobPart) -> StagingKey:
    """Return the key of the staged job to which a part belongs."""
    return part.job, part.organisation, part.digest


def to_record(key: StagingKey, staged: StagedJob) -> StagedJobRecord:
    """Return a staged job as it is stored in a snapshot."""
    return StagedJobRecord(
        *key,
        staged.size,
        staged.updated_at,
        tuple(staged.parts_by_offset.items()),
        staged.held_bytes,
    )


def from_record(record: StagedJobRecord) -> tuple[StagingKey, StagedJob]:
    """Return the key and the state of a staged job in a snapshot."""
    key = (record.job, record.organisation, record.digest)
    return key, StagedJob(
        record.size, record.updated_at, record.held_bytes, dict(record.parts)
    )


def _digest(encoded: bytes) -> bytes:
    return hashlib.blake2b(encoded, digest_size=16).digest()
