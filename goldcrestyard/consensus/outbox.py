"""Messages that wait on a link to another member, and their sizes and times.

It has no I/O: ``link.py`` sends what ``Outbox`` hands out.
"""

from collections import deque
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.messages import TransferKey

MAX_QUEUED_MESSAGES = 64
"""Maximum number of queued messages of either kind, beyond which the oldest is
dropped.  The Raft protocol sends its content again if it is still needed."""

MIN_BATCH_BYTES = 64 * 1024
MAX_BATCH_BYTES = 128 * 1024
"""Bounds of the size of a batch with several messages.  A link starts with the
least, adds as much after each full batch that was acknowledged quickly, and
halves the size after one that had to be sent again: the more packets a batch
has, the more probably it waits for a lost one."""

QUICK_SECONDS = 0.1
"""Time of an acknowledgement after which batches may grow."""

SMALL_BATCH_BYTES = 16 * 1024
"""Size up to which entries share a batch with other messages, which saves
frames.  Larger ones would delay them."""

LARGE_TRANSFER_BYTES = 4 * MIN_BATCH_BYTES
"""Size of the queued transfers from which a link opens more connections."""

MAX_ATTEMPTS = 6
"""Number of times that a batch is sent until it is dropped."""

MIN_RESEND_SECONDS = 0.06
"""Least time after which an unacknowledged batch is sent on another connection
too.  TCP waits 0.2 s or more before it repeats a lost packet."""

INITIAL_ROUND_TRIP_SECONDS = 0.05
INITIAL_SECONDS_PER_BYTE = 0.4e-6
"""Assumptions about a link before its first acknowledgements: a connection
between two regions carries 2.5 MB/s."""

INITIAL_SECONDS_PER_BYTE_AHEAD = 1e-6
"""Assumption about all connections together, until it is measured: they share
1 MB/s.  A first queue on a link of 400 kB/s then stays shorter than the lease;
on slower ones it may not."""

QUEUE_SECONDS = 0.15
"""Delay by transfers in flight up to which more are sent.  Heartbeats wait
behind them, so with one more batch it has to stay shorter than the lease."""

MIN_WINDOW_BYTES = 2 * MIN_BATCH_BYTES
"""Bytes of transfers that may always be in flight.  While one batch waits for
a lost packet, the next one shows whether the link has become faster."""

WEIGHT_IF_ALONE = 0.5
"""Weight of the time of a batch with nothing ahead of it.  There are few of
these, and what they do not show would count as the delay of a queue."""

WEIGHT_IF_FASTER = 0.5
WEIGHT_IF_SLOWER = 0.125
"""Weights of the latest acknowledgement in the smoothed times.  One that
waited for a lost packet says little about the link."""


@dataclass(eq=False, slots=True)
class Batch:
    """Messages for one receiver that are sent and acknowledged together."""

    receiver: MemberId
    messages: tuple[bytes, ...]
    keys: frozenset[TransferKey] = frozenset()
    """Keys of the transfers among the messages."""
    attempts: int = 1
    ahead: int = 0
    """Bytes of transfers that were in flight when it was first sent."""
    late: bool = False
    """Whether it was not acknowledged in the expected time."""
    settled: bool = False
    """Whether it has been acknowledged or dropped."""

    @property
    def size(self) -> int:
        """Size of the messages in bytes."""
        return sum(map(len, self.messages))


