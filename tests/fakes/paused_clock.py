"""An event loop with simulated time.

The clock stands still while tasks run; when every task waits for a timer, it
jumps to the earliest one.  Timers take no real time, and the order of events
does not depend on the machine's speed.
"""

import asyncio
import selectors
import unittest
from collections.abc import Mapping
from typing import Any

from goldcrestyard.kernel.clock import Clock

EPOCH = 1_700_000_000.0
"""The wall time, in Unix seconds, at simulated time 0."""


class _AdvancingSelector(selectors.BaseSelector):
    """Advances the simulated time instead of blocking until a time-out."""

    def __init__(self) -> None:
        self._real = selectors.DefaultSelector()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            return self._real.select(None)
        ready = self._real.select(0)
        if not ready:
            self.now += max(0.0, timeout)
        return ready

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> Any:
        return self._real.unregister(fileobj)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._real.modify(fileobj, events, data)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()


class PausedClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only while all tasks wait."""

    def __init__(self) -> None:
        self._advancing = _AdvancingSelector()
        super().__init__(self._advancing)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._advancing.now


class PausedClockTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs asynchronous tests on a paused clock."""

    def _setupAsyncioRunner(self) -> None:  # noqa: N802 - name of unittest
        # Python 3.11 has no public way to choose the event loop of a test
        # case.
        self._asyncioRunner = asyncio.Runner(debug=True, loop_factory=PausedClockLoop)

    @staticmethod
    def clock() -> Clock:
        """Return a clock whose wall time follows the simulated time."""
        return Clock(lambda: EPOCH + asyncio.get_running_loop().time())
