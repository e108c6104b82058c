"""Tests of the replicated state of the serving configuration."""

import sys
import unittest
from dataclasses import replace
from types import FrameType
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import ConfigVersion, RouteName
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from tests.fakes.member import apply, machine_of
from tests.fakes.serving import CONFIG


class ServingSliceTests(unittest.TestCase):
    """Guards against an older configuration that replaces a newer one."""

    def setUp(self) -> None:
        self.machine = machine_of(ServingSlice)
        self.slice = self.machine.get(ServingSlice)
        self._put(7, b"seven")

    def _put(self, version: int, source: bytes) -> None:
        config = replace(CONFIG, version=ConfigVersion(version))
        apply(self.machine, PutServing(config, source))

    @parameterized.expand(
        [("lower", 6, b"seven"), ("same", 7, b"seven"), ("higher", 9, b"new")]
    )
    def test_highest_version_wins(self, _: str, version: int, expected: bytes) -> None:
        self._put(version, b"new")
        self.assertEqual(self.slice.source, expected)
        assert self.slice.table is not None
        self.assertEqual(self.slice.table.config.version, max(7, version))

    def test_snapshot_holds_all(self) -> None:
        copy = ServingSlice()
        copy.load_snapshot(self.slice.to_snapshot())
        assert copy.table is not None
        self.assertEqual(copy.source, b"seven")
        self.assertEqual(copy.table.config, self.slice.table.config)  # type: ignore[union-attr]

    def test_snapshot_of_a_release_without_moves(self) -> None:
        """Moves are not known before the next command."""
        snapshot = replace(self.slice.to_snapshot(), moves_known_since=None)
        self.slice.load_snapshot(snapshot)
        route = CONFIG.routes[0]
        self.assertIsNone(self.slice.moved_at(route))
        apply(self.machine, PutServing(CONFIG, b""), time=5.0)
        self.assertEqual(self.slice.moved_at(route), 5.0)


class LargeConfigurationTests(unittest.TestCase):
    """Guards against work for each pair of routes when one is applied.

    Configurations that gave many routes other prefixes stopped all processes
    for seconds.
    """

    def _calls_per_route(self, routes: int) -> float:
        """Return the calls per route of a third change of all prefixes."""
        machine = machine_of(ServingSlice)
        calls = 0

        def count(frame: FrameType, event: str, argument: Any) -> None:
            nonlocal calls
            calls += event in ("call", "c_call")

        for generation in range(3):
            config = replace(
                CONFIG,
                version=ConfigVersion(generation),
                routes=tuple(
                    replace(
                        CONFIG.routes[0],
                        name=RouteName(f"r-{generation}-{number}"),
                        prefix=f"/g{generation}x{number}/",
                    )
                    for number in range(routes)
                ),
            )
            if generation == 2:
                sys.setprofile(count)
            try:
                apply(machine, PutServing(config, b""), time=float(generation))
            finally:
                sys.setprofile(None)
        return calls / routes

    @parameterized.expand([("700", 700), ("1400", 1400), ("2800", 2800)])
    def test_work_for_each_route_stays_the_same(self, _: str, routes: int) -> None:
        self.assertLessEqual(
            self._calls_per_route(routes), 1.1 * self._calls_per_route(350)
        )
