"""Replication progress of each follower, and partially received snapshots."""

import hashlib
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.log import Log
from goldcrestyard.consensus.messages import (
    Entry,
    InstallSnapshot,
    Snapshot,
    SnapshotReply,
)
from goldcrestyard.core.ids import LogIndex, Term

NEVER = float("-inf")
"""Time of an event that has not happened yet."""

MAX_ENTRIES_BYTES = 64 * 1024
"""Maximum size of a snapshot chunk, and of the payloads in one ``Append``,
unless it has one entry.  It is the least size of a batch on a link, which a
message cannot be less than."""

GAP_SECONDS = 0.75
"""Time for which a member rejects heartbeats, and accepts none of the entries
in flight, after which the entries are sent again."""

MAX_APPEND_ENTRIES = 1024
MAX_UNACKNOWLEDGED_ENTRIES = 4096
"""Maximum number of entries in flight to one follower."""

MAX_UNACKNOWLEDGED_BYTES = 2 * 1024 * 1024
"""Size of the payloads or chunks in flight to one follower from which no more
are sent."""

MAX_UNACKNOWLEDGED_MESSAGES = 32
"""Maximum number of messages with entries in flight to one follower.  It is
less than a link queues, since a dropped message makes a gap, and all that
follow it are rejected."""


class ReplicationState(Enum):
    """How a leader sends entries to a follower."""

    PROBE = "probe"
    """It is not known which entries the follower has.  One message is sent,
    and no further one before its reply."""
    PIPELINE = "pipeline"
    """The follower has accepted a message.  Entries are sent without waiting
    for the replies, within limits."""


@dataclass(frozen=True, slots=True)
class _Sent:
    """A message with entries in flight."""

    last_index: LogIndex
    size: int
    sent_at: float


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
    transfer: "SnapshotTransfer | None" = None
    """The snapshot being sent; None while entries are sent."""
    state: ReplicationState = ReplicationState.PROBE
    probed_at: float | None = None
    """Time at which the probe was sent; None if it is still to be sent."""
    _unacknowledged: deque["_Sent"] = field(default_factory=deque)
    """Messages with entries in flight, oldest first."""
    _unacknowledged_bytes: int = 0
    _probe: "_Sent | None" = None
    """The probe in flight, if it has entries."""
    _stalled_since: float | None = None
    """Sending time of the first heartbeat that was rejected since the member
    last accepted entries."""

    def next_batch(self, log: Log) -> tuple[Entry, ...]:
        """Return the entries to send next.

        Empty if the member has all entries, or no more may be sent before it
        replies.
        """
        match self.state:
            case ReplicationState.PROBE if self.probed_at is not None:
                return ()
            case ReplicationState.PIPELINE if self._is_window_full():
                return ()
        last = min(log.last_index, self.next_index + MAX_APPEND_ENTRIES - 1)
        entries = log.entries_between(self.next_index, LogIndex(last))
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.payload)
            if size > MAX_ENTRIES_BYTES and count > 0:
                return entries[:count]
        return entries

    def record_sent(self, entries: tuple[Entry, ...], now: float) -> None:
        """Record that entries returned by ``next_batch`` have been sent."""
        message: _Sent | None = None
        if entries:
            size = sum(len(entry.payload) for entry in entries)
            message = _Sent(entries[-1].index, size, now)
        match self.state:
            case ReplicationState.PROBE:
                if self.probed_at is None:
                    self.probed_at = now
                    self._probe = message
            case ReplicationState.PIPELINE if message is not None:
                self._record_in_flight(message)

    def _record_in_flight(self, message: _Sent) -> None:
        self.next_index = LogIndex(message.last_index + 1)
        self._unacknowledged.append(message)
        self._unacknowledged_bytes += message.size

    def record_match(self, index: LogIndex) -> None:
        """Record that the member stores all entries up to an index."""
        if index > self.match_index:
            self._stalled_since = None
        self.state = ReplicationState.PIPELINE
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(max(self.next_index, self.match_index + 1))
        if self._probe is not None and self._probe.last_index > self.match_index:
            # A heartbeat has overtaken the probe.
            self._record_in_flight(self._probe)
        self._probe = None
        while (
            self._unacknowledged
            and self._unacknowledged[0].last_index <= self.match_index
        ):
            self._unacknowledged_bytes -= self._unacknowledged.popleft().size

    def is_outdated_rejection(self, sent_at: float) -> bool:
        """Return whether a rejection says nothing new.

        After a gap the member rejects every message in flight.  Only the
        first rejection says something new; each further one would have the
        same entries sent again.  A heartbeat that has overtaken entries on
        another connection is rejected too, until they arrive.
        """
        match self.state:
            case ReplicationState.PROBE:
                return self.probed_at is not None and sent_at < self.probed_at
            case ReplicationState.PIPELINE:
                # Messages with entries do not overtake each other.
                if all(message.sent_at != sent_at for message in self._unacknowledged):
                    return self._has_overtaken(sent_at)
                return False

    def _has_overtaken(self, sent_at: float) -> bool:
        if not self._unacknowledged:
            return False
        if self._stalled_since is None:
            self._stalled_since = sent_at
        return sent_at - self._stalled_since < GAP_SECONDS

    def retry_from(self, index: int) -> None:
        """Move ``next_index`` back after the member rejected an ``Append``.

        A delayed rejection must neither skip entries nor resend those that
        the member is known to store.
        """
        index = max(min(index, self.next_index), self.match_index + 1)
        self.next_index = LogIndex(index)
        self.state = ReplicationState.PROBE
        self.probed_at = None
        self._probe = None
        self._stalled_since = None
        self._unacknowledged.clear()
        self._unacknowledged_bytes = 0

    @property
    def has_entries_in_flight(self) -> bool:
        """Whether the member has not answered messages with entries."""
        return bool(self._unacknowledged) or self._probe is not None

    def _is_window_full(self) -> bool:
        return (
            self.next_index - self.match_index > MAX_UNACKNOWLEDGED_ENTRIES
            or self._unacknowledged_bytes >= MAX_UNACKNOWLEDGED_BYTES
            or len(self._unacknowledged) >= MAX_UNACKNOWLEDGED_MESSAGES
        )


