"""When refused callers may return, and how long a full target is left alone.

Load: more calls than the targets have slots.  Without it each caller asks
each full target in turn, and all of them return at the same time.
"""

from goldcrestyard.core.records import Target
from goldcrestyard.policy.call_routing import INITIAL_MEAN_SECONDS, CallStatistics

USUAL_RETURN_SECONDS = 0.3
"""Time after which a caller returns whose route is the most urgent and which
has not waited yet.  Sooner, callers would use up their few retries while the
targets are still full."""

MIN_FULL_SECONDS, MAX_FULL_SECONDS = 0.01, 0.25
"""Bounds on the time in seconds for which a full target is not asked again.
The longest is below the time after which refused callers return."""

LEAST_URGENT_PRIORITY = 9
URGENCY_SPREAD = 2.0 / 3.0
"""Share of the return time that is added for the least urgent callers."""

WAITED_SPREAD = 1.0 / 3.0
"""Share of the return time that is taken off for callers whose time has almost
passed."""


def full_seconds(target: Target, statistics: CallStatistics) -> float:
    """Return the expected time in seconds until a full target has a free slot.

    With all slots at work, one of them ends after the mean response time
    divided by their number.
    """
    mean = statistics.mean_seconds or INITIAL_MEAN_SECONDS
    expected = mean / max(1, target.max_concurrency)
    return min(MAX_FULL_SECONDS, max(MIN_FULL_SECONDS, expected))


def return_seconds(
    expected_wait_seconds: float, priority: int, waited_share: float
) -> float:
    """Return the time in seconds after which a refused caller may return.

    ``priority`` is 0 for the most urgent callers.  ``waited_share`` is the
    share of the route's time that the caller has already used.
    """
    urgency = min(max(priority, 0), LEAST_URGENT_PRIORITY) / LEAST_URGENT_PRIORITY
    waited = min(max(waited_share, 0.0), 1.0)
    factor = 1 + URGENCY_SPREAD * urgency - WAITED_SPREAD * waited
    return round(max(USUAL_RETURN_SECONDS, expected_wait_seconds) * factor, 3)
