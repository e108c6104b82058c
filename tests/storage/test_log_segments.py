"""Tests of the log on disk.

They guard against the loss of an acknowledged record, against going on with
a damaged log, and against a log that a crash leaves unreadable.
"""

import unittest
from dataclasses import dataclass
from pathlib import Path

from parameterized import parameterized

from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.storage.exceptions import CorruptLogError
from goldcrestyard.storage.log_segments import LogRecord, SegmentedLog
from tests.fakes.files import MemoryFiles

FOLDER = Path("/log")
RECORDS = [
    LogRecord(Term(1), LogIndex(index), 0, b"payload %d" % index)
    for index in range(1, 11)
]
RECORD_BYTES = 25 + len(b"payload 1")
SEGMENT_BYTES = 4 * RECORD_BYTES
"""Three segments: records 1 to 4, 5 to 8, 9 and 10."""


def first_segment(files: MemoryFiles) -> Path:
    return files.paths()[0]


def last_segment(files: MemoryFiles) -> Path:
    return files.paths()[-1]


def stored() -> MemoryFiles:
    """Return files that hold the records, each appended by itself."""
    files = MemoryFiles()
    log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
    log.load()
    for record in RECORDS:
        log.append([record])
    return files


@dataclass(frozen=True)
class Torn:
    """Bytes cut off the end, and how many records remain."""

    name: str
    removed: int
    records: int


TORN = [
    Torn("nothing", 0, 10),
    Torn("last_byte", 1, 9),
    Torn("within_the_header", RECORD_BYTES - 3, 9),
    Torn("whole_record", RECORD_BYTES + 1, 9),
    Torn("into_the_record_before", RECORD_BYTES + 3, 8),
]


@dataclass(frozen=True)
class Flip:
    """A damaged byte: of which segment, and where in a record."""

    name: str
    segment: int
    record: int
    byte: int
    detected: bool


FLIPS = [
    Flip("payload_in_first_segment", 0, 1, 30, True),
    Flip("checksum_in_first_segment", 0, 0, 0, True),
    Flip("length_in_first_segment", 0, 2, 5, True),
    Flip("length_far_too_large", 1, 1, 7, True),
    Flip("end_of_a_closed_segment", 0, 3, 30, True),
    Flip("payload_before_the_tail", 2, 0, 30, True),
    Flip("length_before_the_tail", 2, 0, 6, True),
    # Looks like a write that a crash cut off.
    Flip("tail", 2, 1, 30, False),
]


class SegmentedLogTests(unittest.TestCase):
    """Reading back after damage."""

    @parameterized.expand([(case.name, case) for case in TORN])
    def test_torn_tail_is_cut_and_the_log_goes_on(self, _: str, case: Torn) -> None:
        files = stored()
        path = last_segment(files)
        files.cut(path, files.size(path) - case.removed)
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        self.assertEqual(log.load(), RECORDS[: case.records])
        log.append(RECORDS[case.records :])
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        self.assertEqual(again.load(), RECORDS)

    @parameterized.expand([(case.name, case) for case in FLIPS])
    def test_damage_before_the_tail_is_an_error(self, _: str, case: Flip) -> None:
        files = stored()
        path = files.paths()[case.segment]
        files.flip(path, case.record * RECORD_BYTES + case.byte)
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        if case.detected:
            with self.assertRaisesRegex(CorruptLogError, "Replace this member"):
                log.load()
        else:
            self.assertEqual(log.load(), RECORDS[:9])

    def test_missing_segment_is_an_error(self) -> None:
        files = stored()
        files.remove(files.paths()[1])
        with self.assertRaisesRegex(CorruptLogError, "does not continue"):
            SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()

    @parameterized.expand([(str(index), index) for index in range(1, 12)])
    def test_conflicting_suffix_is_removed(self, _: str, index: int) -> None:
        files = stored()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        log.truncate_from(LogIndex(index))
        replaced = LogRecord(Term(2), LogIndex(index), 0, b"other")
        log.append([replaced])
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()
        self.assertEqual(again, [*RECORDS[: index - 1], replaced])

    @parameterized.expand(
        [("none", 4, 10), ("one", 5, 6), ("partly", 8, 6), ("all_but_last", 99, 2)]
    )
    def test_prefix_is_removed_by_whole_segments(
        self, _: str, index: int, records: int
    ) -> None:
        files = stored()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        log.truncate_before(LogIndex(index))
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()
        self.assertEqual(again, RECORDS[-records:])
