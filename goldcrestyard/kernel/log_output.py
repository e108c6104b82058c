"""Log output that is bounded in volume and never blocks its caller."""

import os
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import structlog

QUEUED_LINES = 2_000
"""Lines that wait for a slow reader; at 200 bytes a line about 400 KB."""

LINES_A_SECOND = 40.0
BURST_LINES = 200.0
"""Bounds on the lines of one event: a fault that fails every request must not
spend the processor on describing each of them."""


class BoundedOutput:
    """A text output whose lines a thread writes.

    Lines are dropped and counted while the queue is full, since a reader
    that stands still must not stop the event loop.
    """

    def __init__(self, descriptor: int, capacity: int = QUEUED_LINES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._capacity = capacity
        self._lines: deque[bytes] = deque()
        self._filled = threading.Semaphore(0)
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a line."""
        if len(self._lines) >= self._capacity:
            self.dropped += 1
            return
        self._lines.append(text.encode())
        self._filled.release()

    def flush(self) -> None:
        """Do nothing: the thread writes each line as it comes."""

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Write what is queued, for a bounded time."""
        self._closing = True
        self._filled.release()
        self._thread.join(timeout_seconds)

    def _run(self) -> None:
        while True:
            self._filled.acquire()
            while self._lines:
                data = self._lines.popleft()
                try:
                    while data:
                        data = data[os.write(self._descriptor, data) :]
                except OSError:
                    # Nobody reads the logs; there is no place to say so.
                    self.dropped += 1
            if self._closing:
                return


class LineLimiter:
    """A structlog processor that bounds the lines of each event.

    The next line of an event that was limited says how many were left out.
    """

    def __init__(
        self,
        lines_a_second: float = LINES_A_SECOND,
        burst: float = BURST_LINES,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = lines_a_second
        self._burst = burst
        self._now = now
        self._allowance_by_event: dict[str, tuple[float, float]] = {}
        self._left_out_by_event: dict[str, int] = {}

    def __call__(
        self, _: Any, __: str, fields: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Pass a line on, or raise ``structlog.DropEvent``."""
        event = str(fields.get("event", ""))
        now = self._now()
        allowance, updated_at = self._allowance_by_event.get(event, (self._burst, now))
        allowance = min(self._burst, allowance + (now - updated_at) * self._rate)
        if allowance < 1.0:
            self._allowance_by_event[event] = (allowance, now)
            self._left_out_by_event[event] = self._left_out_by_event.get(event, 0) + 1
            raise structlog.DropEvent
        self._allowance_by_event[event] = (allowance - 1.0, now)
        left_out = self._left_out_by_event.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        return fields
