"""Requests that arrive while a process stops as planned.

A stopping process serves its open connections nearly until its end, since
some callers go on using them.  It takes only requests that can end before it
does: a cut would leave their callers without an answer.

Pattern: a short time to stop, calls of fractions of a second, and some
requests whose time limit is as long as the rest of the stop.
"""

OBJECTIVES_NEEDED = 2.0
"""Time that a repeatable call needs, in multiples of its objective."""

UNKNOWN_OBJECTIVE_SECONDS = 0.5
"""Assumed latency objective in seconds of a route that states none."""


def can_end_in_time(
    seconds_until_end: float,
    time_limit_seconds: float,
    objective_seconds: float | None,
    *,
    repeatable_call: bool,
) -> bool:
    """Return whether a stopping process may still take a request.

    A call that may be repeated needs the time that it usually takes: if it
    takes longer, its caller may send it again.  Others are taken only with
    time enough for their whole time limit.
    """
    needed = time_limit_seconds
    if repeatable_call:
        objective = objective_seconds or UNKNOWN_OBJECTIVE_SECONDS
        needed = min(needed, OBJECTIVES_NEEDED * objective)
    return seconds_until_end >= needed
