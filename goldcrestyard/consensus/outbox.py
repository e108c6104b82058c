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
    late: bool = False
    """Whether it was not acknowledged in the expected time."""
    settled: bool = False
    """Whether it has been acknowledged or dropped."""

    @property
    def size(self) -> int:
        """Size of the messages in bytes."""
        return sum(map(len, self.messages))


class LinkPace:
    """Round trip time and throughput of a link by its acknowledgements."""

    def __init__(self) -> None:
        self.batch_bytes = MIN_BATCH_BYTES
        self._round_trip = INITIAL_ROUND_TRIP_SECONDS
        self._seconds_per_byte = INITIAL_SECONDS_PER_BYTE

    def resend_seconds(self, size: int) -> float:
        """Return the time after which a batch of a size is sent once more."""
        expected = self._round_trip + size * self._seconds_per_byte
        return max(2 * expected, MIN_RESEND_SECONDS)

    def record_acknowledged(self, size: int, seconds: float) -> None:
        """Record how long the first sending of a batch took."""
        if size < SMALL_BATCH_BYTES:
            self._round_trip = _smooth(self._round_trip, seconds)
            return
        per_byte = max(0.0, seconds - self._round_trip) / size
        self._seconds_per_byte = _smooth(self._seconds_per_byte, per_byte)
        if 2 * size > self.batch_bytes and seconds < QUICK_SECONDS:
            self.batch_bytes = min(MAX_BATCH_BYTES, self.batch_bytes + MIN_BATCH_BYTES)

    def record_late(self, size: int) -> None:
        """Record that a batch was not acknowledged in the expected time."""
        if size >= SMALL_BATCH_BYTES:
            smaller = min(size, self.batch_bytes) // 2
            self.batch_bytes = max(MIN_BATCH_BYTES, smaller)


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
        return self.parallel and self._queued_transfer_bytes() >= LARGE_TRANSFER_BYTES

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
        if batch is not None and batch.keys:
            self._transfer_attempts += 1
        return batch

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
        return self._transfer_attempts < max(1, self.connections - 1)

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
        """Record that a batch was acknowledged after one of its attempts."""
        self._end_attempt(batch)
        if not batch.settled and attempt == 1:
            self.pace.record_acknowledged(batch.size, seconds)
        self._settle(batch)

    def record_late(self, batch: Batch, attempt: int) -> None:
        """Send an unacknowledged batch again; its first attempt goes on."""
        if attempt == 1 and not batch.settled:
            batch.late = True
            self.pace.record_late(batch.size)
            self._resends.append(batch)

    def record_failed(self, batch: Batch, attempt: int) -> None:
        """Record that the connection on which a batch was sent has failed.

        Transfers are sent again.  Other messages are not: newer ones follow,
        and a late one was sent twice.
        """
        self._end_attempt(batch)
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

    def _end_attempt(self, batch: Batch) -> None:
        if batch.keys:
            self._transfer_attempts -= 1

    def _settle(self, batch: Batch) -> None:
        batch.settled = True
        if batch in self._resends:
            self._resends.remove(batch)
        if batch in self._in_flight:
            self._in_flight.remove(batch)
