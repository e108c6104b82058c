"""Tests of what counts as a service whose targets are mostly full."""

import unittest

from parameterized import parameterized

from goldcrestyard.policy.call_routing import CallStatistics, mostly_full
from tests.fakes.targets import target

NOW = 10.0
FREE = CallStatistics("1000", in_flight=5)
BUSY = CallStatistics("1000", in_flight=6)
FULL = CallStatistics("1000", full_until=NOW + 0.1)
NO_LONGER_FULL = CallStatistics("1000", full_until=NOW)


class MostlyFullTests(unittest.TestCase):
    """Guards against hedges that take the slots which calls wait for."""

    @parameterized.expand(
        [
            ("none_known", (None, None, None), False),
            ("free", (FREE, FREE, FREE), False),
            ("one_busy", (BUSY, FREE, None), False),
            ("half", (BUSY, FREE, FULL, FREE), False),
            ("most_busy", (BUSY, BUSY, FREE), True),
            ("most_have_said_so", (FULL, FULL, FREE), True),
            ("either", (FULL, BUSY, FREE), True),
            ("no_longer", (NO_LONGER_FULL, NO_LONGER_FULL, FREE), False),
            ("no_target", (), False),
        ]
    )
    def test_mostly_full(
        self, _: str, known: tuple[CallStatistics | None, ...], expected: bool
    ) -> None:
        targets = [target(f"t{number}") for number in range(len(known))]
        statistics_by_id = {
            each.id: statistics
            for each, statistics in zip(targets, known, strict=True)
            if statistics is not None
        }
        self.assertIs(mostly_full(targets, statistics_by_id, NOW), expected)
