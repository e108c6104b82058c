"""Decisions on connections before a request: how many, and how long a head.

Load: crowds of clients that send heads over the limit or without end, empty
lines without end, or hold connections.
"""

import re
from collections.abc import Sequence
from enum import Enum

CONNECTIONS_MEMORY_SHARE = 0.2
CONNECTION_BYTES = 20_000
"""Share of a process's memory for idle connections, and the cost of one with
its parser and task (15 kB were measured with 600)."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that are left for files."""

CONNECTIONS_DESCRIPTOR_SHARE = 0.7
"""Share of the other descriptors for connections from clients.  The rest
is for connections to targets and peers, which requests need; connections that
callers keep idle need none."""

LISTENER_SHARE = 0.9
"""Share of a process's connections that one listener may hold, so that a crowd
at one of them leaves some to health checks and operators."""

SCARCE_SHARE = 0.75
"""Share of a listener's places from which connections end with their answer.
Idle ones, which an answered request of any client may leave behind, thus never
take all places.  Closing them later could cut off a request on its way."""

RESERVED_SHARE = 0.05
MIN_RESERVED = 4
"""Share and least number of a process's connections that each listener may
always hold, so that crowds at several others leave some to it."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of a process's connections that is reserved in all."""

MIN_CONNECTIONS = 16
"""Connections that a process accepts however low its limits are."""

MAX_EMPTY_BYTES = 1024
"""Most bytes of empty lines before a request.  Some clients send one line end
after a body."""

_HEAD_END = re.compile(rb"\n\r?\n")


def max_connections(process_bytes: int, descriptors: int) -> int:
    """Return how many connections from clients a process may have open."""
    by_memory = CONNECTIONS_MEMORY_SHARE * process_bytes / CONNECTION_BYTES
    usable = descriptors - RESERVED_DESCRIPTORS
    by_descriptors = CONNECTIONS_DESCRIPTOR_SHARE * usable
    return max(MIN_CONNECTIONS, int(min(by_memory, by_descriptors)))


def reserved_connections(capacity: int, listeners: int) -> int:
    """Return how many connections each listener may always hold."""
    reserved = max(MIN_RESERVED, int(RESERVED_SHARE * capacity))
    return min(reserved, int(MAX_RESERVED_SHARE * capacity / listeners))


def listener_connections(capacity: int, others_open: Sequence[int]) -> int:
    """Return how many connections one listener of a process may hold.

    ``others_open`` are the open connections of each of the other listeners.
    """
    reserved = reserved_connections(capacity, len(others_open) + 1)
    left = capacity - sum(max(reserved, open_) for open_ in others_open)
    return max(0, min(left, max(1, int(LISTENER_SHARE * capacity))))


class HeadState(Enum):
    """What has arrived of a request's head."""

    ARRIVING = "arriving"
    WHOLE = "whole"
    TOO_LONG = "head_too_long"
    EMPTY_LINES = "empty_lines"


class HeadBuffer:
    """The bytes of a connection up to the end of its first head.

    ``data`` never holds more than the limit and one read; what follows the
    end of the head is kept for the parser.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._empty_bytes = 0
        self.data = bytearray()

    def feed(self, received: bytes) -> HeadState:
        """Add bytes and return what there is of the head."""
        if not self.data:
            request = received.lstrip(b"\r\n")
            self._empty_bytes += len(received) - len(request)
            if self._empty_bytes > MAX_EMPTY_BYTES:
                return HeadState.EMPTY_LINES
            received = request
        # The end of a head may be split over two reads.
        searched = max(0, len(self.data) - 2)
        self.data += received
        end = _HEAD_END.search(self.data, searched)
        head_bytes = len(self.data) if end is None else end.end()
        if head_bytes > self._max_bytes:
            return HeadState.TOO_LONG
        return HeadState.ARRIVING if end is None else HeadState.WHOLE
