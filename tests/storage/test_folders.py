"""Tests of folders and files whose names must survive a power failure.

They record which folders are synced, since a real disk keeps the names
anyway as long as it has power.
"""

import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

from parameterized import parameterized

from goldcrestyard.storage.bodies import BodyStore, compute_digest
from goldcrestyard.storage.files import DiskFiles
from tests.fakes.member_network import MemberNetwork
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

BODY = b"sample"


def put_body(folder: Path) -> None:
    BodyStore(folder).put(BODY, 100.0)


def make_folder(folder: Path) -> None:
    DiskFiles().make_folder(folder)


class FolderTests(PausedClockTestCase):
    """Guards against losing a folder with all that was acknowledged in it."""

    def setUp(self) -> None:
        quiet_logs(self)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.synced: list[Path] = []
        self.killed_at: Path | None = None
        self.unreadable: Path | None = None
        self.enterContext(patch("os.fsync", self._sync))

    def _sync(self, descriptor: int) -> None:
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path == self.killed_at:
            raise KeyboardInterrupt
        if path == self.unreadable:
            raise PermissionError
        self.synced.append(path)

    @parameterized.expand(
        [
            ("files", make_folder, False),
            ("bodies", put_body, False),
            ("files_after_a_kill", make_folder, True),
            ("bodies_after_a_kill", put_body, True),
        ]
    )
    def test_parents_of_new_folders_are_synced(
        self, _: str, create: Callable[[Path], None], killed: bool
    ) -> None:
        """A killed process may have created folders without a sync."""
        if killed:
            self.killed_at = self.folder / "a"
            self.assertRaises(KeyboardInterrupt, create, self.folder / "a" / "b")
            self.killed_at = None
            self.synced.clear()
        create(self.folder / "a" / "b")
        self.assertLessEqual({self.folder, self.folder / "a"}, set(self.synced))

    @parameterized.expand([("exists", True), ("new", False)])
    def test_parent_that_this_process_may_not_read(self, _: str, exists: bool) -> None:
        """Guards against a member that cannot start below such a folder."""
        folder = self.folder / "a"
        if exists:
            folder.mkdir()
        self.unreadable = self.folder
        if exists:
            make_folder(folder)
        else:
            self.assertRaises(PermissionError, make_folder, folder)

    @parameterized.expand([("folder", "bodies"), ("body", None)])
    def test_folder_of_a_body_is_synced_after_a_kill(
        self, _: str, killed_at: str | None
    ) -> None:
        """Guards against the loss of a folder that an earlier process made."""
        bodies = self.folder / "bodies"
        if killed_at is None:
            put_body(bodies)
        else:
            self.killed_at = bodies
            self.assertRaises(KeyboardInterrupt, put_body, bodies)
        self.killed_at = None
        self.synced.clear()
        put_body(bodies)
        self.assertIn(bodies, self.synced)

    def test_folders_of_a_store_are_synced_once(self) -> None:
        """Guards against a sync of each parent for each body."""
        store = BodyStore(self.folder)
        store.put(BODY, 100.0)
        self.synced.clear()
        store.put(BODY, 200.0)
        self.assertEqual([self.folder / compute_digest(BODY)[:2]], self.synced)

    async def test_data_folder_of_a_member_is_synced(self) -> None:
        network = MemberNetwork(["a", "b", "c"], self.clock())
        self.addAsyncCleanup(network.close)
        await network.start("a")
        self.assertIn(Path(network._folder.name), self.synced)

    def test_body_of_a_killed_process_is_synced_when_it_is_stored_again(self) -> None:
        """Guards against acknowledging a file whose name may vanish."""
        parent = self.folder / compute_digest(BODY)[:2]
        self.killed_at = parent
        self.assertRaises(KeyboardInterrupt, put_body, self.folder)
        self.killed_at = None
        put_body(self.folder)
        self.assertIn(parent, self.synced)
