"""Commands, outcomes, records and snapshot of the steps slice."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import (
    BatchId,
    BodyDigest,
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
    """Past the age bound, not acknowledged; never handed out again."""


@dataclass(frozen=True, slots=True)
class StepKey:
    """Names a step of a trainer."""

    organisation: OrganisationId
    model: ModelName
    number: StepNumber


@dataclass(frozen=True, slots=True)
class Batch:
    """The samples of a step, as fixed in the log."""

    id: BatchId
    manifest: BodyDigest
    count: int
    versions: tuple[WeightVersion, ...]
    """All versions that took part in its samples, oldest first."""
    state: BatchState = BatchState.FIXED


@dataclass(frozen=True, slots=True)
class Step:
    """What was asked in the latest attempt at a step, and its batch."""

    key: StepKey
    attempt: int
    question: BodyDigest
    batch: Batch | None = None


@dataclass(frozen=True, slots=True)
class OpenStep:
    """A trainer asks for the samples of a step."""

    key: StepKey
    attempt: int
    question: BodyDigest


@dataclass(frozen=True, slots=True)
class FixBatch:
    """Samples were generated for a step; the first batch is the batch."""

    key: StepKey
    attempt: int
    question: BodyDigest
    manifest: BodyDigest
    count: int
    versions: tuple[WeightVersion, ...]


@dataclass(frozen=True, slots=True)
class AcknowledgeBatch:
    """A trainer has received a whole batch."""

    batch: BatchId
    organisation: OrganisationId


@dataclass(frozen=True, slots=True)
class StepOpen:
    """Outcome: samples are to be generated."""


@dataclass(frozen=True, slots=True)
class BatchReady:
    """Outcome: this batch, and no other, may be handed out."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class VersionsBarred:
    """Outcome: samples of these versions are too old or of unknown age."""

    versions: tuple[WeightVersion, ...]


@dataclass(frozen=True, slots=True)
class StepFloor:
    """The newest step of a trainer that is no longer remembered."""

    organisation: OrganisationId
    model: ModelName
    number: StepNumber


@dataclass(frozen=True, slots=True)
class StepsSnapshot:
    """The whole slice."""

    steps: tuple[Step, ...]
    floors: tuple[StepFloor, ...]
