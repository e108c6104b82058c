"""When an unanswered call is sent to a second target, and how often.

Pattern: a few slow answers among many quick ones, and targets that are frozen
or cut off.  A hedge is a second copy while the first target still works; a
budget bounds the work for nobody.  Silence far beyond the usual time counts
as a failure, after which the next attempt is a retry and needs no budget.
"""

import bisect
import math
from dataclasses import dataclass, field
from enum import Enum

HEDGE_DELAY_SHARE = 0.4
"""Share of the latency objective after which an unanswered call is hedged
until enough answers are known, and before which no target counts as silent."""

MIN_HEDGE_DELAY_SECONDS = 0.08
"""Minimum delay before a hedge.  Most calls are answered earlier, so that few
are sent twice."""

UNKNOWN_OBJECTIVE_SECONDS = 1.0
"""Latency objective that is assumed for a service without one."""

HEDGE_QUANTILE = 0.95
"""Quantile of the measured latencies after which a call is hedged, so that in
steady state a twentieth of the calls are (Dean and Barroso 2013)."""

MIN_KNOWN_ANSWERS = 20
"""Number of answers from which the quantile is used: with fewer, no answer
lies above it."""

GENERATION_SECONDS = 10.0
"""Time in seconds for which a generation of the latencies is collected.  The
latest two are used."""

SILENCE_FACTOR = 2.0
"""Multiple of the quantile after which a target without an answer counts as
silent."""

UNKNOWN_SILENCE_FACTOR = 2.0
"""Multiple of the first delay after which a target counts as silent while no
latency is known.  With a factor of 1, every slow call of a process that has
just started would be a retry outside of the budget."""

MAX_HEDGE_TOKENS = 3.0
"""Largest number of hedges that a route may send at once."""

BUCKET_RATIO = 1.1
SHORTEST_BUCKET_SECONDS = 0.001
LONGEST_BUCKET_SECONDS = 120.0
_BOUNDS = tuple(
    SHORTEST_BUCKET_SECONDS * BUCKET_RATIO**number
    for number in range(
        1
        + math.ceil(
            math.log(LONGEST_BUCKET_SECONDS / SHORTEST_BUCKET_SECONDS, BUCKET_RATIO)
        )
    )
)
"""Bounds in seconds of the histogram's buckets.  A quantile is at most a tenth
too high."""


class HedgeWithheld(Enum):
    """Why a hedge that was due has not been sent."""

    BUDGET = "budget"
    OFF = "off"
    NO_ROOM = "no_room"


class SecondAttempt(Enum):
    """What an unanswered call may do."""

    WAIT = "wait"
    HEDGE = "hedge"
    RETRY = "retry"


def initial_delay_seconds(objective_seconds: float | None) -> float:
    """Return the delay in seconds before a hedge while no latency is known."""
    objective = objective_seconds or UNKNOWN_OBJECTIVE_SECONDS
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_SHARE * objective)


@dataclass(slots=True)
class HedgeBudget:
    """Token bucket that each request fills by a share of a hedge.

    In any window, hedges are at most ``share`` of the requests and
    ``MAX_HEDGE_TOKENS`` more.
    """

    share: float
    tokens: float = MAX_HEDGE_TOKENS

    def note_request(self) -> None:
        """Add a request's share of a hedge."""
        self.tokens = min(MAX_HEDGE_TOKENS, self.tokens + self.share)

    def take(self) -> HedgeWithheld | None:
        """Take a hedge from the budget, or return why there is none."""
        if self.share <= 0:
            return HedgeWithheld.OFF
        if self.tokens < 1:
            return HedgeWithheld.BUDGET
        self.tokens -= 1
        return None


@dataclass(slots=True)
class LatencyHistogram:
    """Latencies of the last 10 to 20 seconds, in buckets of a tenth."""

    began: float = float("-inf")
    """Monotonic time at which the present generation began."""
    counts: list[int] = field(default_factory=lambda: [0] * (len(_BOUNDS) + 1))
    earlier_counts: list[int] = field(default_factory=lambda: [0] * (len(_BOUNDS) + 1))

    def record(self, seconds: float, now: float) -> None:
        """Record a latency in seconds."""
        self._age(now)
        self.counts[bisect.bisect_left(_BOUNDS, seconds)] += 1

    def quantile(self, share: float, now: float) -> float | None:
        """Return a quantile in seconds; None if too few answers are known."""
        self._age(now)
        total = sum(self.counts) + sum(self.earlier_counts)
        if total < MIN_KNOWN_ANSWERS:
            return None
        wanted = math.ceil(share * total)
        pairs = zip(self.counts, self.earlier_counts, strict=True)
        for bound, (count, earlier) in zip(_BOUNDS, pairs, strict=False):
            wanted -= count + earlier
            if wanted <= 0:
                return bound
        return _BOUNDS[-1]

    def _age(self, now: float) -> None:
        age = now - self.began
        if age < GENERATION_SECONDS:
            return
        empty = [0] * len(self.counts)
        self.earlier_counts = self.counts if age < 2 * GENERATION_SECONDS else empty
        self.counts = [0] * len(self.counts)
        self.began = now


@dataclass(frozen=True, slots=True)
class HedgePace:
    """Delays in seconds of a call's second attempts."""

    hedge_seconds: float
    """Time without an answer after which the call may be hedged."""
    silence_seconds: float
    """Time without an answer after which its target counts as silent."""


def hedge_pace(objective_seconds: float | None, quantile: float | None) -> HedgePace:
    """Return the delays for a route with a measured latency quantile.

    A service that is slower than its objective is hedged later, since most of
    the hedges would find it busy.
    """
    initial = initial_delay_seconds(objective_seconds)
    if quantile is None:
        return HedgePace(initial, UNKNOWN_SILENCE_FACTOR * initial)
    return HedgePace(
        max(MIN_HEDGE_DELAY_SECONDS, quantile),
        max(initial, SILENCE_FACTOR * quantile),
    )


TIMER_SECONDS = 0.001
"""Time in seconds by which a timer may end early."""


def second_attempt(
    pace: HedgePace, waited_seconds: float, *, target_answers: bool, hedged: bool
) -> SecondAttempt:
    """Return what a call may do after a time without an answer.

    ``target_answers`` tells whether the target has answered another call
    since.  Then only a connection can be silent, and the target counts as
    silent after twice the time.
    """
    waited = waited_seconds + TIMER_SECONDS
    if waited >= pace.silence_seconds * (2 if target_answers else 1):
        return SecondAttempt.RETRY
    if not hedged and waited >= pace.hedge_seconds:
        return SecondAttempt.HEDGE
    return SecondAttempt.WAIT


def seconds_to_next_check(pace: HedgePace, waited_seconds: float) -> float:
    """Return the time in seconds until a second attempt may be due."""
    waited = waited_seconds + TIMER_SECONDS
    if waited < min(pace.hedge_seconds, pace.silence_seconds):
        return min(pace.hedge_seconds, pace.silence_seconds) - waited_seconds
    periods = math.floor(waited / pace.silence_seconds) + 1
    return periods * pace.silence_seconds - waited_seconds
