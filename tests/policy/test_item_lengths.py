"""Tests of the expected length of texts."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import ModelName
from goldcrestyard.policy.item_lengths import (
    DEFAULT_EVENTS,
    EXPECTED_TOKENS_PER_EVENT,
    ItemLengths,
)

MODEL = ModelName("m")


@dataclass(frozen=True)
class Case:
    """Texts that are complete, and the remainder of another one."""

    name: str
    complete: tuple[tuple[int, int], ...]
    estimated_tokens: int
    events_so_far: int
    expected: float


CASES = [
    Case("nothing_known", (), 0, 0, DEFAULT_EVENTS),
    Case("estimate", (), int(100 * EXPECTED_TOKENS_PER_EVENT), 0, 100.0),
    Case("tokens_of_an_event_are_learned", ((1000, 10), (3000, 30)), 500, 0, 5.0),
    Case("texts_without_an_estimate_teach_nothing", ((0, 10),), 500, 0, 10.0),
    Case("resumed", ((1000, 10),), 5000, 20, 30.0),
    Case("outgrown", ((1000, 10),), 1000, 100, 50.0),
    Case("about_to_end", ((1000, 10),), 100, 1, 1.0),
]


class ItemLengthsTests(unittest.TestCase):
    """Guards against long texts that count as short ones."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_remaining_events(self, _: str, case: Case) -> None:
        lengths = ItemLengths()
        for tokens, events in case.complete:
            lengths.observe(MODEL, tokens, events)
        self.assertAlmostEqual(
            lengths.remaining_events(MODEL, case.estimated_tokens, case.events_so_far),
            case.expected,
        )
