"""Tests of the weight versions of samples.

They guard against a label that omits a version, and against handing out
samples that are too old or of unknown age.
"""

import unittest
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import WeightVersion
from goldcrestyard.policy.hand_out import (
    Span,
    barred_versions,
    extend_spans,
    parse_version,
)

BEHIND = {1: 2, 2: 1, 3: 0}


class SpanTests(unittest.TestCase):
    """Spans that are built from the pieces of a stream."""

    @parameterized.expand(
        [
            ("one_version", [(1, 1), (1, 2)], [(1, 3)]),
            ("swap_in_mid_stream", [(1, 1), (2, 1), (2, 1)], [(1, 1), (2, 2)]),
            ("swap_back", [(2, 1), (1, 1), (2, 1)], [(2, 1), (1, 1), (2, 1)]),
            ("version_that_only_ended_it", [(1, 4), (2, 0)], [(1, 4), (2, 0)]),
        ]
    )
    def test_spans(
        self, _: str, pieces: list[tuple[int, int]], expected: list[tuple[int, int]]
    ) -> None:
        spans: tuple[Span, ...] = ()
        for version, tokens in pieces:
            spans = extend_spans(spans, WeightVersion(version), tokens)
        self.assertEqual([(s.version, s.tokens) for s in spans], expected)

    @parameterized.expand(
        [
            ("number", 7, 7),
            ("text", "7", 7),
            ("missing", None, None),
            ("empty", "", None),
            ("word", "default", None),
            ("negative", -1, None),
            ("truth_value", True, None),
            ("fraction", 1.5, None),
        ]
    )
    def test_version_of_a_piece(self, _: str, value: Any, expected: int | None) -> None:
        self.assertEqual(parse_version(value), expected)


class BarredVersionsTests(unittest.TestCase):
    """Versions that bar a sample from being handed out."""

    @parameterized.expand(
        [
            ("newest", [3], 0, ()),
            ("at_the_bound", [2], 1, ()),
            ("past_the_bound", [1, 3], 1, (1,)),
            ("never_published", [3, 4], 1, (4,)),
            ("both", [4, 1, 1], 1, (1, 4)),
        ]
    )
    def test_barred(
        self, _: str, versions: list[int], bound: int, expected: tuple[int, ...]
    ) -> None:
        barred = barred_versions(map(WeightVersion, versions), BEHIND.get, bound)
        self.assertEqual(barred, expected)
