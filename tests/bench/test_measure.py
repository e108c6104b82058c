"""Tests of the statistics over runs of a measurement.

They guard against a wrong slope or spread on the capacity page, which is
calculated from these runs.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from bench.measure import Spread, allocated_bytes, slope


@dataclass(frozen=True)
class Case:
    """Runs by size, with the slope and intercept of their medians."""

    name: str
    runs_by_size: dict[int, tuple[float, ...]]
    expected_slope: float
    expected_intercept: float


CASES = [
    Case("flat", {1: (2.0,), 2: (2.0,), 4: (2.0,), 8: (2.0,)}, 0.0, 2.0),
    Case("linear", {1: (5.0,), 2: (7.0,), 4: (11.0,), 8: (19.0,)}, 2.0, 3.0),
    # A run that was slowed down by a busy machine must not change the slope.
    Case("outlier", {1: (1.0, 1.0, 90.0), 2: (2.0, 2.0, 2.0)}, 1.0, 0.0),
]


class MeasureTests(unittest.TestCase):
    """Slopes, spreads and memory figures."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_slope(self, _: str, case: Case) -> None:
        spreads = [Spread(size, runs) for size, runs in case.runs_by_size.items()]
        fitted_slope, fitted_intercept = slope(spreads)
        self.assertAlmostEqual(fitted_slope, case.expected_slope)
        self.assertAlmostEqual(fitted_intercept, case.expected_intercept)

    def test_spread_names_all_three_figures(self) -> None:
        self.assertEqual(str(Spread(1, (3.0, 1.0, 2.0))), "1 / 2 / 3")

    def test_memory_counts_retained_objects(self) -> None:
        small = allocated_bytes(lambda: bytearray(10_000))
        large = allocated_bytes(lambda: bytearray(1_010_000))
        self.assertAlmostEqual(large - small, 1_000_000, delta=10_000)
