"""Tests of the distribution of models and weight versions over engines."""

import unittest
from collections import Counter
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import ModelName, TargetId, WeightVersion
from goldcrestyard.policy.version_loads import (
    LoadableEngine,
    VersionLoad,
    assign_models,
    next_loads,
)

A, B = ModelName("a"), ModelName("b")


def ids(count: int) -> list[TargetId]:
    return [TargetId(f"e{number}") for number in range(count)]


class ShareOutTests(unittest.TestCase):
    """Guards against loads that cost money and that no trainer needs."""

    @parameterized.expand(
        [
            ("even", 4, {A: 1.0, B: 1.0}, {A: 2, B: 2}),
            ("by_weight", 8, {A: 3.0, B: 1.0}, {A: 6, B: 2}),
            ("each_has_one", 3, {A: 100.0, B: 1.0}, {A: 2, B: 1}),
            ("fewer_engines_than_models", 1, {A: 1.0, B: 5.0}, {B: 1}),
            ("no_engine", 0, {A: 1.0}, {}),
            ("no_model", 2, {}, {}),
        ]
    )
    def test_counts(
        self,
        _: str,
        engines: int,
        shares: dict[ModelName, float],
        expected: dict[ModelName, int],
    ) -> None:
        assigned = assign_models(ids(engines), shares, {})
        self.assertEqual(dict(Counter(assigned.values())), expected)

    def test_engines_keep_their_model_when_one_is_lost(self) -> None:
        shares = {A: 1.0, B: 1.0}
        before = assign_models(ids(4), shares, {})
        remaining = ids(4)[1:]
        after = assign_models(remaining, shares, before)
        changed = [target for target in remaining if after[target] != before[target]]
        self.assertLessEqual(len(changed), 1)


@dataclass(frozen=True)
class Case:
    """Engines with their versions of model a, and the engines that load."""

    name: str
    versions: tuple[int, ...]
    busy: tuple[bool, ...]
    expected: tuple[int, ...]


CASES = [
    Case("all_have_it", (3, 3), (False, False), ()),
    Case("two_at_once", (2, 2, 2), (False, False, False), (0, 1)),
    Case("busy_ones_count", (2, 2, 2), (True, False, False), (1,)),
    Case("no_room", (2, 2, 2), (True, True, False), ()),
    Case("newer_than_named", (4, 2), (False, False), (1,)),
]


class NextLoadsTests(unittest.TestCase):
    """Guards against too many loads at a time and against repeated loads."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_loads(self, _: str, case: Case) -> None:
        engines = [
            LoadableEngine(target, {A: WeightVersion(version)}, busy)
            for target, version, busy in zip(
                ids(len(case.versions)), case.versions, case.busy, strict=True
            )
        ]
        models = dict.fromkeys(ids(len(engines)), A)
        loads = next_loads(engines, models, {A: WeightVersion(3)}, 2)
        self.assertEqual(
            loads,
            [
                VersionLoad(TargetId(f"e{n}"), A, WeightVersion(3))
                for n in case.expected
            ],
        )
