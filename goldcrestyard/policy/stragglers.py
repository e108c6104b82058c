"""Hedging of slow samples near the end of a training step.

A step is complete only with its last sample, so one slow engine can delay a
whole trainer.  A hedge continues a sample on another engine while the first
engine goes on; the result that is complete first is used.
"""

import math
import statistics
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.core.ids import SampleId

HEDGING_START_SHARE = 0.8
"""Share of a step's samples that must be complete before hedges start.
Earlier, the engines are needed for samples that have not begun."""

MAX_HEDGED_SHARE = 0.05
"""Maximum number of hedges of a step, as a share of its samples.  The shorter
of two continuations tends to be complete first, so frequent hedges would bias
the lengths of samples."""

SLOW_FACTOR = 2.0
"""Multiple of the median time per token from which a stream counts as slow."""

MIN_STREAM_SECONDS = 1.0
"""Minimum age in seconds of a stream that counts as slow."""

MIN_OBSERVED_STREAMS = 4
"""Minimum number of completed streams from which a median is computed."""

MAX_OBSERVED_STREAMS = 64
"""Number of the latest completed streams over which the median is taken."""

MIN_HELPER_WAIT_SECONDS = 10.0
"""Minimum time in seconds to wait for helpers.  A helper that has failed is
detected within this time by the loss of its connection."""


@dataclass(frozen=True, slots=True)
class RunningSample:
    """Age and tokens of a sample's current stream."""

    id: SampleId
    stream_seconds: float
    stream_tokens: int


class StreamPace:
    """Median time per token of a step's completed streams."""

    def __init__(self) -> None:
        self._seconds_per_token: deque[float] = deque(maxlen=MAX_OBSERVED_STREAMS)

    def observe(self, seconds: float, tokens: int) -> None:
        """Record a completed stream."""
        if tokens > 0:
            self._seconds_per_token.append(seconds / tokens)

    @property
    def typical(self) -> float | None:
        """Median seconds per token, or None after too few streams."""
        if len(self._seconds_per_token) < MIN_OBSERVED_STREAMS:
            return None
        return statistics.median(self._seconds_per_token)


def choose_hedges(
    running: Sequence[RunningSample],
    pace: StreamPace,
    *,
    done: int,
    total: int,
    hedged: int,
) -> list[SampleId]:
    """Return the samples to hedge now, slowest first.

    ``running`` are the samples with a single stream, ``hedged`` is the number
    of hedges so far.  Of ``total`` samples of the step, ``done`` are complete.
    """
    typical = pace.typical
    if typical is None or done < total * HEDGING_START_SHARE:
        return []
    budget = math.ceil(total * MAX_HEDGED_SHARE) - hedged
    if budget <= 0:
        return []
    sample_paces = [
        (sample.stream_seconds / max(1, sample.stream_tokens), sample.id)
        for sample in running
        if sample.stream_seconds >= MIN_STREAM_SECONDS
    ]
    slow = [entry for entry in sample_paces if entry[0] >= SLOW_FACTOR * typical]
    slow.sort(reverse=True)
    return [sample_id for _, sample_id in slow[:budget]]


def helpers_are_late(busy_seconds: float, idle_seconds: float) -> bool:
    """Return whether an entry takes over the work of its step's helpers.

    ``busy_seconds`` is the time that the entry needed for its own share of the
    samples, and ``idle_seconds`` the time since then.  The shares differ in
    size, so the entry waits for half of ``busy_seconds`` before it generates
    the helpers' samples a second time.
    """
    return idle_seconds >= max(MIN_HELPER_WAIT_SECONDS, busy_seconds / 2)
