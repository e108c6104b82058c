"""Tests of the decisions on connections before a request."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.policy.connections import (
    MAX_EMPTY_BYTES,
    MIN_CONNECTIONS,
    HeadBuffer,
    HeadState,
    listener_connections,
    max_connections,
)

LIMIT = 100
ARRIVING, WHOLE = HeadState.ARRIVING, HeadState.WHOLE
TOO_LONG, EMPTY_LINES = HeadState.TOO_LONG, HeadState.EMPTY_LINES


@dataclass(frozen=True)
class Reads:
    """What arrives in turn, the last state, and what is kept."""

    name: str
    reads: tuple[bytes, ...]
    state: HeadState
    kept_bytes: int


LINE = b"GET / HTTP/1.1\r\n"
CASES = [
    Reads("nothing", (), ARRIVING, 0),
    Reads("whole", (LINE + b"\r\n",), WHOLE, 18),
    Reads("end_split_in_two", (LINE + b"\r", b"\n"), WHOLE, 18),
    Reads("end_split_byte_by_byte", (LINE, b"\r", b"\n"), WHOLE, 18),
    Reads("bare_line_ends", (b"GET / HTTP/1.1\n\n",), WHOLE, 16),
    Reads("with_a_body", (LINE + b"\r\n" + b"a" * 500,), WHOLE, 518),
    Reads("at_the_limit", (LINE + b"x:" + b"a" * 78 + b"\r\n\r\n",), WHOLE, 100),
    Reads("over_the_limit", (LINE + b"x:" + b"a" * 79 + b"\r\n\r\n",), TOO_LONG, 101),
    Reads("without_end", (LINE, b"a" * 84, b"a"), TOO_LONG, 101),
    Reads("empty_line_before", (b"\r\n" + LINE, b"\r\n"), WHOLE, 18),
    Reads("empty_lines", (b"\r\n" * (MAX_EMPTY_BYTES // 2),), ARRIVING, 0),
    Reads(
        "more_empty_lines", (b"\r\n" * (MAX_EMPTY_BYTES // 2), b"\n"), EMPTY_LINES, 0
    ),
]


class HeadBufferTests(unittest.TestCase):
    """Guards against heads and empty lines without end that are kept."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_reads(self, _: str, case: Reads) -> None:
        buffer = HeadBuffer(LIMIT)
        state = ARRIVING
        for read in case.reads:
            self.assertIs(state, ARRIVING)
            state = buffer.feed(read)
        self.assertIs(state, case.state)
        self.assertEqual(len(buffer.data), case.kept_bytes)


class MaxConnectionsTests(unittest.TestCase):
    """Guards against connections beyond memory or descriptors."""

    @parameterized.expand(
        [
            ("largest_front", 440_000_000, 10_250, 4_400),
            ("smallest_front", 160_000_000, 1_638, 1_006),
            ("few_descriptors", 512_000_000, 500, 210),
            ("little_memory", 20_000_000, 10_250, 200),
            ("hardly_any_descriptors", 512_000_000, 100, MIN_CONNECTIONS),
        ]
    )
    def test_bound(self, _: str, memory: int, descriptors: int, most: int) -> None:
        self.assertEqual(max_connections(memory, descriptors), most)


class ListenerConnectionsTests(unittest.TestCase):
    """Guard against crowds at some listeners that close the others."""

    @parameterized.expand(
        [
            ("alone", 100, (), 90),
            ("others_idle", 100, (0, 0), 90),
            ("least_number_is_reserved", 40, (0, 0), 32),
            ("share_is_reserved", 1000, (0, 0, 0, 0), 800),
            ("one_other_is_full", 100, (90, 0), 5),
            ("two_others_are_full", 100, (60, 35), 5),
            ("few_places", 16, (0, 0, 0), 10),
            ("few_places_and_crowds", 16, (10, 2, 2), 2),
            ("opened_after_the_crowd", 100, (90, 10), 0),
        ]
    )
    def test_listener_may_hold(
        self, _: str, capacity: int, others: tuple[int, ...], most: int
    ) -> None:
        self.assertEqual(listener_connections(capacity, others), most)
