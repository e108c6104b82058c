"""Tests of the content-addressed storage of bodies.

They guard against damaged bodies that are returned, needed bodies that are
deleted, and expired bodies that are never deleted.
"""

import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

from parameterized import parameterized

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.storage.bodies import FOLDER_COUNT, BodyFiles, digest_of
from goldcrestyard.storage.exceptions import DiskError

BODY = b"sample"
DIGEST = digest_of(BODY)


@dataclass(frozen=True)
class SweepCase:
    """A clean-up at ``now``; ``left``: the body kept until 100 remains."""

    name: str
    now: float
    keep: frozenset[BodyDigest]
    left: bool


SWEEP_CASES = [
    SweepCase("in_time", 99.0, frozenset(), True),
    SweepCase("time_over", 101.0, frozenset(), False),
    SweepCase("time_over_but_referenced", 101.0, frozenset([DIGEST]), True),
    SweepCase("another_is_referenced", 101.0, frozenset([digest_of(b"x")]), False),
]


class BodyFilesTests(unittest.TestCase):
    """Storage and removal of bodies."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.files = BodyFiles(self.folder / "bodies")

    def path(self) -> Path:
        """Return the path of the stored body."""
        return next((self.folder / "bodies").glob("*/" + DIGEST))

    def test_body_comes_back_from_another_process(self) -> None:
        self.assertEqual(self.files.put(BODY, 100.0), DIGEST)
        self.assertEqual(BodyFiles(self.folder / "bodies").get(DIGEST), BODY)
        self.assertIsNone(self.files.get(digest_of(b"other")))

    @parameterized.expand([("changed", b"sAmple"), ("cut", b"sam"), ("empty", b"")])
    def test_damaged_body_is_absent_until_stored_again(
        self, _: str, damaged: bytes
    ) -> None:
        self.files.put(BODY, 100.0)
        self.path().write_bytes(damaged)
        self.assertIsNone(self.files.get(DIGEST))
        self.files.put(BODY, 100.0)
        self.assertEqual(self.files.get(DIGEST), BODY)

    @parameterized.expand([(case.name, case) for case in SWEEP_CASES])
    def test_sweep(self, _: str, case: SweepCase) -> None:
        self.files.put(BODY, 100.0)
        self.files.sweep(case.now, case.keep, FOLDER_COUNT)
        self.assertEqual(self.files.get(DIGEST) is not None, case.left)

    @parameterized.expand([("longer", 200.0, True), ("shorter", 50.0, True)])
    def test_second_put_never_shortens_the_time(
        self, _: str, keep_until: float, left: bool
    ) -> None:
        self.files.put(BODY, 100.0)
        self.files.put(BODY, keep_until)
        self.files.sweep(99.0, frozenset(), FOLDER_COUNT)
        self.assertEqual(self.files.get(DIGEST) is not None, left)

    def test_sweep_is_bounded_and_goes_on_where_it_stopped(self) -> None:
        for number in range(64):
            self.files.put(str(number).encode(), 100.0)
        sizes = [len(self.files.sweep(101.0, (), 16)) for _ in range(16)]
        self.assertEqual(sum(sizes), 64)
        self.assertLess(max(sizes), 64)

    def test_failed_write_is_reported_and_leaves_no_file(self) -> None:
        (self.folder / "bodies").write_text("a file where the folder should be")
        with self.assertRaises(DiskError):
            self.files.put(BODY, 100.0)

    def test_missing_bodies_are_named(self) -> None:
        self.files.put(BODY, 100.0)
        absent = [digest_of(str(number).encode()) for number in range(3)]
        self.assertEqual(self.files.missing([DIGEST, *absent], 2), absent[:2])
