"""Permits for requests to targets that accept a limited rate from all senders.

One process issues the permits of all targets, so that the sum over the
senders stays within the rate.  A permit may lie a short time ahead, and its
sender waits until then.  The algorithm is the virtual scheduling form of the
generic cell rate algorithm (ITU-T I.371).

Pattern: a target in need, short requests of many senders that each send few,
and bursts from one sender.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import RequestRate, TargetId

BURST_SECONDS = 1.0
"""Requests of this time may be sent at once after a pause."""

MIN_RATE = RequestRate(0.25)
"""Lowest rate of permits per second.  Only an answer shows that a limit has
changed, so even a target that accepts nothing gets a request now and then."""

MAX_WAIT_SECONDS = 0.1
"""Longest time in seconds for which a permit lies ahead.  It is a part of the
latency objective of short calls, and the same for all senders, so that none
reserves the permits that others would get."""

ROUNDING_SECONDS = 1e-9
"""Difference of two times in seconds that may come from rounding."""

KEPT_SECONDS = 60.0
"""Time in seconds for which the schedule of an unused target is kept."""

PERMIT_SECONDS = 0.5
"""Time in seconds for which a permit may be used once it is due."""


@dataclass(frozen=True, slots=True)
class Pacing:
    """How the permits of one target are issued."""

    rate: RequestRate
    burst_seconds: float
    """Requests of this time may be sent at once after a pause."""
    start_seconds: float
    """Time from the first question about a run until a permit is due."""


def limit_pacing(rate: RequestRate) -> Pacing:
    """Return the pacing for a target that names a request limit."""
    return Pacing(RequestRate(max(MIN_RATE, rate)), BURST_SECONDS, 0.0)


@dataclass(frozen=True, slots=True)
class Permitted:
    """One request may be sent to the target after a delay."""

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class NotPermitted:
    """No permit is due soon; the sender may ask again after a delay."""

    retry_after_seconds: float


PermitDecision = Permitted | NotPermitted


@dataclass(slots=True)
class _Schedule:
    incarnation: str
    next_at: float
    """Time at which the next permit is due without a burst, in seconds."""


class PermitSchedules:
    """The permits that one process issues, by target.

    A new process knows nothing of the permits that its predecessor issued, so
    that a target's schedule starts without the permits of a burst.
    """

    def __init__(self) -> None:
        self._schedules_by_target: dict[TargetId, _Schedule] = {}

    def take(
        self, target: TargetId, incarnation: str, pacing: Pacing, now: float
    ) -> PermitDecision:
        """Issue a permit for one request if one is due soon."""
        delay = self._delay_seconds(target, incarnation, pacing, now)
        if delay > MAX_WAIT_SECONDS + ROUNDING_SECONDS:
            return NotPermitted(delay - MAX_WAIT_SECONDS)
        schedule = self._schedules_by_target[target]
        schedule.next_at = max(schedule.next_at, now) + 1.0 / pacing.rate
        return Permitted(delay)

    def available(
        self, target: TargetId, incarnation: str, pacing: Pacing, now: float
    ) -> int:
        """Return the number of permits that could be taken at once."""
        delay = self._delay_seconds(target, incarnation, pacing, now)
        if delay > MAX_WAIT_SECONDS + ROUNDING_SECONDS:
            return 0
        ahead = max(self._schedules_by_target[target].next_at - now, 0.0)
        left = pacing.burst_seconds + MAX_WAIT_SECONDS - ahead
        return 1 + int(left * pacing.rate)

    def _delay_seconds(
        self, target: TargetId, incarnation: str, pacing: Pacing, now: float
    ) -> float:
        schedule = self._schedules_by_target.get(target)
        if schedule is None or schedule.incarnation != incarnation:
            self._discard_unused(now)
            first_at = now + pacing.start_seconds
            schedule = _Schedule(incarnation, first_at + pacing.burst_seconds)
            self._schedules_by_target[target] = schedule
        return max(0.0, schedule.next_at - pacing.burst_seconds - now)

    def _discard_unused(self, now: float) -> None:
        """Forget targets that got no permit for long; they may be gone."""
        self._schedules_by_target = {
            target: schedule
            for target, schedule in self._schedules_by_target.items()
            if schedule.next_at > now - KEPT_SECONDS
        }


def is_usable(
    due_at: float, now: float, permit_seconds: float = PERMIT_SECONDS
) -> bool:
    """Return whether a permit is still valid; all times in seconds."""
    return now <= due_at + permit_seconds
