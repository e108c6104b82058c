"""Entries of the log and the messages between members."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.consensus.configuration import Configuration
from goldcrestyard.core.ids import LogIndex, Term


class EntryKind(Enum):
    """What an entry of the log carries."""

    COMMAND = "command"
    NO_OP = "no_op"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    term: Term
    index: LogIndex
    kind: EntryKind
    payload: bytes = b""
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after an entry, which replaces the log up to it."""

    index: LogIndex
    term: Term
    configuration: Configuration
    data: bytes


@dataclass(frozen=True, slots=True)
class PreVote:
    """Asks whether a vote in a term would be granted; changes nothing."""

    term: Term
    last_index: LogIndex
    last_term: Term


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """``term`` is the voter's own, ``asked_term`` that of the request."""

    term: Term
    asked_term: Term
    granted: bool


@dataclass(frozen=True, slots=True)
class Vote:
    """Asks for the vote in a term."""

    term: Term
    last_index: LogIndex
    last_term: Term


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Whether the vote is granted."""

    term: Term
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after a known one; without entries, a heartbeat.

    ``sent_at`` is the leader's clock; the reply returns it, so that the
    lease is counted from the sending whatever the delay of the reply.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex
    sent_at: float


@dataclass(frozen=True, slots=True)
class AppendReply:
    """The last matching index, or where the logs differ.

    On a conflict, ``match_index`` is the first index of ``conflict_term`` in
    the follower's log, so that the leader skips a term at a time.
    """

    term: Term
    accepted: bool
    match_index: LogIndex
    conflict_term: Term
    sent_at: float


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One chunk of a snapshot."""

    term: Term
    index: LogIndex
    snapshot_term: Term
    configuration: Configuration
    offset: int
    total: int
    data: bytes
    sent_at: float


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """How many bytes of the snapshot at an index have been received."""

    term: Term
    index: LogIndex
    received: int
    installed: bool
    sent_at: float


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
