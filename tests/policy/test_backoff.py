"""Tests of the delay before a retry.

They guard against simultaneous retries and against delays without a limit.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.policy.backoff import Backoff


class BackoffTests(unittest.TestCase):
    """Delays by the number of failures, the jitter and the retry budget."""

    @parameterized.expand(
        [
            ("first", 0, 1.0, True, 0.1),
            ("doubled", 3, 1.0, True, 0.8),
            ("half_by_jitter", 3, 0.0, True, 0.4),
            ("bounded", 9, 1.0, True, 2.0),
            ("bounded_after_many", 10_000, 1.0, True, 2.0),
            ("beyond_the_budget", 0, 1.0, False, 2.0),
        ]
    )
    def test_delay(
        self,
        _: str,
        failures: int,
        jitter: float,
        within_budget: bool,
        expected: float,
    ) -> None:
        backoff = Backoff(0.1, 2.0)
        delay = backoff.delay_seconds(failures, jitter, within_budget=within_budget)
        self.assertAlmostEqual(delay, expected)
