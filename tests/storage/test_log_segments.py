"""Tests of the segmented log on disk.

They guard against the loss of an acknowledged record, against the use of a
damaged log, and against a log that is unreadable after a crash.
"""

import random
import unittest
from dataclasses import dataclass, replace
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
SECTOR_BYTES = 512
SEGMENT_BYTES = 4 * RECORD_BYTES
"""Three segments: records 1 to 4, 5 to 8, 9 and 10."""


def first_segment(files: MemoryFiles) -> Path:
    return files.paths()[0]


def last_segment(files: MemoryFiles) -> Path:
    return files.paths()[-1]


def stored_records() -> MemoryFiles:
    """Return files that store ``RECORDS``, each appended separately."""
    files = MemoryFiles()
    log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
    log.load()
    for record in RECORDS:
        log.append([record])
    return files


@dataclass(frozen=True)
class TornWrite:
    """A torn write: bytes missing at the end, and how many records remain."""

    name: str
    removed: int
    records: int


TORN_WRITE_CASES = [
    TornWrite("nothing", 0, 10),
    TornWrite("last_byte", 1, 9),
    TornWrite("within_the_header", RECORD_BYTES - 3, 9),
    TornWrite("whole_record", RECORD_BYTES + 1, 9),
    TornWrite("into_the_record_before", RECORD_BYTES + 3, 8),
]


BATCH = [
    LogRecord(Term(1), LogIndex(index), 0, b"%d" % index * 700)
    for index in range(11, 21)
]
"""Records that are appended together, each longer than a sector."""


@dataclass(frozen=True)
class Hole:
    """A part of the last append that did not reach the disk.

    ``first`` and ``end`` count from the first byte of the append, and are
    rounded to sectors of the file unless ``exact`` is set.
    """

    name: str
    first: int
    end: int
    records: int
    """Number of records of the append that are left."""
    exact: bool = False


HOLE_CASES = [
    Hole("one_sector", 1500, 2000, 1),
    Hole("one_page", 4100, 8190, 2),
    Hole("end_of_the_first_sector", 0, 300, 0),
    Hole("from_the_first_sector", 0, 2600, 0),
    Hole("sector_before_the_last", 12200, 12700, 8),
    Hole("all_but_the_end", 0, 12800, 0),
    Hole("bytes_at_the_start", 0, 40, 0, exact=True),
    Hole("bytes_of_a_payload", 2000, 2050, 1, exact=True),
    Hole("bytes_around_a_header", 1420, 1460, 0, exact=True),
]


@dataclass(frozen=True)
class BitFlip:
    """A flipped bit: its position, and whether ``load`` must report it."""

    name: str
    segment: int
    record: int
    byte: int
    detected: bool


BIT_FLIP_CASES = [
    BitFlip("payload_in_first_segment", 0, 1, 30, True),
    BitFlip("checksum_in_first_segment", 0, 0, 0, True),
    BitFlip("length_in_first_segment", 0, 2, 5, True),
    BitFlip("length_far_too_large", 1, 1, 7, True),
    BitFlip("end_of_a_closed_segment", 0, 3, 30, True),
    BitFlip("payload_before_the_tail", 2, 0, 30, True),
    BitFlip("length_before_the_tail", 2, 0, 6, True),
    # In the last record, damage cannot be told from a torn write.
    BitFlip("tail", 2, 1, 30, False),
]


