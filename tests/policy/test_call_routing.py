"""Tests of the choice of a target for a call."""

import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.policy.call_routing import (
    CallerLocation,
    CallStatistics,
    choose_target,
)

LOCATION = CallerLocation(DataCentre("near"), Region("here"))


def target(name: str, data_centre: str = "near", region: str = "here") -> Target:
    return Target(
        TargetId(name),
        TargetKind.SERVICE,
        f"{name}:1",
        DataCentre(data_centre),
        Region(region),
        ("s",),
        max_concurrency=6,
    )


NEAR, NEXT = target("near"), target("next", "next")
FAR = target("far", "far", "there")


def statistics(
    *, in_flight: int = 0, mean: float | None = 0.05, ejected_until: float = -1.0
) -> CallStatistics:
    return CallStatistics("", in_flight, mean, 0, ejected_until)


@dataclass(frozen=True)
class Case:
    """Statistics of the targets, and the target that is chosen."""

    name: str
    statistics_by_id: dict[str, CallStatistics]
    expected: str | None
    tried: frozenset[str] = field(default_factory=frozenset)


CASES = [
    Case(
        "nearest",
        {"near": statistics(), "next": statistics(), "far": statistics()},
        "near",
    ),
    Case(
        "full_one_is_passed_by",
        {"near": statistics(in_flight=6), "next": statistics()},
        "next",
    ),
    Case(
        "slow_one_is_passed_by",
        {"near": statistics(mean=0.5), "next": statistics()},
        "next",
    ),
    Case("untried_one_is_tried", {"near": statistics(mean=0.2)}, "next"),
    Case("failed_one_is_avoided", {"near": statistics(ejected_until=9.0)}, "next"),
    Case("tried_one_is_left_out", {}, "next", frozenset({"near"})),
    Case(
        "all_avoided_are_used_all_the_same",
        {name: statistics(ejected_until=9.0) for name in ("near", "next", "far")},
        "near",
    ),
    Case("none_left", {}, None, frozenset({"near", "next", "far"})),
]


class ChooseTests(unittest.TestCase):
    """Guards against slow answers and needless traffic between regions."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_choice(self, _: str, case: Case) -> None:
        chosen = choose_target(
            (FAR, NEXT, NEAR),
            {TargetId(name): stats for name, stats in case.statistics_by_id.items()},
            LOCATION,
            {TargetId(name) for name in case.tried},
            5.0,
            random.Random(3),
        )
        self.assertEqual(chosen.id if chosen is not None else None, case.expected)

    def test_equal_targets_share_the_calls(self) -> None:
        random_source = random.Random(5)
        twins = (target("a"), target("b"))
        chosen = Counter(
            choose_target(twins, {}, LOCATION, frozenset(), 0.0, random_source)
            for _ in range(100)
        )
        self.assertGreater(min(chosen[twin] for twin in twins), 20)

    @parameterized.expand(
        [
            ("kept_one_is_used", 99.0, 0, "b"),
            ("long_idle_one_does_not_count", 1.0, 0, None),
            ("loaded_one_is_passed_by", 99.0, 6, "a"),
        ]
    )
    def test_kept_connections(
        self, _: str, answered_at: float, in_flight: int, expected: str | None
    ) -> None:
        """Pattern: many processes that send a call now and then.

        Guards against a new connection for nearly each call.
        """
        random_source = random.Random(5)
        twins = (target("a"), target("b"))
        known = {TargetId(name): statistics(mean=0.02) for name in "ab"}
        known[TargetId("b")].answered_at = answered_at
        known[TargetId("b")].in_flight = in_flight
        chosen = {
            choose_target(twins, known, LOCATION, frozenset(), 100.0, random_source)
            for _ in range(100)
        }
        names = {target.id for target in chosen if target is not None}
        self.assertEqual(names, {"a", "b"} if expected is None else {expected})

    def test_ejection_doubles_and_ends_with_an_answer(self) -> None:
        stats = statistics()
        ejections = []
        for _ in range(8):
            stats.record_failure(10.0)
            ejections.append(stats.ejected_until - 10.0)
        self.assertEqual(ejections, [0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0, 8.0])
        stats.record_success(0.1, 0.0)
        self.assertLess(stats.ejected_until, 10.0)