class LinkPace:
    """Round trip time and throughput of a link by its acknowledgements.

    The connections may share the link, or each have its own throughput.  Which
    holds is measured, as the time by which bytes in flight on the others delay
    a batch.
    """

    def __init__(self) -> None:
        self.batch_bytes = MIN_BATCH_BYTES
        self._round_trip = INITIAL_ROUND_TRIP_SECONDS
        self._seconds_per_byte = INITIAL_SECONDS_PER_BYTE
        self._seconds_per_byte_ahead = INITIAL_SECONDS_PER_BYTE_AHEAD

    def has_room(self, in_flight: int) -> bool:
        """Return whether more transfers may be sent beside those in flight."""
        return (
            in_flight < MIN_WINDOW_BYTES
            or in_flight * self._seconds_per_byte_ahead < QUEUE_SECONDS
        )

    def resend_seconds(self, batch: Batch) -> float:
        """Return the time after which a batch is sent once more.

        Messages without transfers are small, so they need not wait for those
        ahead of them.
        """
        expected = self._seconds_alone(batch.size)
        if batch.keys:
            expected += batch.ahead * self._seconds_per_byte_ahead
        return max(2 * expected, MIN_RESEND_SECONDS)

    def _seconds_alone(self, size: int) -> float:
        return self._round_trip + size * self._seconds_per_byte

    def record_idle(self) -> None:
        """Record that nothing is in flight.

        The link may have become slower since it was measured.
        """
        self._seconds_per_byte_ahead = max(
            self._seconds_per_byte_ahead, INITIAL_SECONDS_PER_BYTE_AHEAD
        )

    def record_acknowledged(self, batch: Batch, seconds: float) -> None:
        """Record how long the first sending of a batch took."""
        size = batch.size
        self._record_delay(batch, seconds)
        if size < SMALL_BATCH_BYTES:
            if not batch.ahead or seconds < self._round_trip:
                self._round_trip = _smooth(self._round_trip, seconds)
            return
        per_byte = max(0.0, seconds - self._round_trip) / size
        if not batch.ahead:
            self._seconds_per_byte += WEIGHT_IF_ALONE * (
                per_byte - self._seconds_per_byte
            )
        elif per_byte < self._seconds_per_byte:
            self._seconds_per_byte = _smooth(self._seconds_per_byte, per_byte)
        if 2 * size > self.batch_bytes and seconds < QUICK_SECONDS:
            self.batch_bytes = min(MAX_BATCH_BYTES, self.batch_bytes + MIN_BATCH_BYTES)

    def record_late(self, batch: Batch) -> None:
        """Record that a batch was not acknowledged in the expected time."""
        if batch.size >= SMALL_BATCH_BYTES:
            self._record_delay(batch, self.resend_seconds(batch))
            smaller = min(batch.size, self.batch_bytes) // 2
            self.batch_bytes = max(MIN_BATCH_BYTES, smaller)

    def _record_delay(self, batch: Batch, seconds: float) -> None:
        """Record by how much the bytes ahead of a batch have delayed it.

        A queue delays all batches, a lost packet one of them; the smoothed
        time follows the quick ones.
        """
        if batch.size >= SMALL_BATCH_BYTES and batch.ahead >= SMALL_BATCH_BYTES:
            delay = max(0.0, seconds - self._seconds_alone(batch.size))
            self._seconds_per_byte_ahead = _smooth(
                self._seconds_per_byte_ahead, delay / batch.ahead
            )


def _smooth(smoothed: float, latest: float) -> float:
    weight = WEIGHT_IF_FASTER if latest < smoothed else WEIGHT_IF_SLOWER
    return smoothed + weight * (latest - smoothed)


