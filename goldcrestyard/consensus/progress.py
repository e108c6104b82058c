"""How far replication has come: a leader's view and a follower's."""

from dataclasses import dataclass, field

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.log import Log
from goldcrestyard.consensus.messages import Entry, InstallSnapshot, Snapshot
from goldcrestyard.core.ids import LogIndex, Term

NEVER = float("-inf")

BATCH_BYTES = 256 * 1024
"""Bound on the entries in one message, so that at 225 Mbit/s a message takes
about 10 ms and does not delay a heartbeat."""

BATCH_ENTRIES = 1024
UNANSWERED_ENTRIES = 4096
"""Bound on entries sent ahead of a follower's replies."""


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other member."""

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    last_acknowledged_sent_at: float = NEVER
    """Latest sending time of a message that the member has answered."""
    last_contact_at: float = NEVER
    snapshot_index: LogIndex | None = None
    snapshot_offset: int = 0

    def next_batch(self, log: Log) -> tuple[Entry, ...]:
        """Return the entries to send next; none while many are unanswered."""
        if self.next_index - self.match_index > UNANSWERED_ENTRIES:
            return ()
        last = min(log.last_index, self.next_index + BATCH_ENTRIES - 1)
        entries = log.entries_between(self.next_index, LogIndex(last))
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.payload)
            if size > BATCH_BYTES and count > 0:
                return entries[:count]
        return entries

    def match(self, index: LogIndex) -> None:
        """Note that the member has all entries up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(max(self.next_index, self.match_index + 1))

    def retry_from(self, index: int) -> None:
        """Go back to an index after a refusal.

        A delayed refusal must neither skip entries nor repeat those that the
        member is known to have.
        """
        index = max(min(index, self.next_index), self.match_index + 1)
        self.next_index = LogIndex(index)


@dataclass(slots=True)
class PartialSnapshot:
    """The chunks of a snapshot received so far."""

    sender: MemberId
    term: Term
    index: LogIndex
    _data: bytearray = field(default_factory=bytearray)

    def continues(self, sender: MemberId, message: InstallSnapshot) -> bool:
        """Return whether a chunk belongs to this snapshot."""
        return (self.sender, self.term, self.index) == (
            sender,
            message.term,
            message.index,
        )

    def add(self, message: InstallSnapshot) -> int:
        """Take a chunk if it is the next; return how many bytes are here."""
        if message.offset == len(self._data):
            self._data += message.data
        return len(self._data)

    def to_snapshot(self, last: InstallSnapshot) -> Snapshot:
        """Return the snapshot once its last chunk is here."""
        return Snapshot(
            last.index, last.snapshot_term, last.configuration, bytes(self._data)
        )
