"""Jobs: many items that a trainer submits at once and reads later."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.calls import Headers
from goldcrestyard.core.ids import (
    EventNumber,
    GroupId,
    ItemId,
    JobId,
    ModelName,
    OrganisationId,
    RequestId,
    StepNumber,
    WeightVersion,
)


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that scores an item's text."""

    request: RequestId
    host: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class JobItem:
    """One request of a job."""

    id: ItemId
    path: str
    headers: Headers
    body: bytes
    model: ModelName
    group: GroupId
    """Items of a group share their prompt and count only together."""
    reward: RewardCall | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """Everything that a trainer has submitted at once."""

    id: JobId
    organisation: OrganisationId | None
    host: str
    path: str
    model: ModelName
    step: StepNumber
    oldest_version: WeightVersion
    """The oldest weights that may generate any part of an item."""
    wanted_groups: int
    items: tuple[JobItem, ...]


class ItemOutcome(Enum):
    """How an item has ended."""

    COMPLETE = "complete"
    ERRORED = "errored"


@dataclass(frozen=True, slots=True)
class Progress:
    """What an item has: ``kept`` events that are known, and those after.

    Applying the same progress twice changes nothing.
    """

    kept: int
    events: tuple[bytes, ...]
    last: EventNumber | None
    versions: tuple[WeightVersion, ...]
    current_version: WeightVersion | None


@dataclass(frozen=True, slots=True)
class EndedItem:
    """An item that ends, with what of its text is not known yet."""

    item: ItemId
    outcome: ItemOutcome
    progress: Progress | None = None
    score: str = ""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """An item that has ended; its place in the list never changes."""

    item: ItemId
    outcome: ItemOutcome
    text: bytes = b""
    versions: tuple[WeightVersion, ...] = ()
    """All weight versions that generated a part of the text."""
    score: str = ""