class Outbox:
    """Queues of a link, from which its connections take batches.

    Transfers are entries and snapshot chunks.  All other messages may overtake
    them, so that a large or delayed transfer does not delay a heartbeat; for
    this, one connection carries no transfers.
    """

    def __init__(self) -> None:
        self.pace = LinkPace()
        self.connections = 0
        """Number of open connections."""
        self.parallel = False
        """Whether the receiver puts entries in order that arrive early.  Until
        this is known, one batch of transfers is on its way at a time."""
        self._transfer_attempts = 0
        # Attempts with transfers that have not passed the link by what is
        # known, in the order in which they were sent.
        self._on_link: list[tuple[Batch, int]] = []
        self._messages: deque[tuple[MemberId, bytes]] = deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        self._transfers: deque[tuple[MemberId, bytes, TransferKey]] = deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        # Batches with transfers that are not acknowledged, oldest first.
        self._in_flight: list[Batch] = []
        self._resends: deque[Batch] = deque()

    def add(
        self, receiver: MemberId, message: bytes, key: TransferKey | None = None
    ) -> None:
        """Queue a message; ``key`` is that of a transfer.

        A transfer that is still queued or on its way is not queued again.
        """
        if key is None:
            self._messages.append((receiver, message))
        elif not self._carries(receiver, key):
            self._transfers.append((receiver, message, key))

    def _carries(self, receiver: MemberId, key: TransferKey) -> bool:
        return any(
            batch.receiver == receiver and key in batch.keys
            for batch in self._in_flight
        ) or any(item[0] == receiver and item[2] == key for item in self._transfers)

    @property
    def has_large_transfer(self) -> bool:
        """Whether so much is queued that more connections shorten it."""
        return (
            self.parallel
            and self._queued_transfer_bytes() >= LARGE_TRANSFER_BYTES
            and self.pace.has_room(self._bytes_in_flight())
        )

    @property
    def has_batch(self) -> bool:
        """Whether ``take`` would return a batch."""
        return (
            bool(self._messages)
            or self._next_resend() is not None
            or self._is_transfer_due()
        )

    def take(self) -> Batch | None:
        """Return the next batch to send, or None.

        One of the methods below is to be called with its result.
        """
        batch = self._next_resend()
        if batch is not None:
            self._resends.remove(batch)
            batch.attempts += 1
        elif self._is_transfer_due() and not (
            self._messages and self._queued_transfer_bytes() >= SMALL_BATCH_BYTES
        ):
            batch = self._take_transfers()
        elif self._messages:
            receiver = self._messages[0][0]
            batch = Batch(receiver, self._take_messages(receiver))
        if batch is not None:
            if batch.attempts == 1:
                batch.ahead = self._bytes_in_flight()
            if batch.keys:
                if not self._on_link:
                    self.pace.record_idle()
                self._transfer_attempts += 1
                self._on_link.append((batch, batch.attempts))
        return batch

    def _bytes_in_flight(self) -> int:
        return sum(batch.size for batch, _ in self._on_link)

    def _next_resend(self) -> Batch | None:
        return next(
            (
                batch
                for batch in self._resends
                if not batch.keys or self._may_send_transfers
            ),
            None,
        )

    @property
    def _may_send_transfers(self) -> bool:
        has_connection = self._transfer_attempts < max(1, self.connections - 1)
        return has_connection and self.pace.has_room(self._bytes_in_flight())

    def _is_transfer_due(self) -> bool:
        """Return whether to send the next transfers.

        While others are on their way, small ones wait to share a batch, unless
        the others are late.
        """
        if not self._transfers or not self._may_send_transfers:
            return False
        return not self._in_flight or (
            self.parallel
            and (
                self._in_flight[-1].late
                or self._queued_transfer_bytes() >= MIN_BATCH_BYTES
            )
        )

    def _queued_transfer_bytes(self) -> int:
        return sum(len(message) for _, message, _ in self._transfers)

    def _take_transfers(self) -> Batch:
        receiver = self._transfers[0][0]
        messages: list[bytes] = []
        keys: list[TransferKey] = []
        size = 0
        while self._transfers:
            next_receiver, message, key = self._transfers[0]
            total = size + len(message)
            if next_receiver != receiver or (
                messages and total > self.pace.batch_bytes
            ):
                break
            size = total
            self._transfers.popleft()
            messages.append(message)
            keys.append(key)
        if size < SMALL_BATCH_BYTES:
            messages += self._take_messages(receiver)
        batch = Batch(receiver, tuple(messages), frozenset(keys))
        self._in_flight.append(batch)
        return batch

    def _take_messages(self, receiver: MemberId) -> tuple[bytes, ...]:
        taken: list[bytes] = []
        while self._messages and self._messages[0][0] == receiver:
            taken.append(self._messages.popleft()[1])
        return tuple(taken)

    def record_acknowledged(self, batch: Batch, attempt: int, seconds: float) -> None:
        """Record that a batch was acknowledged after one of its attempts.

        What was sent before it has passed the link too, and waits for a lost
        packet.
        """
        if (batch, attempt) in self._on_link and batch.size >= SMALL_BATCH_BYTES:
            del self._on_link[: self._on_link.index((batch, attempt))]
        self._end_attempt(batch, attempt)
        if not batch.settled and attempt == 1:
            self.pace.record_acknowledged(batch, seconds)
        self._settle(batch)

    def record_late(self, batch: Batch, attempt: int) -> None:
        """Send an unacknowledged batch again; its first attempt goes on.

        Its bytes still count as in flight, since a queue may be the reason,
        except those of a large message, whose connection may take many seconds
        to fail.
        """
        if batch.size > MAX_BATCH_BYTES:
            self._remove_from_link(batch, attempt)
        if attempt == 1 and not batch.settled:
            batch.late = True
            self.pace.record_late(batch)
            self._resends.append(batch)

    def record_failed(self, batch: Batch, attempt: int) -> None:
        """Record that the connection on which a batch was sent has failed.

        Transfers are sent again.  Other messages are not: newer ones follow,
        and a late one was sent twice.
        """
        self._end_attempt(batch, attempt)
        if batch.settled or batch in self._resends or attempt < batch.attempts:
            return
        if batch.keys and batch.attempts < MAX_ATTEMPTS:
            self._resends.append(batch)
        else:
            self._settle(batch)

    def drop(self, receiver: MemberId) -> None:
        """Drop the messages to a receiver that no longer exists."""
        messages = [item for item in self._messages if item[0] != receiver]
        transfers = [item for item in self._transfers if item[0] != receiver]
        self._messages.clear()
        self._messages.extend(messages)
        self._transfers.clear()
        self._transfers.extend(transfers)
        for batch in (*self._in_flight, *self._resends):
            if batch.receiver == receiver:
                self._settle(batch)

    def clear(self) -> None:
        """Drop all messages."""
        self._messages.clear()
        self._transfers.clear()
        for batch in (*self._in_flight, *self._resends):
            self._settle(batch)

    def _end_attempt(self, batch: Batch, attempt: int) -> None:
        self._remove_from_link(batch, attempt)
        if batch.keys:
            self._transfer_attempts -= 1

    def _remove_from_link(self, batch: Batch, attempt: int) -> None:
        if (batch, attempt) in self._on_link:
            self._on_link.remove((batch, attempt))

    def _settle(self, batch: Batch) -> None:
        batch.settled = True
        if batch in self._resends:
            self._resends.remove(batch)
        if batch in self._in_flight:
            self._in_flight.remove(batch)
