"""Generation speed of engines, from the time between events of their streams.

The pace of an engine is its mean time between two events, in seconds.  Items
on an engine that is much slower than the others move to another engine.
"""

from dataclasses import dataclass
from statistics import median

from goldcrestyard.core.ids import TargetId

PACE_WEIGHT = 0.1
"""Weight of the latest interval in the moving average of an engine's pace."""

SLOW_PACE_EXPIRY_SECONDS = 8.0
"""Time without events after which the pace of a slow engine counts as unknown,
so that an engine that was slow for a while gets work again."""

PACE_EXPIRY_SECONDS = 60.0
"""Time without events after which any other pace counts as unknown.  Engines
differ in speed for as long as they run."""

SLOW_FACTOR = 1.8
"""Multiple of the median pace from which an engine counts as slow.  Its items
move, since another engine needs only a few milliseconds to prefill them."""

SLOW_GAPS_BEFORE_MOVING = 4
"""Consecutive slow intervals after which an item moves."""

MAX_MOVES_PER_ITEM = 2
"""Maximum number of times that an item moves to another engine."""


@dataclass(slots=True)
class _Pace:
    seconds: float
    updated_at: float


class EnginePaces:
    """Moving averages of the time between events, by engine."""

    def __init__(self) -> None:
        self._paces_by_target: dict[TargetId, _Pace] = {}

    def observe(self, target: TargetId, seconds: float, now: float) -> None:
        """Record the time between two events of an engine's stream."""
        pace = self._paces_by_target.get(target)
        if pace is None or now - pace.updated_at > SLOW_PACE_EXPIRY_SECONDS:
            self._paces_by_target[target] = _Pace(seconds, now)
            return
        pace.seconds += PACE_WEIGHT * (seconds - pace.seconds)
        pace.updated_at = now

    def pace(self, target: TargetId, now: float) -> float:
        """Return an engine's pace in seconds.

        If the engine's pace is unknown, returns the median of the known paces,
        or 0 if none is known.
        """
        paces = self._unexpired_paces(now)
        return paces.get(target, median(paces.values()) if paces else 0.0)

    def is_slow(self, seconds: float, now: float) -> bool:
        """Return whether a pace is much slower than the engines' median."""
        paces = self._unexpired_paces(now)
        return len(paces) > 1 and seconds > SLOW_FACTOR * median(paces.values())

    def _unexpired_paces(self, now: float) -> dict[TargetId, float]:
        """Return the paces in seconds, without those that have expired."""
        recent = {
            target: pace
            for target, pace in self._paces_by_target.items()
            if now - pace.updated_at <= PACE_EXPIRY_SECONDS
        }
        if not recent:
            return {}
        slow = SLOW_FACTOR * median(pace.seconds for pace in recent.values())
        return {
            target: pace.seconds
            for target, pace in recent.items()
            if pace.seconds <= slow or now - pace.updated_at <= SLOW_PACE_EXPIRY_SECONDS
        }
