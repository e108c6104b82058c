"""Commands, messages and snapshot of the jobs slice."""

from dataclasses import dataclass, field

from goldcrestyard.core.ids import ItemId, JobId, OrganisationId
from goldcrestyard.core.jobs import EndedItem, ItemResult, Job, Progress


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """A trainer submits a job; the same one again changes nothing."""

    job: Job


@dataclass(frozen=True, slots=True)
class ListResults:
    """Items of a job have ended; each is listed once, in this order."""

    job: JobId
    ended: tuple[EndedItem, ...]


@dataclass(frozen=True, slots=True)
class KeepProgress:
    """Items have come further; a new leader goes on from here."""

    job: JobId
    progress_by_item: dict[ItemId, Progress]


@dataclass(frozen=True, slots=True)
class EndJob:
    """A trainer needs no more of a job."""

    job: JobId
    organisation: OrganisationId | None


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job as the slice keeps it."""

    job: Job
    submitted_at: float
    """The leader's wall time, in seconds."""
    results: tuple[ItemResult, ...]
    ended: bool
    progress_by_item: dict[ItemId, Progress] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class JobsSnapshot:
    """The whole slice."""

    records: tuple[JobRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadResults:
    """Asks the leader for a job's results from a position on."""

    job: JobId
    organisation: OrganisationId | None
    position: int
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class ResultsPage:
    """Results from the position asked for, and the next position."""

    size: int
    results: tuple[ItemResult, ...]
    next_position: int


@dataclass(frozen=True, slots=True)
class ReadItem:
    """Asks the leader for the body of an item that is not listed yet."""

    job: JobId
    organisation: OrganisationId | None
    item: ItemId


@dataclass(frozen=True, slots=True)
class ItemBody:
    """An item's body."""

    body: bytes


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """The leader is sure that there is no such job, or no such item."""
