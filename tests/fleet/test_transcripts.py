"""Tests of the transcript of an item's runs."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.calls import StreamEvent
from goldcrestyard.core.ids import EventNumber, SoftwareVersion, WeightVersion
from goldcrestyard.fleet.jobs.transcripts import Transcript

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


def event(number: int, version: int | None = None) -> StreamEvent:
    named = None if version is None else WeightVersion(version)
    return StreamEvent(EventNumber(number), b"%d" % number, b"", named)


@dataclass(frozen=True)
class Case:
    """Events, how many of them are added, and the resulting versions."""

    name: str
    events: tuple[StreamEvent, ...]
    added_count: int
    versions: tuple[int, ...] = (3,)


CASES = [
    Case("in_order", (event(1), event(2), event(3)), 3),
    Case("numbered_from_nought", (event(0), event(1)), 2),
    Case("one_is_missing", (event(1), event(3)), 1),
    Case("one_comes_twice", (event(1), event(2), event(2)), 2),
    Case("new_version", (event(1), event(2, 4)), 2, (3, 4)),
]


class TranscriptTests(unittest.TestCase):
    """Guards against text with gaps and versions that generated no event."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_events(self, _: str, case: Case) -> None:
        transcript = Transcript()
        transcript.begin_run(WeightVersion(3), V1)
        refused = [transcript.add(given) for given in case.events]
        self.assertEqual(refused.count(None), case.added_count)
        self.assertEqual(len(transcript.events), case.added_count)
        self.assertEqual(tuple(sorted(transcript.versions)), case.versions)

    def test_run_without_a_version_gives_no_event(self) -> None:
        transcript = Transcript()
        transcript.begin_run(None, V1)
        self.assertIsNotNone(transcript.add(event(1)))
        self.assertEqual(transcript.events, [])

    def test_goes_on_from_what_was_kept(self) -> None:
        first = Transcript()
        first.begin_run(WeightVersion(3), V1)
        for number in (1, 2):
            first.add(event(number))
        restored = Transcript.restore(first.unsaved_progress())
        restored.begin_run(WeightVersion(4), V2)
        self.assertIsNotNone(restored.add(event(4)))
        self.assertIsNone(restored.add(event(3)))
        rest = restored.unsaved_progress()
        self.assertEqual((rest.kept, rest.events, rest.versions), (2, (b"3",), (3, 4)))
        # The software that began the text stays that of the whole text.
        self.assertEqual((restored.required_software, rest.software), (V1, V1))
        restored.discard()
        self.assertIsNone(restored.required_software)
        restored.begin_run(WeightVersion(4), V2)
        self.assertIsNone(restored.add(event(1)))
        self.assertEqual(restored.unsaved_progress().software, V2)
