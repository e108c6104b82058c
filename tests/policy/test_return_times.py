"""Tests of the order in which refused callers return."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from goldcrestyard.policy.call_routing import CallStatistics
from goldcrestyard.policy.return_times import (
    MAX_FULL_SECONDS,
    MIN_FULL_SECONDS,
    USUAL_RETURN_SECONDS,
    full_seconds,
    return_seconds,
)
from tests.fakes.targets import target


class ReturnTests(unittest.TestCase):
    """Guards against urgent callers that return behind others."""

    @parameterized.expand(
        [
            ("urgent", 0.02, 0, 0.0, 0.3),
            ("least_urgent", 0.02, 9, 0.0, 0.5),
            ("beyond_the_least_urgent", 0.02, 99, 0.0, 0.5),
            ("has_waited", 0.02, 0, 0.9, 0.21),
            ("out_of_time", 0.02, 0, 2.0, 0.2),
            ("long_wait_expected", 0.6, 0, 0.0, 0.6),
        ]
    )
    def test_time(
        self, _: str, wait: float, priority: int, waited: float, expected: float
    ) -> None:
        self.assertAlmostEqual(return_seconds(wait, priority, waited), expected)

    @given(st.integers(0, 9), st.integers(0, 9), st.floats(0, 1), st.floats(0, 5))
    def test_urgent_callers_return_first(
        self, one: int, other: int, waited: float, wait: float
    ) -> None:
        first, last = sorted((one, other))
        sooner = return_seconds(wait, first, waited)
        later = return_seconds(wait, last, waited)
        self.assertLessEqual(sooner, later)
        self.assertLessEqual(return_seconds(wait, first, 1.0), sooner)
        self.assertGreaterEqual(sooner, USUAL_RETURN_SECONDS * 0.66)

    @parameterized.expand(
        [
            ("unknown", None, 6, MIN_FULL_SECONDS),
            ("usual", 0.3, 6, 0.05),
            ("quick", 0.001, 6, MIN_FULL_SECONDS),
            ("slow", 9.0, 6, MAX_FULL_SECONDS),
            ("one_slot", 0.2, 1, 0.2),
            ("no_slot_named", 0.2, 0, 0.2),
        ]
    )
    def test_full(
        self, _: str, mean: float | None, slots: int, expected: float
    ) -> None:
        to = replace(target("t"), max_concurrency=slots)
        statistics = CallStatistics("1000", mean_seconds=mean)
        self.assertAlmostEqual(full_seconds(to, statistics), expected)
