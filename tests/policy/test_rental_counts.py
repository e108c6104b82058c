"""Tests of the number of targets to rent in each data centre."""

import unittest
from dataclasses import dataclass, field

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.serving import RentalBounds
from goldcrestyard.policy.rental_counts import (
    EngineCounts,
    spread_targets,
    wanted_targets,
)

X, Y, Z = DataCentre("x"), DataCentre("y"), DataCentre("z")
BOUNDS = RentalBounds(1, 3, 4.0, 0.2, {X: 0.8, Y: 1.0, Z: 1.2})


@dataclass(frozen=True)
class Case:
    """The wanted and existing targets, and the resulting counts."""

    name: str
    wanted: int
    present: dict[DataCentre, EngineCounts]
    expected: dict[DataCentre, int]
    exhausted: frozenset[DataCentre] = field(default_factory=frozenset)


CASES = [
    Case("least", 0, {}, {X: 1, Y: 1, Z: 1}),
    Case("even", 6, {}, {X: 2, Y: 2, Z: 2}),
    Case("cheapest_first", 4, {}, {X: 2, Y: 1, Z: 1}),
    Case("bounded", 99, {}, {X: 3, Y: 3, Z: 3}),
    Case("what_is_there_is_kept", 4, {Z: EngineCounts(3)}, {X: 1, Y: 1, Z: 3}),
    Case(
        "reclaimable_ones_count",
        6,
        {X: EngineCounts(1, 2)},
        {X: 1, Y: 2, Z: 1},
    ),
    Case("exhausted", 6, {}, {X: 1, Y: 3, Z: 2}, frozenset({X})),
]


class SpreadTests(unittest.TestCase):
    """Guards against a data centre whose loss takes most engines."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_counts(self, _: str, case: Case) -> None:
        counts = spread_targets(case.wanted, BOUNDS, case.present, case.exhausted)
        self.assertEqual(counts, case.expected)

    @parameterized.expand([("none", 0, 0), ("one", 1, 1), ("wave", 32, 8)])
    def test_wanted(self, _: str, items: int, expected: int) -> None:
        self.assertEqual(wanted_targets(items, 8), expected)