class SegmentedLogTests(unittest.TestCase):
    """Loading, truncation and damage."""

    @parameterized.expand([(case.name, case) for case in TORN_WRITE_CASES])
    def test_torn_tail_is_cut_and_the_log_goes_on(
        self, _: str, case: TornWrite
    ) -> None:
        files = stored_records()
        path = last_segment(files)
        files.truncate_durable(path, files.size(path) - case.removed)
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        self.assertEqual(log.load(), RECORDS[: case.records])
        log.append(RECORDS[case.records :])
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        self.assertEqual(again.load(), RECORDS)

    @parameterized.expand([(case.name, case) for case in HOLE_CASES])
    def test_append_without_its_middle_is_cut(self, _: str, case: Hole) -> None:
        """Guards against a member that does not start after a power failure.

        A disk may have written the end of an append and not its middle.
        """
        files = stored_records()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        path = last_segment(files)
        synced = files.size(path)
        log.append(BATCH)
        first, end = synced + case.first, synced + case.end
        if not case.exact:
            first -= first % SECTOR_BYTES
            end += -end % SECTOR_BYTES
        files.lose_bytes(path, max(synced, first), end)
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        self.assertEqual(log.load(), RECORDS + BATCH[: case.records])
        log.append(BATCH[case.records :])
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        self.assertEqual(again.load(), RECORDS + BATCH)

    def test_append_without_the_end_of_its_first_sector_is_cut(self) -> None:
        """Guards against the same where few bytes of that sector are left."""
        files = MemoryFiles()
        log = SegmentedLog(FOLDER, files)
        first = LogRecord(Term(1), LogIndex(1), 0, b"a" * (SECTOR_BYTES - 25 - 5))
        log.append([first])
        log.append([replace(record, index=record.index - 9) for record in BATCH])
        files.lose_bytes(last_segment(files), SECTOR_BYTES - 5, SECTOR_BYTES)
        self.assertEqual(SegmentedLog(FOLDER, files).load(), [first])

    def test_lost_page_among_synced_writes_is_an_error(self) -> None:
        """Guards against cutting what was acknowledged long before."""
        files = MemoryFiles()
        log = SegmentedLog(FOLDER, files)
        for index in range(1, 1001):
            log.append([LogRecord(Term(1), LogIndex(index), 0, b"%d" % index * 200)])
        files.lose_bytes(last_segment(files), 4096, 8192)
        with self.assertRaisesRegex(CorruptLogError, "Replace this member"):
            SegmentedLog(FOLDER, files).load()

    @parameterized.expand([(str(byte), byte) for byte in (30, 600, 1500, 4000)])
    def test_changed_bit_within_a_batch_is_an_error(self, _: str, byte: int) -> None:
        """Guards against taking decay of synced records for a torn append."""
        files = stored_records()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        path = last_segment(files)
        synced = files.size(path)
        log.append(BATCH)
        files.flip_bit(path, synced + byte)
        with self.assertRaisesRegex(CorruptLogError, "Replace this member"):
            SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()

    @parameterized.expand([(case.name, case) for case in BIT_FLIP_CASES])
    def test_damage_before_the_tail_is_an_error(self, _: str, case: BitFlip) -> None:
        files = stored_records()
        path = files.paths()[case.segment]
        files.flip_bit(path, case.record * RECORD_BYTES + case.byte)
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        if case.detected:
            with self.assertRaisesRegex(CorruptLogError, "Replace this member"):
                log.load()
        else:
            self.assertEqual(log.load(), RECORDS[:9])

    def test_missing_segment_is_an_error(self) -> None:
        files = stored_records()
        files.remove(files.paths()[1])
        with self.assertRaisesRegex(CorruptLogError, "does not continue"):
            SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()

    @parameterized.expand([(str(index), index) for index in range(1, 12)])
    def test_conflicting_suffix_is_removed(self, _: str, index: int) -> None:
        files = stored_records()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        log.truncate_from(LogIndex(index))
        replacement = LogRecord(Term(2), LogIndex(index), 0, b"other")
        log.append([replacement])
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()
        self.assertEqual(again, [*RECORDS[: index - 1], replacement])

    @parameterized.expand(
        [("none", 4, 10), ("one", 5, 6), ("partly", 8, 6), ("all_but_last", 99, 2)]
    )
    def test_prefix_is_removed_by_whole_segments(
        self, _: str, index: int, records: int
    ) -> None:
        files = stored_records()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        log.truncate_before(LogIndex(index))
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()
        self.assertEqual(again, RECORDS[-records:])

    def test_cut_survives_a_crash(self) -> None:
        """Guards against removed records that reappear after a crash.

        Such records would precede new records of the same index.
        """
        files = MemoryFiles()
        log = SegmentedLog(FOLDER, files, SEGMENT_BYTES)
        log.load()
        log.append(RECORDS[:6])
        log.truncate_from(LogIndex(6))
        replacement = LogRecord(Term(2), LogIndex(6), 0, b"other")
        # The first segment is full, so this opens the next one.
        log.append([replacement])
        files.crash(random.Random(1))
        again = SegmentedLog(FOLDER, files, SEGMENT_BYTES).load()
        self.assertEqual(again, [*RECORDS[:5], replacement])
