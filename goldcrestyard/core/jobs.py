"""Records of batch jobs.

A trainer submits a job of many generation requests (items) at once and reads
the results later.  Several items may share a prompt and form a group.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.calls import Headers
from goldcrestyard.core.ids import (
    EventNumber,
    GroupId,
    ItemId,
    JobId,
    KeyHash,
    ModelName,
    OrganisationId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StepNumber,
    WeightVersion,
)

REQUEST_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request to a reward service that scores an item's text."""

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
    """Items of a group share their prompt; a group counts towards the job
    only as a whole."""
    reward: RewardCall | None = None
    estimated_tokens: int = 0
    """The trainer's estimate of the length of the text, right at the median
    but often far off; 0 if there is none."""
    released_digest: bytes = b""
    """Digest of the request once its content is released; empty before."""
    prompt_tokens: int = 0
    """Number of tokens of the prompt; 0 if it is not stated."""

    @property
    def request_digest(self) -> bytes:
        """Digest of all that decides what the item's runs generate."""
        if self.released_digest:
            return self.released_digest
        digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
        reward = self.reward
        for part in (
            repr((self.path, self.headers, self.model, self.estimated_tokens)).encode(),
            self.body,
            repr(reward and (reward.request, reward.host, reward.path)).encode(),
            reward.body if reward is not None else b"",
        ):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()

    def released(self) -> "JobItem":
        """Return the item without its content, which no run needs any more."""
        if self.released_digest:
            return self
        return JobItem(
            self.id,
            "",
            (),
            b"",
            self.model,
            self.group,
            released_digest=self.request_digest,
        )


@dataclass(frozen=True, slots=True)
class Job:
    """A batch of items submitted by a trainer in one request."""

    id: JobId
    organisation: OrganisationId | None
    host: str
    path: str
    model: ModelName
    step: StepNumber
    oldest_version: WeightVersion
    """The oldest weight version that may generate any part of an item."""
    wanted_groups: int
    items: tuple[JobItem, ...]
    key_hash: KeyHash = KeyHash("")
    """Hash of the key with which it was submitted; empty if there was none."""


class ItemOutcome(Enum):
    """Whether an ended item succeeded or failed."""

    COMPLETE = "complete"
    ERRORED = "errored"


@dataclass(frozen=True, slots=True)
class Progress:
    """Events generated for an item so far.

    ``events`` follow the first ``kept`` events, which the replicated state
    holds already, so that applying the same progress twice changes nothing.
    """

    kept: int
    events: tuple[bytes, ...]
    last: EventNumber | None
    versions: tuple[WeightVersion, ...]
    current_version: WeightVersion | None
    software: SoftwareVersion = SoftwareVersion("")
    """Software of the engine that generated the first event; all others come
    from engines with the same.  Empty in the progress of a former release."""
    service: ServiceName = ServiceName("")
    """Service of that engine; empty in the progress of a former release."""


@dataclass(frozen=True, slots=True)
class EndedItem:
    """An item to be marked as ended.

    ``progress`` holds the part of its text that the replicated state lacks,
    or is None if it lacks nothing.
    """

    item: ItemId
    outcome: ItemOutcome
    progress: Progress | None = None
    score: str = ""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of an ended item.

    Its position in the job's list of results never changes.
    """

    item: ItemId
    outcome: ItemOutcome
    text: bytes = b""
    versions: tuple[WeightVersion, ...] = ()
    """All weight versions that generated a part of the text."""
    score: str = ""
