"""Room in a process's memory for bytes that others send.

Requests and answers in progress share one room, so that many of them, or a
few large ones, cannot exceed the memory of the process together.  Bodies that
arrive too slowly give up their bytes once others need them, and what becomes
free goes first to client addresses that hold less.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import structlog

from goldcrestyard.policy.arrivals import Arrival, bodies_to_end
from goldcrestyard.policy.room_order import RoomOrder

logger = structlog.get_logger(__name__)

SMALL_BYTES = 64 * 1024
"""Size up to which a body counts as small."""

SMALL_BODIES_SHARE = 0.1
"""Share of the room that only small bodies may fill, so that a few large ones
do not keep out all others."""


LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two log lines on bodies that were given up."""


@dataclass(frozen=True, slots=True)
class ArrivingBody:
    """A body that has not arrived whole, and what ends its arrival."""

    arrival: Arrival
    end: Callable[[], None]


class ByteRoom:
    """Counts the bytes that are held, up to a capacity."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held = 0
        self.arriving_by_lease: dict[ByteLease, ArrivingBody] = {}
        """The bodies that may be given up in favour of others."""
        self.observers: list[Callable[[], None]] = []
        """Called for each body that was given up."""
        self.order = RoomOrder()
        self._unlogged = 0
        self._logged_at: float | None = None

    def make_room(self, missing: int, lease: "ByteLease") -> bool:
        """Give up slow bodies in favour of a lease; return whether it fits."""
        if not self.arriving_by_lease:
            return False
        now = asyncio.get_running_loop().time()
        arrivals = (
            (other, body.arrival, other.held)
            for other, body in self.arriving_by_lease.items()
        )
        ended = bodies_to_end(arrivals, missing, lease, now)
        for other in ended:
            self.arriving_by_lease.pop(other).end()
            other.release()
            for observe in self.observers:
                observe()
        if ended:
            self._log(len(ended), now)
        return bool(ended)

    def _log(self, count: int, now: float) -> None:
        self._unlogged += count
        if self._logged_at is None or now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            logger.warning(
                "slow request bodies given up for others",
                count=self._unlogged,
                held_bytes=self.held,
                max_bytes=self.capacity,
            )
            self._unlogged = 0

    def lease(self, source: str = "") -> "ByteLease":
        """Return a lease that holds nothing yet.

        ``source`` is the address of the client that makes it grow, if any.
        """
        return ByteLease(self, source)


class ByteLease:
    """The bytes that one request or one answer holds of a room."""

    def __init__(self, room: ByteRoom, source: str = "") -> None:
        self._room = room
        self.source = source
        self.held = 0

    @property
    def capacity(self) -> int:
        """The capacity of the room, in bytes."""
        return self._room.capacity

    def grow(self, size: int) -> bool:
        """Take more bytes; return False, taking none, if there is no room."""
        if self.held + size > SMALL_BYTES and self.source:
            return self._grow_in_order(size)
        return self._grow(size, 0)

    def _grow_in_order(self, size: int) -> bool:
        """Take bytes of a large body unless they are kept for others."""
        order = self._room.order
        now = asyncio.get_running_loop().time()
        if not self._grow(size, order.reserved(self.source, now)):
            order.refused(self.source, size, now)
            return False
        order.served(self.source)
        return True

    def _grow(self, size: int, reserved: int) -> bool:
        """Take bytes beside those that are reserved for others.

        Slow bodies are not given up for what is reserved: the others, who hold
        less, have them given up when they come again.
        """
        room = self._room
        missing = room.held + size - room.capacity
        if self.held + size > SMALL_BYTES:
            missing += int(SMALL_BODIES_SHARE * room.capacity)
        if reserved > 0 and missing + reserved > 0:
            return False
        if missing > 0 and not room.make_room(missing, self):
            return False
        self.add(size)
        return True

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes in all; return False if there is no room."""
        if size > self.held:
            return self.grow(size - self.held)
        self.add(size - self.held)
        return True

    def add(self, size: int) -> None:
        """Count bytes that are held already, whether or not there is room."""
        self.held += size
        self._room.held += size
        if self.source:
            self._room.order.add(self.source, size)

    @contextlib.contextmanager
    def arriving(self, body: ArrivingBody) -> Iterator[None]:
        """Let the bytes be given up in favour of others meanwhile."""
        self._room.arriving_by_lease[self] = body
        try:
            yield
        finally:
            self._room.arriving_by_lease.pop(self, None)

    def release(self) -> None:
        """Give all bytes back; doing so again changes nothing."""
        self.add(-self.held)
