"""Log entries, snapshots and the Raft messages between members."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.consensus.configuration import Configuration
from goldcrestyard.core.decoding import MAX_WHOLE_NUMBER
from goldcrestyard.core.ids import LogIndex, Term


class EntryKind(Enum):
    """Kind of content of a log entry."""

    COMMAND = "command"
    NO_OP = "no_op"
    """First entry of a leader's term.  Committing it also commits all entries
    before it."""
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    A command is in ``payload``, encoded; a configuration entry has
    ``configuration`` instead.
    """

    term: Term
    index: LogIndex
    kind: EntryKind
    payload: bytes = b""
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Encoded state machine that replaces the log up to an entry.

    ``index`` and ``term`` are those of the last entry included.
    """

    index: LogIndex
    term: Term
    configuration: Configuration
    data: bytes


@dataclass(frozen=True, slots=True)
class PreVote:
    """Asks whether a vote in ``term`` would be granted.

    Neither the sender nor the receiver changes its term or its vote.
    ``last_index`` and ``last_term`` are those of the candidate's last log
    entry.
    """

    term: Term
    last_index: LogIndex
    last_term: Term


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Reply to a pre-vote.

    ``term`` is the voter's current term, ``asked_term`` that of the request.
    """

    term: Term
    asked_term: Term
    granted: bool


@dataclass(frozen=True, slots=True)
class Vote:
    """Requests a vote in ``term`` (RequestVote in Raft).

    ``last_index`` and ``last_term`` are those of the candidate's last log
    entry.
    """

    term: Term
    last_index: LogIndex
    last_term: Term


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a vote request; ``term`` is the voter's current term."""

    term: Term
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Entries that follow ``previous_index`` (AppendEntries in Raft).

    Without entries it is a heartbeat.  ``sent_at`` is the time of sending on
    the leader's clock.  The reply contains the same time, so that the
    leader's lease starts at the sending, however late the reply arrives.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex
    sent_at: float


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to ``Append``.

    If accepted, ``match_index`` is the last index up to which the logs are
    the same.  On a conflict it is the first index of ``conflict_term`` in the
    follower's log, so that the leader skips a whole term at a time.
    """

    term: Term
    accepted: bool
    match_index: LogIndex
    conflict_term: Term
    sent_at: float


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One chunk of a snapshot, for a follower whose next entry is compacted.

    ``index``, ``snapshot_term`` and ``configuration`` belong to the snapshot;
    ``offset`` and ``total`` are in bytes.  ``sent_at`` is as in ``Append``.
    Without data it is a heartbeat, and asks how much has been received.
    """

    term: Term
    index: LogIndex
    snapshot_term: Term
    configuration: Configuration
    offset: int
    total: int
    data: bytes
    sent_at: float
    digest: bytes = b""
    """SHA-256 of the whole snapshot, by which a transfer goes on with another
    sender; empty in messages of earlier releases."""


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Reply to ``InstallSnapshot``.

    ``received`` is the number of bytes received of the snapshot at ``index``
    without a gap;
    ``installed`` is true once the follower holds the whole snapshot.
    """

    term: Term
    index: LogIndex
    received: int
    installed: bool
    sent_at: float
    orders_chunks: bool = False
    """Whether the follower puts chunks in order; members of earlier releases
    drop those that arrive early."""


MemberMessage = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
)

TransferKey = tuple[int, ...]
"""What a message with entries or with a snapshot chunk carries."""


def make_transfer_key(message: MemberMessage) -> TransferKey | None:
    """Return what a message carries, or None for one without such content.

    Two messages of one leader with the same key differ only in the time of
    sending and in the commit index.
    """
    match message:
        case Append(entries=entries) if entries:
            return (message.term, message.previous_index, entries[-1].index)
        case InstallSnapshot(data=data) if data:
            return (message.term, message.index, message.offset, len(data))
        case _:
            return None


def find_fault(message: object) -> str | None:
    """Return why a received message cannot be processed, or None.

    The types of its fields are checked by the codec already.
    """
    if isinstance(message, MemberMessage) and not _has_usable_numbers(message):
        return "number is too large"
    match message:
        case Append(previous_index=previous, entries=entries, commit_index=commit):
            if previous < 0 or commit < 0:
                return "negative index"
            for offset, entry in enumerate(entries, start=1):
                if entry.index != previous + offset:
                    return f"entry {entry.index} does not follow {previous}"
                if entry.term < 0 or entry.term > message.term:
                    return f"entry of term {entry.term} in term {message.term}"
                is_configuration = entry.kind is EntryKind.CONFIGURATION
                if is_configuration != (entry.configuration is not None):
                    return f"entry {entry.index} has no content of its kind"
        case AppendReply(match_index=index) | SnapshotReply(index=index):
            if index < 0:
                return "negative index"
        case InstallSnapshot(index=index, offset=offset, total=total, data=data):
            if index < 1 or offset < 0 or offset + len(data) > total:
                return "chunk lies outside its snapshot"
    return None


def _has_usable_numbers(message: MemberMessage) -> bool:
    """Return whether terms, indexes and times can be stored and compared."""
    fields = (getattr(message, name) for name in message.__slots__)
    numbers = (field for field in fields if isinstance(field, int | float))
    return all(abs(number) <= MAX_WHOLE_NUMBER for number in numbers)
