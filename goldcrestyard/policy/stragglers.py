"""Which samples of a step are hedged near its end.

A step is complete with its last sample, so one slow engine can hold up a
whole trainer.  A hedge continues a sample on another engine while the first
one goes on; whichever ends first wins.
"""

import math
import statistics
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.core.ids import SampleId

LATE_SHARE = 0.8
"""Hedges start when this share of the step is done; before that, engines have
samples to begin that need them more."""

HEDGED_SHARE = 0.05
"""Bound on the hedges of a step.  Racing two continuations prefers the shorter
one, so hedges must stay rare enough not to shift the lengths of samples."""

SLOW_FACTOR = 2.0
"""A stream is slow at this multiple of the learned time for each token."""

MIN_SECONDS = 1.0
MIN_OBSERVED = 4
REMEMBERED = 64

MIN_IDLE_SECONDS = 10.0
"""A helper that has died is noticed within this time by its connection."""


@dataclass(frozen=True, slots=True)
class RunningSample:
    """How far the current stream of a sample has come."""

    id: SampleId
    stream_seconds: float
    stream_tokens: int


class Pace:
    """The time that engines take for each token, learned from streams."""

    def __init__(self) -> None:
        self._seconds_per_token: deque[float] = deque(maxlen=REMEMBERED)

    def observe(self, seconds: float, tokens: int) -> None:
        """Take note of a stream that has ended."""
        if tokens > 0:
            self._seconds_per_token.append(seconds / tokens)

    @property
    def typical(self) -> float | None:
        """The median time for a token, or None if too little is known."""
        if len(self._seconds_per_token) < MIN_OBSERVED:
            return None
        return statistics.median(self._seconds_per_token)


def choose_hedges(
    running: Sequence[RunningSample],
    pace: Pace,
    *,
    done: int,
    total: int,
    hedged: int,
) -> list[SampleId]:
    """Return the samples to hedge now, slowest first.

    ``running`` are the samples with a single stream, ``hedged`` the hedges
    of this step so far.
    """
    typical = pace.typical
    if typical is None or done < total * LATE_SHARE:
        return []
    budget = math.ceil(total * HEDGED_SHARE) - hedged
    if budget <= 0:
        return []
    paced = [
        (sample.stream_seconds / max(1, sample.stream_tokens), sample.id)
        for sample in running
        if sample.stream_seconds >= MIN_SECONDS
    ]
    slow = [entry for entry in paced if entry[0] >= SLOW_FACTOR * typical]
    slow.sort(reverse=True)
    return [sample_id for _, sample_id in slow[:budget]]


def helpers_are_late(busy_seconds: float, idle_seconds: float) -> bool:
    """Return whether an entry that waits for helpers does their work itself.

    ``busy_seconds`` is how long its own share took.  Shares differ, so it
    waits for as long again by half before it generates samples twice.
    """
    return idle_seconds >= max(MIN_IDLE_SECONDS, busy_seconds / 2)
