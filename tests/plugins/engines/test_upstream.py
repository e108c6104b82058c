"""Tests of the checks on engines' answers.

They guard against an incomplete answer that is taken for complete, and
against a time-out while the engine still generates a long answer.
"""

import unittest
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import ModelName
from goldcrestyard.plugins.engines.completeness import ChoiceTracker
from goldcrestyard.plugins.engines.requests import InferenceFields, InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import silence_timeout_seconds

SETTINGS = EngineSettings(
    stall_seconds=30.0, seconds_per_token=0.1, request_seconds=600.0
)


def choice(index: int = 0, finish: str | None = None) -> dict[str, Any]:
    """Return the data of an event with one choice."""
    return {"choices": [{"index": index, "finish_reason": finish}]}


USAGE: dict[str, Any] = {"choices": [], "usage": {}}


class ChoiceTests(unittest.TestCase):
    """Which sequences of events are complete."""

    @parameterized.expand(
        [
            ("one", [choice(), choice(finish="stop")], 1, True),
            ("with_usage", [choice(finish="stop"), USAGE], 1, True),
            ("two", [choice(0, "stop"), choice(1, "length")], 2, True),
            ("nothing", [], 1, False),
            ("no_finish", [choice()], 1, False),
            ("second_missing", [choice(0, "stop")], 2, False),
            ("second_open", [choice(0), choice(1), choice(0, "stop")], 1, False),
            ("after_finish", [choice(finish="stop"), choice()], 1, False),
            ("twice_finished", [choice(finish="stop")] * 2, 1, False),
            ("malformed_choice", [{"choices": ["x"]}], 1, False),
            ("malformed_choices", [{"choices": 7}], 1, False),
        ]
    )
    def test_whole(
        self, _: str, events: list[dict[str, Any]], expected: int, complete: bool
    ) -> None:
        tracker = ChoiceTracker(expected)
        faults = [tracker.add(event) for event in events]
        self.assertEqual(not any(faults) and tracker.missing() is None, complete)

    def test_repeated_event_id(self) -> None:
        tracker = ChoiceTracker()
        self.assertIsNone(tracker.add(choice(), "7"))
        self.assertIsNotNone(tracker.add(choice(), "7"))


class SilenceTests(unittest.TestCase):
    """How long a connection may be without data."""

    @parameterized.expand(
        [
            ("streamed", True, 4096, 30.0),
            ("plain", False, 1000, 130.0),
            ("plain_long", False, 100_000, 600.0),
            ("plain_without_limit", False, None, 600.0),
        ]
    )
    def test_silence(
        self, _: str, stream: bool, max_tokens: int | None, expected: float
    ) -> None:
        fields = InferenceFields(ModelName("m"), stream, max_tokens=max_tokens)
        request = InferenceRequest("/v1/completions", fields, {})
        self.assertEqual(silence_timeout_seconds(request, SETTINGS), expected)
