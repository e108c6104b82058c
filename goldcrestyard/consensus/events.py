"""What a member reacts to, and what it asks its driver to do."""

from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId, MemberRecord
from goldcrestyard.consensus.messages import Entry, MemberMessage, Snapshot
from goldcrestyard.core.ids import LogIndex, Term


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Receive:
    """A message has arrived."""

    sender: MemberId
    message: MemberMessage


@dataclass(frozen=True, slots=True)
class Propose:
    """Append commands; ``number`` identifies each to the driver."""

    payloads_by_number: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Add a member that receives the log but does not vote."""

    number: int
    member: MemberRecord


@dataclass(frozen=True, slots=True)
class Promote:
    """Make a learner that has caught up a voter."""

    number: int
    member: MemberId


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a member."""

    number: int
    member: MemberId


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The driver has encoded the state after an applied entry."""

    index: LogIndex
    data: bytes


Event = Tick | Receive | Propose | AddLearner | Promote | Remove | SnapshotTaken


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Sync the term and the vote to disk."""

    term: Term
    voted_for: MemberId | None


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Remove the entries from an index on, which conflict."""

    first_removed: LogIndex


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Append entries to the log and sync them."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Sync a snapshot; the log up to ``first_kept`` may then be removed.

    With ``replaces_log`` no stored entry continues the snapshot.
    """

    snapshot: Snapshot
    first_kept: LogIndex
    replaces_log: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message, after everything saved in the same step is synced."""

    receiver: MemberId
    message: MemberMessage


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Replace the state machine's state."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Appended:
    """A proposal is in this leader's log at an index."""

    number: int
    index: LogIndex


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal has not been appended anywhere."""

    number: int
    detail: str


SaveEffect = SaveVote | TruncateLog | SaveEntries | SaveSnapshot
Effect = SaveEffect | Send | Apply | LoadSnapshot | Appended | Refused
