"""Tests of the file operations on a real disk.

They guard against a difference between the files in memory, on which the
other tests rest, and those on disk, and against two processes on one folder.
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
from tests.storage.test_crashes import GENESIS, WORK, expected


class DiskFilesTests(unittest.TestCase):
    """Guards the operations as the operating system performs them."""

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
        disk.bootstrap("cluster", GENESIS)
        for effects in WORK:
            disk.save(effects)
        disk.close()
        again = self._disk()
        self.assertEqual(again.load(InstanceId("n0")), expected(len(WORK) + 1))
        self.assertEqual(again.member_id, disk.member_id)
        again.close()

    def test_folder_is_used_by_one_process(self) -> None:
        self.folder.mkdir()
        held = FolderLock(self.folder)
        with self.assertRaises(FolderInUseError):
            FolderLock(self.folder)
        held.close()
        FolderLock(self.folder).close()
