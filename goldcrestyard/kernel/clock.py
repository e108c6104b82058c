"""The clock.  All durations are measured on the event loop's clock."""

import asyncio
import time
from collections.abc import Callable


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the machine is suspended.

    The usual monotonic clock stands still during a suspension, so a lease
    judged on it would outlive the moment at which a successor may act.
    """

    def time(self) -> float:
        """Return the seconds since boot, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Reads the event loop's monotonic time and the wall time.

    Tests run on a loop whose time they pause and advance, and pass a wall
    time that follows it.
    """

    def __init__(self, wall_time: Callable[[], float] = time.time) -> None:
        self._wall_time = wall_time

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch; for records only."""
        return self._wall_time()
