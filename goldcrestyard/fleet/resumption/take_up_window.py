"""The span of the log in which a stream that is taken up may have begun."""

import math
from collections import deque
from dataclasses import dataclass

from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.stream_origins import TAKE_UP_SECONDS

SAMPLE_SECONDS = 2.0
"""Shortest time in seconds between two samples of the log's time."""


@dataclass(frozen=True, slots=True)
class _LogTime:
    seen_at: float
    """Monotonic time in seconds."""
    time: float
    """The log's time, Unix time in seconds."""
    commands_seen: int


class TakeUpWindow:
    """Samples the log's time, to tell what it was ``TAKE_UP_SECONDS`` ago.

    The log's time jumps when a leader whose clock is ahead takes over, and
    stands still after it.  What the log's time was that long ago by the steady
    clock holds all the same.  A process that has not run so long relies on the
    leader's clock.
    """

    def __init__(self, targets: TargetsSlice, clock: Clock) -> None:
        self._targets = targets
        self._clock = clock
        self._seen: deque[_LogTime] = deque()

    def since(self) -> float:
        """Return a log time that was ``TAKE_UP_SECONDS`` ago or earlier.

        Takes a sample as well, so call it at intervals of ``SAMPLE_SECONDS``.
        """
        now = self._clock.monotonic()
        latest = _LogTime(now, self._targets.latest_time, self._targets.commands_seen)
        seen = self._seen
        if latest.time == 0.0:
            # Nothing but a snapshot is known: all recorded departures count.
            return 0.0
        if not seen or now - seen[-1].seen_at >= SAMPLE_SECONDS:
            seen.append(latest)
        while len(seen) > 1 and now - seen[1].seen_at >= TAKE_UP_SECONDS:
            seen.popleft()
        before = seen[0]
        if now - before.seen_at < TAKE_UP_SECONDS:
            return before.time + now - before.seen_at - TAKE_UP_SECONDS
        if before.commands_seen == latest.commands_seen:
            return math.nextafter(before.time, math.inf)
        return before.time
