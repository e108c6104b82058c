"""How fast engines generate, from the events of their streams."""

from dataclasses import dataclass
from statistics import median

from goldcrestyard.core.ids import TargetId

PACE_WEIGHT = 0.1
"""Weight of the latest event in an engine's pace."""

REMEMBERED_SECONDS = 8.0
"""After this long without an event an engine's pace counts as unknown, so
that one which was slow for a while gets work again."""

SLOW_FACTOR = 1.8
"""An engine that is this much slower than the middle of all loses its items:
reading them in at another engine takes a few milliseconds."""

SLOW_GAPS_BEFORE_MOVING = 4
MOST_MOVES = 2


@dataclass(slots=True)
class _Pace:
    seconds: float
    noted_at: float


class EnginePaces:
    """Mean seconds between two events, by engine."""

    def __init__(self) -> None:
        self._paces_by_target: dict[TargetId, _Pace] = {}

    def note(self, target: TargetId, seconds: float, now: float) -> None:
        """Learn from the time between two events."""
        pace = self._paces_by_target.get(target)
        if pace is None or now - pace.noted_at > REMEMBERED_SECONDS:
            self._paces_by_target[target] = _Pace(seconds, now)
            return
        pace.seconds += PACE_WEIGHT * (seconds - pace.seconds)
        pace.noted_at = now

    def pace(self, target: TargetId, now: float) -> float:
        """Return an engine's pace; that of the others if it is not known."""
        known = self._known(now)
        return known.get(target, median(known.values()) if known else 0.0)

    def is_slow(self, seconds: float, now: float) -> bool:
        """Return whether a pace is far behind that of the engines."""
        known = self._known(now)
        return len(known) > 1 and seconds > SLOW_FACTOR * median(known.values())

    def _known(self, now: float) -> dict[TargetId, float]:
        return {
            target: pace.seconds
            for target, pace in self._paces_by_target.items()
            if now - pace.noted_at <= REMEMBERED_SECONDS
        }
