"""When a call is sent to a second target while the first still works."""

HEDGE_SHARE = 0.4
"""Share of the objective after which a call that has no answer is hedged."""

SHORTEST_HEDGE_SECONDS = 0.08
"""Most calls are answered before this, so that few are sent twice."""

UNKNOWN_OBJECTIVE_SECONDS = 1.0


def hedge_after(objective_seconds: float | None) -> float:
    """Return the seconds without an answer after which a call is hedged."""
    objective = objective_seconds or UNKNOWN_OBJECTIVE_SECONDS
    return max(SHORTEST_HEDGE_SECONDS, HEDGE_SHARE * objective)
