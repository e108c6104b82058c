"""Events that ``Member.step`` processes, and the effects that it returns."""

from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId, MemberRecord
from goldcrestyard.consensus.messages import Entry, MemberMessage, Snapshot
from goldcrestyard.core.ids import LogIndex, Term


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the member may have expired."""


@dataclass(frozen=True, slots=True)
class Receive:
    """A message of another member has arrived."""

    sender: MemberId
    message: MemberMessage


@dataclass(frozen=True, slots=True)
class Propose:
    """Append commands to the log.

    The number of each payload identifies the proposal in ``Appended`` and
    ``Refused``.
    """

    payloads_by_number: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Add a learner: a member that receives the log but does not vote.

    ``number`` identifies the proposal.
    """

    number: int
    member: MemberRecord


@dataclass(frozen=True, slots=True)
class Promote:
    """Make a learner that has caught up a voter.

    ``number`` identifies the proposal.
    """

    number: int
    member: MemberId


@dataclass(frozen=True, slots=True)
class Replace:
    """Replace a voter by a learner that has caught up, in one change.

    ``number`` identifies the proposal.  It is applied once the joint
    configuration is committed; the leader then ends the replacement.
    """

    number: int
    voter: MemberId
    learner: MemberId


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a member from the configuration.

    ``number`` identifies the proposal.
    """

    number: int
    member: MemberId


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the state machine after an entry has been encoded."""

    index: LogIndex
    data: bytes


ConfigurationEvent = AddLearner | Promote | Replace | Remove
Event = Tick | Receive | Propose | ConfigurationEvent | SnapshotTaken


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Persist the current term and the vote in it (None: no vote yet)."""

    term: Term
    voted_for: MemberId | None


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Remove the entry at an index and all after it from the stored log.

    These entries conflict with the leader's log.
    """

    first_removed: LogIndex


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Append entries to the stored log and sync them."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Persist a snapshot; stored entries before ``first_kept`` may be removed.

    With ``replaces_log`` all stored entries must be removed, since none of
    them continues the snapshot.
    """

    snapshot: Snapshot
    first_kept: LogIndex
    replaces_log: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message, once the ``SaveEffect``s of the step are durable."""

    receiver: MemberId
    message: MemberMessage


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Replace the state machine by the state in a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Appended:
    """A proposal has been appended to this leader's log at an index."""

    number: int
    index: LogIndex
    term: Term


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal was refused and is in no log; ``detail`` says why."""

    number: int
    detail: str


SaveEffect = SaveVote | TruncateLog | SaveEntries | SaveSnapshot
Effect = SaveEffect | Send | Apply | LoadSnapshot | Appended | Refused
