"""Tests of the source from which an entry fetches weights.

They guard against a version that crosses the link between regions more than
once while entries work, and against ignoring a store's ``Retry-After`` header.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.weight_sources import (
    FromEntry,
    FromStore,
    NoSource,
    Source,
    choose_source,
    retry_after_seconds,
)

ORDER = [InstanceId(name) for name in ("a", "b", "c", "d")]
DATE = "Tue, 14 Nov 2023 22:13:30 GMT"
"""Ten seconds after the wall time of the tests."""


class SourceTests(unittest.TestCase):
    """The source of an entry by its position in the region's order."""

    @parameterized.expand(
        [
            ("designated", "a", "", FromStore()),
            ("second", "b", "", FromEntry(InstanceId("a"))),
            ("last", "d", "", FromEntry(InstanceId("a"))),
            ("second_stands_in", "b", "a", FromStore()),
            ("last_asks_the_stand_in", "d", "a", FromEntry(InstanceId("b"))),
            ("third_never_asks_the_store", "c", "ab", NoSource()),
            ("not_listed_yet", "new", "", FromEntry(InstanceId("a"))),
        ]
    )
    def test_source(self, _: str, own: str, unreachable: str, expected: Source) -> None:
        source = choose_source(
            ORDER, InstanceId(own), {InstanceId(name) for name in unreachable}
        )
        self.assertEqual(source, expected)

    def test_no_entries(self) -> None:
        self.assertEqual(choose_source([], InstanceId("a"), set()), NoSource())

    @parameterized.expand(
        [
            ("seconds", "7", 7.0),
            ("date", DATE, 10.0),
            ("missing", None, 2.0),
            ("malformed", "soon", 2.0),
            ("not_a_number", "nan", 2.0),
            ("endless", "inf", 60.0),
            ("too_long", "86400", 60.0),
            ("negative", "-5", 0.5),
        ]
    )
    def test_retry_after(self, _: str, header: str | None, expected: float) -> None:
        self.assertEqual(retry_after_seconds(header, 1_700_000_000.0, 2.0), expected)