class SnapshotTransfer:
    """A snapshot that a leader is sending in chunks, several at a time.

    A chunk that waits for a lost packet thus does not stop the others.  The
    first one follows the member's first reply: until then it is not known how
    much it has, from this leader or an earlier one.
    """

    def __init__(self, snapshot: Snapshot, chunk_bytes: int) -> None:
        self.snapshot = snapshot
        self.digest = hashlib.sha256(snapshot.data).digest()
        self.acknowledged = 0
        """Number of bytes that the member has received without a gap."""
        self._chunk_bytes = chunk_bytes
        # One chunk until the member has told that it puts them in order.
        self._window_bytes = chunk_bytes
        self._next_offset: int | None = None
        # Sending time of the first heartbeat since the last progress.
        self._stalled_since: float | None = None

    def take_offsets(self) -> list[int]:
        """Return the offsets of the chunks to send now."""
        if self._next_offset is None:
            return []
        end = min(len(self.snapshot.data), self.acknowledged + self._window_bytes)
        offsets = list(range(self._next_offset, end, self._chunk_bytes))
        if offsets:
            self._next_offset = offsets[-1] + self._chunk_bytes
        return offsets

    def chunk_at(self, offset: int) -> bytes:
        """Return the chunk that begins at an offset."""
        return self.snapshot.data[offset : offset + self._chunk_bytes]

    def record_reply(self, reply: SnapshotReply) -> None:
        """Record how much the member has received.

        All in flight is sent again once nothing has been added for a while:
        a chunk is lost, or the member has started anew.  A single reply says
        neither, since it may be a duplicate or have been overtaken.
        """
        received = reply.received
        if reply.orders_chunks:
            self._window_bytes = MAX_UNACKNOWLEDGED_BYTES
        if self._next_offset is None or received > self.acknowledged:
            self._next_offset = max(self._next_offset or 0, received)
            self.acknowledged = received
            self._stalled_since = None
        elif self._is_stalled(reply.sent_at):
            self._next_offset = self.acknowledged = received
            self._stalled_since = None

    def _is_stalled(self, sent_at: float) -> bool:
        if self._stalled_since is None:
            self._stalled_since = sent_at
        return sent_at - self._stalled_since >= GAP_SECONDS


@dataclass(slots=True)
class PartialSnapshot:
    """A snapshot that a follower is receiving in chunks."""

    sender: MemberId
    index: LogIndex
    digest: bytes
    _latest: tuple[Term, float] = (Term(0), NEVER)
    """Term and sending time of the latest chunk."""
    _data: bytearray = field(default_factory=bytearray)
    _early_by_offset: dict[int, bytes] = field(default_factory=dict)
    """Chunks that have arrived before those that they follow."""

    def matches_transfer(self, sender: MemberId, message: InstallSnapshot) -> bool:
        """Return whether a chunk belongs to this transfer.

        It must be of the same snapshot, or have the same sender and snapshot
        index.  The term may be another one: a leader stores a snapshot before
        it sends it, and sends the same data when it is elected again.
        """
        if self.index != message.index:
            return False
        if self.digest and message.digest:
            return self.digest == message.digest
        return self.sender == sender

    def is_overtaken(self, message: InstallSnapshot) -> bool:
        """Return whether an older snapshot's chunk was sent before this one.

        A leader that begins a newer one does not return to it in its term.
        """
        term, sent_at = self._latest
        return (
            message.index < self.index
            and message.term == term
            and message.sent_at < sent_at
        )

    def add(self, message: InstallSnapshot) -> int:
        """Add a chunk; return the number of bytes received without a gap."""
        self._latest = max(self._latest, (message.term, message.sent_at))
        if message.offset > len(self._data):
            # A heartbeat after a restart names an offset too, without data.
            if (
                message.data
                and message.offset <= len(self._data) + MAX_UNACKNOWLEDGED_BYTES
            ):
                self._early_by_offset[message.offset] = message.data
        elif message.offset == len(self._data):
            self._data += message.data
            while (chunk := self._early_by_offset.pop(len(self._data), b"")) != b"":
                self._data += chunk
        return len(self._data)

    def is_intact(self) -> bool:
        """Return whether all that was received is the sender's snapshot."""
        return self.digest in (b"", hashlib.sha256(self._data).digest())

    def to_snapshot(self, last: InstallSnapshot) -> Snapshot:
        """Return the snapshot, once its last chunk has been added."""
        return Snapshot(
            last.index, last.snapshot_term, last.configuration, bytes(self._data)
        )
