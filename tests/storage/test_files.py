"""Tests of the file operations on a real disk.

The other tests use in-memory files.  These guard against a difference
between those and ``DiskFiles``, and against two processes on one data folder.
"""

import tempfile
import unittest
from pathlib import Path

from goldcrestyard.consensus.configuration import Configuration
from goldcrestyard.consensus.disk import MemberDisk
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.storage.exceptions import FolderInUseError
from goldcrestyard.storage.files import DiskFiles
from goldcrestyard.storage.folder_lock import FolderLock
from goldcrestyard.wire.codec import Codec
from tests.storage.test_crashes import FIRST_ENTRY, STEPS, expected_state


class DiskFilesTests(unittest.TestCase):
    """File operations and the folder lock, performed by the real system."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def _disk(self) -> MemberDisk:
        codec = Codec()
        codec.register(Configuration)
        return MemberDisk(self.folder, DiskFiles(), codec, segment_bytes=120)

    def test_everything_is_read_back(self) -> None:
        disk = self._disk()
        disk.load(InstanceId("n0"))
        disk.bootstrap("cluster", FIRST_ENTRY)
        for effects in STEPS:
            disk.save(effects)
        disk.close()
        again = self._disk()
        self.assertEqual(again.load(InstanceId("n0")), expected_state(len(STEPS) + 1))
        self.assertEqual(again.member_id, disk.member_id)
        again.close()

    def test_folder_is_used_by_one_process(self) -> None:
        self.folder.mkdir()
        held = FolderLock(self.folder)
        with self.assertRaises(FolderInUseError):
            FolderLock(self.folder)
        held.close()
        FolderLock(self.folder).close()
