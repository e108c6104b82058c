"""Log output that is limited in volume and never blocks the event loop.

A thread writes the lines from a bounded queue, and a rate limit per event
keeps a repeated fault from filling the log.
"""

import os
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import structlog

MAX_QUEUED_LINES = 2_000
"""Maximum number of lines that are queued for a slow reader: about 400 KB at
200 bytes a line."""

MAX_LINES_PER_SECOND = 40.0
MAX_BURST_LINES = 200.0
"""Maximum rate and burst of the lines of one event, so that a fault that makes
every request fail does not use up the processor with logging."""


class BoundedOutput:
    """A text output that a background thread writes to a file descriptor.

    While the queue is full, lines are dropped and counted in ``dropped``, so
    that a stalled reader cannot block the event loop.
    """

    def __init__(self, descriptor: int, capacity: int = MAX_QUEUED_LINES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._capacity = capacity
        self._lines: deque[bytes] = deque()
        self._lines_available = threading.Semaphore(0)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= self._capacity:
            self.dropped += 1
            return
        self._lines.append(text.encode())
        self._lines_available.release()

    def flush(self) -> None:
        """Do nothing, since the thread writes lines without buffering."""

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Write the queued lines, for at most ``timeout_seconds``."""
        self._stopping = True
        self._lines_available.release()
        self._thread.join(timeout_seconds)

    def _run(self) -> None:
        while True:
            self._lines_available.acquire()
            while self._lines:
                data = self._lines.popleft()
                try:
                    while data:
                        data = data[os.write(self._descriptor, data) :]
                except OSError:
                    # The reader has closed the pipe, so there is nowhere to
                    # log the error.
                    self.dropped += 1
            if self._stopping:
                return


class LineLimiter:
    """A structlog processor that limits the rate of each event's lines.

    It is a token bucket per event.  The next line that passes reports the
    number of suppressed lines under ``left_out``.
    """

    def __init__(
        self,
        lines_per_second: float = MAX_LINES_PER_SECOND,
        burst: float = MAX_BURST_LINES,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = lines_per_second
        self._burst = burst
        self._now = now
        self._allowance_by_event: dict[str, tuple[float, float]] = {}
        self._suppressed_by_event: dict[str, int] = {}

    def __call__(
        self, _: Any, __: str, fields: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Return the line's fields, or raise ``structlog.DropEvent``."""
        event = str(fields.get("event", ""))
        now = self._now()
        allowance, updated_at = self._allowance_by_event.get(event, (self._burst, now))
        allowance = min(self._burst, allowance + (now - updated_at) * self._rate)
        if allowance < 1.0:
            self._allowance_by_event[event] = (allowance, now)
            self._suppressed_by_event[event] = (
                self._suppressed_by_event.get(event, 0) + 1
            )
            raise structlog.DropEvent
        self._allowance_by_event[event] = (allowance - 1.0, now)
        left_out = self._suppressed_by_event.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        return fields
