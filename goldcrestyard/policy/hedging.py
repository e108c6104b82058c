"""Delay after which a call is hedged.

A hedged call is sent to a second target while the first one still works on it.
"""

HEDGE_DELAY_SHARE = 0.4
"""Share of the latency objective after which an unanswered call is hedged."""

MIN_HEDGE_DELAY_SECONDS = 0.08
"""Minimum delay before a hedge.  Most calls are answered earlier, so that few
are sent twice."""

UNKNOWN_OBJECTIVE_SECONDS = 1.0
"""Latency objective that is assumed for a service without one."""


def hedge_after(objective_seconds: float | None) -> float:
    """Return the delay in seconds after which an unanswered call is hedged."""
    objective = objective_seconds or UNKNOWN_OBJECTIVE_SECONDS
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_SHARE * objective)
