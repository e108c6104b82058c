"""Exponential backoff with jitter."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """A delay that doubles with each failure, up to a maximum."""

    base_seconds: float
    longest_seconds: float

    def delay_seconds(
        self, failures: int, jitter: float, *, within_budget: bool = True
    ) -> float:
        """Return the delay after a number of failures.

        ``jitter`` is a random number from 0 to 1; 0 halves the delay.  Beyond
        the retry budget, the delay is the longest one with jitter.
        """
        ceiling = self.longest_seconds
        if within_budget:
            # A larger exponent would overflow the float.
            ceiling = min(ceiling, self.base_seconds * 2.0 ** min(failures, 64))
        return ceiling * (0.5 + 0.5 * jitter)
