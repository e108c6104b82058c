"""Replication progress of each follower, and partially received snapshots."""

from dataclasses import dataclass, field

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.log import Log
from goldcrestyard.consensus.messages import Entry, InstallSnapshot, Snapshot
from goldcrestyard.core.ids import LogIndex, Term

NEVER = float("-inf")
"""Time of an event that has not happened yet."""

MAX_APPEND_BYTES = 256 * 1024
"""Maximum size of the payloads in one ``Append`` and of a snapshot chunk.  At
225 Mbit/s a message takes about 10 ms and does not delay a heartbeat."""

MAX_APPEND_ENTRIES = 1024
MAX_UNACKNOWLEDGED_ENTRIES = 4096
"""Maximum number of entries in flight to one follower."""


@dataclass(slots=True)
class Progress:
    """A leader's replication state for one other member.

    ``next_index`` is the index of the next entry to send, and ``match_index``
    the last index known to be stored by the member.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    last_acknowledged_sent_at: float = NEVER
    """Latest sending time of a message that the member has acknowledged."""
    last_contact_at: float = NEVER
    """Time at which the member's latest reply arrived."""
    snapshot_index: LogIndex | None = None
    """Index of the snapshot being sent; None while entries are sent."""
    snapshot_offset: int = 0
    """Number of bytes of that snapshot that the member has acknowledged."""

    def next_batch(self, log: Log) -> tuple[Entry, ...]:
        """Return the entries to send next.

        Empty if the member has all entries, or too many are in flight.
        """
        if self.next_index - self.match_index > MAX_UNACKNOWLEDGED_ENTRIES:
            return ()
        last = min(log.last_index, self.next_index + MAX_APPEND_ENTRIES - 1)
        entries = log.entries_between(self.next_index, LogIndex(last))
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.payload)
            if size > MAX_APPEND_BYTES and count > 0:
                return entries[:count]
        return entries

    def record_match(self, index: LogIndex) -> None:
        """Record that the member stores all entries up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(max(self.next_index, self.match_index + 1))

    def retry_from(self, index: int) -> None:
        """Move ``next_index`` back after the member rejected an ``Append``.

        A delayed rejection must neither skip entries nor resend those that
        the member is known to store.
        """
        index = max(min(index, self.next_index), self.match_index + 1)
        self.next_index = LogIndex(index)


@dataclass(slots=True)
class PartialSnapshot:
    """A snapshot that a follower is receiving in chunks."""

    sender: MemberId
    term: Term
    index: LogIndex
    _data: bytearray = field(default_factory=bytearray)

    def matches_transfer(self, sender: MemberId, message: InstallSnapshot) -> bool:
        """Return whether a chunk belongs to this transfer.

        It must have the same sender, term and snapshot index.
        """
        return (self.sender, self.term, self.index) == (
            sender,
            message.term,
            message.index,
        )

    def add(self, message: InstallSnapshot) -> int:
        """Append a chunk if it is the next one.

        Return the number of bytes received so far.
        """
        if message.offset == len(self._data):
            self._data += message.data
        return len(self._data)

    def to_snapshot(self, last: InstallSnapshot) -> Snapshot:
        """Return the snapshot, once its last chunk has been added."""
        return Snapshot(
            last.index, last.snapshot_term, last.configuration, bytes(self._data)
        )
