"""Tests of when a numbered usage window is closed."""

import unittest

from parameterized import parameterized

from goldcrestyard.policy.usage_numbers import (
    COUNTS_DELAY_SECONDS,
    WindowNumber,
    next_to_close,
    window_number,
)

LENGTH = 5.0
END_OF_100 = 101 * LENGTH


class WindowTests(unittest.TestCase):
    """Guards against windows reported too early, twice or never."""

    @parameterized.expand(
        [
            ("before_the_end", 99, END_OF_100 - 0.1, None),
            (
                "counts_are_still_coming",
                99,
                END_OF_100 + COUNTS_DELAY_SECONDS - 0.1,
                None,
            ),
            ("settled", 99, END_OF_100 + COUNTS_DELAY_SECONDS, 100),
            ("closed_already", 100, END_OF_100 + COUNTS_DELAY_SECONDS, None),
            ("one_after_another", 97, END_OF_100 + COUNTS_DELAY_SECONDS, 98),
            ("the_first_of_all", None, END_OF_100 + COUNTS_DELAY_SECONDS, 100),
            ("clock_has_gone_back", 99, END_OF_100 - 60.0, None),
        ]
    )
    def test_close(
        self, _: str, last: int | None, now: float, expected: int | None
    ) -> None:
        last_closed = None if last is None else WindowNumber(last)
        self.assertEqual(next_to_close(last_closed, now, LENGTH), expected)

    @parameterized.expand([("first", 500.0, 100), ("last", 504.999, 100)])
    def test_number(self, _: str, time: float, expected: int) -> None:
        self.assertEqual(window_number(time, LENGTH), expected)
