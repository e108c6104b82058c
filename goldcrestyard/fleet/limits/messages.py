"""Messages between senders and the leader about request limits."""

from dataclasses import dataclass

from goldcrestyard.core.ids import RequestRate, TargetId


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """The limit that one run of a target named; None if it named no more."""

    target: TargetId
    incarnation: str
    rate: RequestRate | None
    age_seconds: float
    """Time between the target's answer and the sending of this record."""


@dataclass(frozen=True, slots=True)
class LimitRecords:
    """Digest of an entry, or summary of the leader."""

    records: tuple[LimitRecord, ...]


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Asks the leader for a permit for one request to a target."""

    limit: LimitRecord


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to ``AskPermit``: a permit that is due after a delay."""

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class WithheldReply:
    """Reply to ``AskPermit``: no permit is due soon."""

    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class LimitEnded:
    """Reply to ``AskPermit``: the target has named no limit since."""

    record: LimitRecord


@dataclass(frozen=True, slots=True)
class ColdRecord:
    """A run of a target that is cold, and for how long."""

    target: TargetId
    incarnation: str
    seconds_left: float


@dataclass(frozen=True, slots=True)
class ColdRecords:
    """Summary of the leader: the targets that are cold."""

    records: tuple[ColdRecord, ...]


@dataclass(frozen=True, slots=True)
class AskColdPermit:
    """Asks the leader for a permit for one request to a cold target."""

    record: ColdRecord


@dataclass(frozen=True, slots=True)
class NotCold:
    """Reply to ``AskColdPermit``: the target needs no permit."""


MESSAGES = (
    ColdRecord,
    ColdRecords,
    AskColdPermit,
    NotCold,
    LimitRecord,
    LimitRecords,
    AskPermit,
    PermitReply,
    WithheldReply,
    LimitEnded,
)
