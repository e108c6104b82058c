"""Clocks: the event loop's time for durations, wall time for records."""

import asyncio
import time
from collections.abc import Callable


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock includes time that the machine is suspended.

    The usual monotonic clock does not advance during a suspension.  A lease
    holder that relied on it would treat its lease as valid after the other
    members regard it as expired, and would act at the same time as its
    successor.
    """

    def time(self) -> float:
        """Return the seconds since boot, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Reads the event loop's monotonic time and the wall time.

    Tests run on a loop whose time they control, and pass a function that
    derives the wall time from it.
    """

    def __init__(self, wall_time: Callable[[], float] = time.time) -> None:
        self._wall_time = wall_time

    def monotonic(self) -> float:
        """Return the event loop's time in seconds; its origin is arbitrary."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch; it may jump."""
        return self._wall_time()
