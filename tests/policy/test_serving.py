"""Tests of the validation and the indexes of a serving configuration."""

import random
import sys
import unittest
from collections import Counter
from dataclasses import replace
from types import FrameType
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import (
    ConfigVersion,
    OrganisationId,
    RouteName,
    ServiceName,
)
from goldcrestyard.core.serving import (
    RouteKind,
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
    WeightedService,
)
from goldcrestyard.policy.serving import (
    RouteKey,
    ServingTable,
    faults,
    moved_routes,
)
from goldcrestyard.policy.splits import pick_service


def route(name: str, prefix: str, host: str = "h.example") -> ServingRoute:
    return ServingRoute(
        RouteName(name),
        host,
        prefix,
        RouteKind.IDEMPOTENT,
        (WeightedService(ServiceName("s"), 1.0),),
        1.0,
        2,
    )


CONFIG = ServingConfig(
    ConfigVersion(1),
    (route("root", "/a/"), route("deep", "/a/b/"), route("other", "/a/", "o.example")),
    (ServedService(ServiceName("s")), ServedService(ServiceName("z"))),
    organisations=(
        ServedOrganisation(OrganisationId("x"), ("key-x", "key-y")),
        ServedOrganisation(OrganisationId("z"), ("key-z",)),
    ),
)

SPLIT = (WeightedService(ServiceName("s"), 90), WeightedService(ServiceName("z"), 10))


def with_route(changed: ServingRoute) -> ServingConfig:
    return replace(CONFIG, routes=(*CONFIG.routes, changed))


NEW = route("new", "/new/")

FAULTS = [
    ("valid", CONFIG, None),
    (
        "unknown_service",
        with_route(replace(NEW, services=(WeightedService(ServiceName("?"), 1.0),))),
        "unknown service",
    ),
    ("same_place", with_route(route("twin", "/a/b/", "H.example")), "share host"),
    (
        "no_weight",
        with_route(replace(NEW, services=(WeightedService(ServiceName("s"), 0.0),))),
        "add up to 0",
    ),
    ("no_timeout", with_route(replace(NEW, timeout_seconds=0.0)), "no timeout"),
    ("no_slash", with_route(route("bad", "/new")), "slashes"),
    (
        "shared_key",
        replace(
            CONFIG,
            organisations=(
                *CONFIG.organisations,
                ServedOrganisation(OrganisationId("q"), ("key-x",)),
            ),
        ),
        "share a key",
    ),
]


class FaultTests(unittest.TestCase):
    """Guards against accepting a configuration that cannot be applied."""

    @parameterized.expand(FAULTS)
    def test_fault(self, _: str, config: ServingConfig, expected: str | None) -> None:
        found = list(faults(config))
        if expected is None:
            self.assertEqual(found, [])
        else:
            self.assertEqual(len(found), 1)
            self.assertIn(expected, found[0])

    def test_no_key_stands_in_a_fault(self) -> None:
        (found,) = faults(FAULTS[-1][1])
        self.assertNotIn("key-x", found)


