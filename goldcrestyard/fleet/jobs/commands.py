"""Commands, messages and snapshot of the jobs slice."""

from dataclasses import dataclass, field

from goldcrestyard.core.ids import ItemId, JobId, OrganisationId
from goldcrestyard.core.jobs import EndedItem, ItemResult, Job, Progress


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Adds a trainer's job; submitting it again changes nothing."""

    job: Job


@dataclass(frozen=True, slots=True)
class StageJobPart:
    """Adds a part of an encoded job; the last one submits the job.

    Adding a part again changes nothing.  ``digest`` is that of the whole
    encoded job and ``size`` its size; ``offset`` is that of ``data`` in it.
    ``held_bytes`` is the size of the job once it is held, which exceeds that
    of an encoded job of many small items; 0 in a part of a former release.
    """

    job: JobId
    organisation: OrganisationId | None
    digest: bytes
    size: int
    offset: int
    data: bytes
    held_bytes: int = 0


@dataclass(frozen=True, slots=True)
class JobHeld:
    """Outcome of a part after which the whole job is held."""


@dataclass(frozen=True, slots=True)
class ListResults:
    """Appends the results of ended items to a job's list, each item once."""

    job: JobId
    ended: tuple[EndedItem, ...]


@dataclass(frozen=True, slots=True)
class KeepProgress:
    """Saves the progress of items, from which a new leader resumes them."""

    job: JobId
    progress_by_item: dict[ItemId, Progress]


@dataclass(frozen=True, slots=True)
class EndJob:
    """Ends a job whose trainer needs no further items."""

    job: JobId
    organisation: OrganisationId | None
    """The caller; None if none is configured and the key is not known."""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job in a snapshot of the slice."""

    job: Job
    submitted_at: float
    """The leader's wall time, in seconds."""
    results: tuple[ItemResult, ...]
    ended: bool
    progress_by_item: dict[ItemId, Progress] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StagedJobRecord:
    """An incomplete job in a snapshot of the slice.

    ``parts`` are pairs of an offset and the data there.
    """

    job: JobId
    organisation: OrganisationId | None
    digest: bytes
    size: int
    updated_at: float
    parts: tuple[tuple[int, bytes], ...]
    held_bytes: int = 0


@dataclass(frozen=True, slots=True)
class JobsSnapshot:
    """Snapshot of all jobs."""

    records: tuple[JobRecord, ...]
    staged: tuple[StagedJobRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadResults:
    """Asks the leader for a job's results from a position on.

    If there are none, the leader waits up to ``wait_seconds`` for one.
    """

    job: JobId
    organisation: OrganisationId | None
    position: int
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class ResultsPage:
    """Results from the requested position on, and the position after them."""

    size: int
    """Number of the job's items, listed or not."""
    results: tuple[ItemResult, ...]
    next_position: int


@dataclass(frozen=True, slots=True)
class ReadItem:
    """Asks the leader for the request body of an item not listed yet.

    The reply holds the body from ``offset`` on, up to a limit.
    """

    job: JobId
    organisation: OrganisationId | None
    item: ItemId
    offset: int = 0


@dataclass(frozen=True, slots=True)
class ItemBody:
    """A part of the request body of an item, and the size of the whole."""

    body: bytes
    size: int = 0
    """0 from a leader of an earlier release, whose reply holds the whole."""


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """The organisation has no such job, or the job no such unlisted item.

    Sent only by a leader that holds its lease, so the answer is definite.
    """
