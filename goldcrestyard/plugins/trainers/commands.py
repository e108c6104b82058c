"""Commands, outcomes, records and snapshot of the steps slice."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import (
    BatchId,
    BodyDigest,
    InstanceId,
    ModelName,
    OrganisationId,
    StepNumber,
    WeightVersion,
)


class BatchState(Enum):
    """Life cycle of a batch."""

    FIXED = "fixed"
    ACKNOWLEDGED = "acknowledged"
    CLOSED = "closed"
    """Not acknowledged before a weight version of its samples became too old;
    no longer handed out."""


@dataclass(frozen=True, slots=True)
class StepKey:
    """Identity of a step; numbers are unique for an organisation and model."""

    organisation: OrganisationId
    model: ModelName
    number: StepNumber


@dataclass(frozen=True, slots=True)
class Batch:
    """The samples of a step, as fixed in the log.

    ``manifest`` is the digest of the body that lists the ``count`` samples.
    """

    id: BatchId
    manifest: BodyDigest
    count: int
    versions: tuple[WeightVersion, ...]
    """The weight versions that generated the samples, oldest first."""
    state: BatchState = BatchState.FIXED


@dataclass(frozen=True, slots=True)
class Step:
    """The latest attempt at a step, and its batch once that is fixed.

    ``question`` is the digest of the request.
    """

    key: StepKey
    attempt: int
    question: BodyDigest
    batch: Batch | None = None
    entry: InstanceId = InstanceId("")
    """The entry that generates the samples."""


@dataclass(frozen=True, slots=True)
class OpenStep:
    """Open an attempt at a step, on behalf of the entry that was asked.

    That entry generates the samples if no other entry was named for the
    attempt so far, or if the one named is ``instead_of``, which does not
    generate them.
    """

    key: StepKey
    attempt: int
    question: BodyDigest
    entry: InstanceId
    instead_of: InstanceId | None = None


@dataclass(frozen=True, slots=True)
class FixBatch:
    """Fix the samples generated for an attempt at a step as its batch.

    The first batch that is fixed for an attempt is the only one.
    """

    key: StepKey
    attempt: int
    question: BodyDigest
    manifest: BodyDigest
    count: int
    versions: tuple[WeightVersion, ...]


@dataclass(frozen=True, slots=True)
class AcknowledgeBatch:
    """Record that the trainer has received a complete batch."""

    batch: BatchId
    organisation: OrganisationId


@dataclass(frozen=True, slots=True)
class StepOpen:
    """Outcome of a command: ``entry`` is to generate the samples."""

    entry: InstanceId


@dataclass(frozen=True, slots=True)
class BatchReady:
    """Outcome of a command: this is the only batch to hand out."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class VersionsBarred:
    """Outcome of a command: no batch was fixed.

    Samples of these weight versions are too old or of unknown age.
    """

    versions: tuple[WeightVersion, ...]


@dataclass(frozen=True, slots=True)
class StepFloor:
    """Number of the latest forgotten step of an organisation and model.

    Steps up to it are refused.
    """

    organisation: OrganisationId
    model: ModelName
    number: StepNumber


@dataclass(frozen=True, slots=True)
class StepsSnapshot:
    """Snapshot of the steps slice."""

    steps: tuple[Step, ...]
    floors: tuple[StepFloor, ...]