class TableTests(unittest.TestCase):
    """Guards against assigning requests to a wrong route or organisation."""

    table = ServingTable(CONFIG)

    @parameterized.expand(
        [
            ("longest_prefix", "h.example", "/a/b/c", "deep"),
            ("prefix_itself", "h.example", "/a/b/", "deep"),
            ("shorter_prefix", "h.example", "/a/bc", "root"),
            ("host_with_port_and_case", "H.Example:80", "/a/x", "root"),
            ("other_host", "o.example", "/a/b/c", "other"),
            ("no_prefix", "h.example", "/b", None),
            ("prefix_without_its_slash", "h.example", "/a", None),
            ("no_host", "x.example", "/a/", None),
        ]
    )
    def test_route(self, _: str, host: str, path: str, expected: str | None) -> None:
        found = self.table.route(host, path)
        self.assertEqual(found.name if found is not None else None, expected)

    @parameterized.expand([("first", "key-x", "x"), ("second", "key-y", "x")])
    def test_key(self, _: str, key: str, expected: str) -> None:
        holder = self.table.organisation(key)
        assert holder is not None
        self.assertEqual(holder.id, expected)

    @parameterized.expand(
        [
            ("equal", (0, 0), None, "x", None),
            ("of_the_route", (0, 3), None, "x", 3),
            ("of_the_organisation", (0, 3), 1, "x", 1),
            ("routes_are_equal", (3, 3), 1, "x", 1),
            ("of_another_organisation", (3, 3), 1, "z", 3),
            ("organisation_equals_the_route", (3, 3), 3, "x", None),
            ("no_organisation", (0, 3), 1, None, 3),
        ]
    )
    def test_sent_urgency(
        self,
        _: str,
        priorities: tuple[int, int],
        own: int | None,
        organisation: str | None,
        expected: int | None,
    ) -> None:
        """Guards against an urgency where requests do not differ in it."""
        first, second = (
            replace(route(f"r{priority}{n}", f"/{n}/"), priority=priority)
            for n, priority in enumerate(priorities)
        )
        holder = ServedOrganisation(OrganisationId("x"), ("key-x",), own)
        config = replace(CONFIG, routes=(first, second), organisations=(holder,))
        table = ServingTable(config)
        caller = None if organisation is None else OrganisationId(organisation)
        self.assertEqual(table.sent_urgency(second, caller), expected)

    def test_unknown_key_has_no_holder(self) -> None:
        self.assertIsNone(self.table.organisation("key"))

    def test_services_are_drawn_by_weight(self) -> None:
        split = replace(NEW, services=SPLIT)
        random_source = random.Random(1)
        drawn = Counter(pick_service(split, random_source) for _ in range(1000))
        self.assertAlmostEqual(drawn[ServiceName("z")], 100, delta=40)


class LongPathTests(unittest.TestCase):
    """Guards against a path that takes an entry's time for all others."""

    def _calls(self, path: str) -> int:
        calls = 0

        def count(frame: FrameType, event: str, argument: Any) -> None:
            nonlocal calls
            calls += event in ("call", "c_call")

        table = ServingTable(CONFIG)
        sys.setprofile(count)
        try:
            table.route("h.example", path)
        finally:
            sys.setprofile(None)
        return calls

    @parameterized.expand([("hundreds", 300), ("thousands", 16_000)])
    def test_work_does_not_grow_with_the_path(self, _: str, slashes: int) -> None:
        longest = max(len(route.prefix) for route in CONFIG.routes)
        self.assertEqual(self._calls("/" * slashes), self._calls("/" * longest))

    @parameterized.expand(
        [("exact", "/a/b/", "deep"), ("below", "/a/b/" + "c/" * 300, "deep")]
    )
    def test_longest_prefix_is_found(self, _: str, path: str, name: str) -> None:
        found = ServingTable(CONFIG).route("h.example", path)
        assert found is not None
        self.assertEqual(found.name, name)


MOVED_BEFORE: tuple[RouteKey, ...] = (
    ("h.example", "/m/n/"),
    ("h.example", "/p/"),
    ("q.example", "/q/r/"),
)
"""Keys of routes that moved or went lately."""


class AddedRouteTests(unittest.TestCase):
    """Guards against a route whose streams another service has begun."""

    @parameterized.expand(
        [
            ("same", "h.example", "/m/n/", True),
            ("below", "h.example", "/m/n/o/", True),
            ("far_below", "h.example", "/p/x/y/z/", True),
            ("above", "h.example", "/m/", True),
            ("root", "q.example", "/", True),
            ("sibling", "h.example", "/m/o/", False),
            ("sorts_before", "h.example", "/m/a/", False),
            ("sorts_last", "h.example", "/z/", False),
            ("longer_name", "h.example", "/m/nn/", False),
            ("shorter_name", "h.example", "/pp/", False),
            ("other_host", "o.example", "/m/n/", False),
            ("last_host", "z.example", "/", False),
        ]
    )
    def test_overlap_with_earlier_moves(
        self, _: str, host: str, prefix: str, expected: bool
    ) -> None:
        before = ServingTable(replace(CONFIG, routes=()))
        after = ServingTable(replace(CONFIG, routes=(route("new", prefix, host),)))
        moved = moved_routes(before, after, MOVED_BEFORE)
        self.assertEqual(moved, {(host, prefix)} if expected else set())
