"""Decisions on cold targets: who is cold, and how permits are issued.

A target that has just started, or whose data centre returns, is slow for some
seconds and exits under load.

Pattern: after a restart or the end of an evacuation, all processes find an
idle target at once and send to it what the others cannot take.
"""

import math
from dataclasses import dataclass

from goldcrestyard.core.ids import RequestRate
from goldcrestyard.policy.request_limits import MAX_WAIT_SECONDS, Pacing

COLD_PERMIT_SECONDS = 0.25
"""Time in seconds for which a permit for a cold target may be used once it is
due, several round trips between regions.  It is shorter than for request
limits, which allow any excess over some seconds."""

TRANSIT_SECONDS = 0.2
"""Longest time in seconds from the use of a permit until the target has the
request.  A connection and a request take 0.04 s between regions."""

MAX_BURST_SECONDS = 0.25
"""Permits of this time may be used at once after a pause, where the bound
allows it.  Without a burst, permits are lost between two requests."""

MIN_COLD_RATE = 0.25
"""Lowest rate of permits a second, as for request limits."""


@dataclass(frozen=True, slots=True)
class ColdBound:
    """Requests that a cold target may get in any one second.

    The number is ``overage`` times the rate of the service, and ``slack``.
    """

    overage: float
    slack: float


def cold_pacing(rate: RequestRate, bound: ColdBound) -> Pacing:
    """Return the pacing of the permits for a cold target.

    ``rate`` is the requests a second that a cold target of its service takes.
    Within a second arrive requests whose permits were due within ``span``; a
    schedule issues at most 1 + rate x (span + burst) of them.
    """
    span = 1.0 + COLD_PERMIT_SECONDS + TRANSIT_SECONDS
    most = rate * bound.overage + bound.slack - 1.0
    burst = min(MAX_BURST_SECONDS, max(0.0, most / rate - span))
    paced = max(MIN_COLD_RATE, min(rate, most / (span + burst)))
    # A permit of the previous issuer may lie ahead, with its burst used up.
    start = MAX_WAIT_SECONDS + burst + 1.0 / paced
    return Pacing(RequestRate(paced), burst, start)


def cold_seconds_left(
    cold_seconds: float,
    since_start: float | None,
    since_evacuation: float | None,
    told: float,
) -> float:
    """Return for how long a target is still cold; 0 if it is not.

    ``cold_seconds`` is the time that a target of its service is cold after
    its start.  ``since_start`` and ``since_evacuation`` are the seconds since
    its announcement and since the end of an evacuation of its data centre,
    None if they are not known.  ``told`` is the time that the target or
    another process has named, less what has passed since.  All in seconds.
    """
    left = told if math.isfinite(told) else 0.0
    for since in (since_start, since_evacuation):
        if since is not None:
            left = max(left, cold_seconds - max(0.0, since))
    return max(0.0, left)
