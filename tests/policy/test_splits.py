"""Tests of the division of a route's traffic between its services."""

import random
import unittest
from collections import Counter

from parameterized import parameterized

from goldcrestyard.core.ids import JobId, RouteName, ServiceName
from goldcrestyard.core.serving import RouteKind, ServingRoute, WeightedService
from goldcrestyard.policy.splits import (
    even_points,
    pick_service,
    service_at,
    share_of,
    used_services,
)
from tests.fakes.serving import item_id

A, B, C = ServiceName("a"), ServiceName("b"), ServiceName("c")


def split(*weights: float) -> ServingRoute:
    services = tuple(
        WeightedService(name, weight)
        for name, weight in zip((A, B, C), weights, strict=False)
    )
    return ServingRoute(RouteName("r"), "h", "/", RouteKind.ROLLOUT, services, 1.0, 2)


class SplitTests(unittest.TestCase):
    """Guards against traffic for a service whose weight is 0."""

    @parameterized.expand(
        [
            ("one", (1.0,), None, [A, A, A, A]),
            ("halves", (1.0, 1.0), None, [A, A, B, B]),
            ("first_is_0", (0.0, 100.0), None, [B, B, B, B]),
            ("last_is_0", (100.0, 0.0), None, [A, A, A, A]),
            ("middle_is_0", (1.0, 0.0, 1.0), None, [A, A, C, C]),
            ("one_of_two_is_available", (1.0, 1.0), {B}, [B, B, B, B]),
            ("share_of_what_is_available", (2.0, 1.0, 1.0), {B, C}, [B, B, C, C]),
            ("only_0_is_available", (0.0, 1.0), {A}, [B, B, B, B]),
            ("none_is_available", (1.0, 1.0), set(), [A, A, B, B]),
        ]
    )
    def test_service_at(
        self,
        _: str,
        weights: tuple[float, ...],
        available: set[ServiceName] | None,
        expected: list[ServiceName],
    ) -> None:
        route = split(*weights)
        found = [service_at(route, n / 4 + 0.1, available) for n in range(4)]
        self.assertEqual(found, expected)
        self.assertIn(service_at(route, 1.0), used_services(route))

    def test_picks_by_weight(self) -> None:
        route, source = split(3.0, 0.0, 1.0), random.Random(1)
        counts = Counter(pick_service(route, source) for _ in range(1000))
        self.assertEqual(set(counts), {A, C})
        self.assertAlmostEqual(counts[A] / 1000, share_of(route, A), delta=0.05)

    @parameterized.expand(
        [("one", 1), ("three", 3), ("eight", 8), ("twenty", 20), ("many", 277)]
    )
    def test_items_of_a_job(self, _: str, count: int) -> None:
        """Guards against shares that a small job keeps by chance alone."""
        route = split(9.0, 1.0)
        expected = count * share_of(route, B)
        total = 0
        for number in range(200):
            points = even_points(JobId(f"job-{number}"), [*map(item_id, range(count))])
            found = sum(service_at(route, point) == B for point in points.values())
            self.assertLess(abs(found - expected), 1.0)
            total += found
        # Jobs of one item follow the weights together.
        self.assertAlmostEqual(total / 200, expected, delta=0.15)
