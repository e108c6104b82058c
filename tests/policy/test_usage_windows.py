"""Tests of the assignment of usage records to windows, and of closing them.

They guard against usage that is reported in no window or in two, and against
closing a window before entries have sent its records.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.policy.usage_windows import (
    Placement,
    place_record,
    window_of,
    window_to_close,
)


@dataclass(frozen=True)
class PlaceCase:
    """A record's window, the last closed one, the time, and the placement."""

    name: str
    window: int
    last_closed: int
    now: float
    placement: Placement


PLACE_CASES = [
    PlaceCase("current", 70, 50, 65.0, Placement(70, False)),
    PlaceCase("earlier_but_open", 60, 50, 65.0, Placement(60, False)),
    PlaceCase("just_closed", 60, 60, 65.0, Placement(70, True)),
    PlaceCase("long_closed", 20, 60, 65.0, Placement(70, True)),
    PlaceCase("clock_ahead", 9000, 50, 65.0, Placement(70, False)),
    PlaceCase("closed_ahead_of_the_log_time", 60, 70, 65.0, Placement(80, True)),
]


@dataclass(frozen=True)
class DueCase:
    """The time, the last closed window, and the window that is due."""

    name: str
    now: float
    last_closed: int
    window: int | None


DUE_CASES = [
    DueCase("within_the_window", 65.0, 60, None),
    DueCase("within_the_grace", 72.9, 60, None),
    DueCase("after_the_grace", 73.0, 60, 70),
    DueCase("closed_already", 73.0, 70, None),
    DueCase("several_after_an_outage", 109.0, 60, 100),
    DueCase("clock_set_back", 30.0, 60, None),
]


class WindowTests(unittest.TestCase):
    """Windows of 10 s, with a grace period of 3 s."""

    def test_a_moment_on_the_border_is_in_the_later_window(self) -> None:
        self.assertEqual(window_of(59.9, 10), 60)
        self.assertEqual(window_of(60.0, 10), 70)

    @parameterized.expand([(case.name, case) for case in PLACE_CASES])
    def test_place(self, _: str, case: PlaceCase) -> None:
        placed = place_record(case.window, case.last_closed, case.now, 10)
        self.assertEqual(placed, case.placement)

    @parameterized.expand([(case.name, case) for case in DUE_CASES])
    def test_due(self, _: str, case: DueCase) -> None:
        self.assertEqual(
            window_to_close(case.now, case.last_closed, 10, 3.0), case.window
        )
