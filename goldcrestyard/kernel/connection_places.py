"""Places for the connections that clients open to a process.

All listeners of a process share them, so that the sum of the connections is
bounded by the memory and the descriptors of the process.
"""

import asyncio
import resource
from collections import Counter
from collections.abc import Callable
from enum import Enum

import structlog

from goldcrestyard.policy.connections import SCARCE_SHARE, listener_connections

logger = structlog.get_logger(__name__)

MAX_LINGERING = 32
"""Largest number of refused connections that are kept for a moment, so that
their clients receive the refusal.  Further ones are closed at once."""

LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two log lines on refused connections."""


class RefusedConnection(Enum):
    """Why a connection was refused, or closed with an unread answer."""

    NO_PLACE = "no_place"
    NO_ROOM = "no_room"
    HEAD_TOO_LONG = "head_too_long"
    EMPTY_LINES = "empty_lines"
    HEAD_TIMEOUT = "head_timeout"
    DISPLACED = "displaced"
    """Its head was incomplete for long when another needed its place."""
    UNREAD = "unread"
    """Its client did not read an answer."""


def open_files_limit() -> int:
    """Return how many descriptors the operating system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 1_000_000


class ConnectionPlaces:
    """Counts open connections up to a capacity, and refused ones by reason."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.open = 0
        self.lingering = 0
        self.listeners: list[ListenerPlaces] = []
        """Those for which some places are reserved."""
        self.observers: list[Callable[[RefusedConnection], None]] = []
        self._unlogged: Counter[str] = Counter()
        self._logged_at: float | None = None

    def listener(self) -> "ListenerPlaces":
        """Return the places of one listener; reserve some for it."""
        added = ListenerPlaces(self)
        self.listeners.append(added)
        return added

    def begin_lingering(self) -> bool:
        """Return whether one more refused connection may be kept open."""
        if self.lingering >= MAX_LINGERING:
            return False
        self.lingering += 1
        return True

    def end_lingering(self) -> None:
        """Count a kept connection as closed."""
        self.lingering -= 1

    def refused(self, reason: RefusedConnection) -> None:
        """Count a refused connection, and log the sums now and then."""
        for observe in self.observers:
            observe(reason)
        self._unlogged[reason.value] += 1
        now = asyncio.get_running_loop().time()
        if self._logged_at is None or now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            logger.warning(
                "connections refused or not read",
                count_by_reason=dict(self._unlogged),
                open_connections=self.open,
                max_connections=self.capacity,
            )
            self._unlogged.clear()


class ListenerPlaces:
    """The connections of one listener among those of the process."""

    def __init__(self, process: ConnectionPlaces) -> None:
        self.process = process
        self.open = 0

    @property
    def _capacity(self) -> int:
        others = [
            listener.open for listener in self.process.listeners if listener is not self
        ]
        return listener_connections(self.process.capacity, others)

    def close(self) -> None:
        """Reserve no places any longer; connections keep theirs."""
        if self in self.process.listeners:
            self.process.listeners.remove(self)

    @property
    def scarce(self) -> bool:
        """Whether connections should end with their answer."""
        process = self.process
        return (
            self.open > SCARCE_SHARE * self._capacity
            or process.open > SCARCE_SHARE * process.capacity
        )

    def take(self) -> "Place | None":
        """Take a place for a connection; None if there is none."""
        process = self.process
        if process.open >= process.capacity or self.open >= self._capacity:
            return None
        self.open += 1
        process.open += 1
        return Place(self)


class Place:
    """The place of one connection."""

    def __init__(self, listener: ListenerPlaces) -> None:
        self._listener: ListenerPlaces | None = listener

    def refused(self, reason: RefusedConnection) -> None:
        """Count a refusal of what arrived on this connection."""
        if self._listener is not None:
            self._listener.process.refused(reason)

    @property
    def scarce(self) -> bool:
        """Whether this connection should end with its answer."""
        return self._listener is not None and self._listener.scarce

    def release(self) -> None:
        """Give the place back; doing so again changes nothing."""
        if self._listener is not None:
            self._listener.open -= 1
            self._listener.process.open -= 1
            self._listener = None
