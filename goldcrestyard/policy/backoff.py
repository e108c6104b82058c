"""The delay before a retry: exponential, bounded and with jitter."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """Doubles a delay with each failure, up to a longest one."""

    base_seconds: float
    longest_seconds: float

    def delay_seconds(
        self, failures: int, jitter: float, *, within_budget: bool = True
    ) -> float:
        """Return how long to wait after a number of failures.

        ``jitter`` is a random number from 0 to 1; it takes away up to half of
        the delay.  A retry beyond the budget waits for the longest delay.
        """
        ceiling = self.longest_seconds
        if within_budget:
            # The exponent is bounded, since a float cannot hold any power.
            ceiling = min(ceiling, self.base_seconds * 2.0 ** min(failures, 64))
        return ceiling * (0.5 + 0.5 * jitter)
