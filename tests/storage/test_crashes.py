"""Crashes and failures at each file operation of a member's disk.

They guard against a vote, a term or an entry that was answered and is
missing after a restart, and against going on after a failed write or sync.
"""

import errno
import random
import unittest
from collections.abc import Iterator
from pathlib import Path

from parameterized import parameterized

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
)
from goldcrestyard.consensus.disk import MemberDisk
from goldcrestyard.consensus.events import (
    SaveEffect,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    TruncateLog,
)
from goldcrestyard.consensus.log import Log
from goldcrestyard.consensus.messages import Entry, EntryKind, Snapshot
from goldcrestyard.consensus.saved import PersistentState
from goldcrestyard.core.ids import InstanceId, LogIndex, Term
from goldcrestyard.storage.exceptions import (
    CorruptFileError,
    CorruptLogError,
    DiskError,
)
from goldcrestyard.wire.codec import Codec
from tests.fakes.files import Crash, Fault, MemoryFiles
from tests.fakes.quiet_logs import quiet_logs

FOLDER = Path("/data")
INSTANCE = InstanceId("n0")
MEMBERS = Configuration((MemberRecord(MemberId("n0#1"), INSTANCE, "", True),))
GENESIS = Entry(Term(1), LogIndex(1), EntryKind.CONFIGURATION, b"", MEMBERS)


def commands(term: int, first: int, last: int) -> SaveEntries:
    return SaveEntries(
        tuple(
            Entry(Term(term), LogIndex(i), EntryKind.COMMAND, b"%d-%d" % (term, i))
            for i in range(first, last + 1)
        )
    )


def snapshot(term: int, index: int, *, replaces: bool) -> SaveSnapshot:
    taken = Snapshot(LogIndex(index), Term(term), MEMBERS, b"state %d" % index)
    return SaveSnapshot(taken, LogIndex(index + 1), replaces)


WORK: list[list[SaveEffect]] = [
    [SaveVote(Term(2), MemberId("n0#1"))],
    [commands(2, 2, 5)],
    [commands(2, 6, 9)],
    [commands(2, 10, 12)],
    [SaveVote(Term(3), None), TruncateLog(LogIndex(3)), commands(3, 3, 8)],
    [commands(3, 9, 12)],
    [snapshot(3, 8, replaces=False)],
    [commands(3, 13, 14)],
    [SaveVote(Term(4), MemberId("n1#1"))],
    [snapshot(4, 20, replaces=True)],
    [commands(4, 21, 23)],
    [snapshot(5, 22, replaces=True)],
    [commands(5, 23, 24)],
]


def disk_on(files: MemoryFiles) -> MemberDisk:
    codec = Codec()
    codec.register(Configuration)
    return MemberDisk(FOLDER, files, codec, segment_bytes=60)


def work(files: MemoryFiles) -> Iterator[int]:
    """Form a cluster and save everything; yield the number of steps done."""
    disk = disk_on(files)
    disk.load(INSTANCE)
    yield 0
    disk.bootstrap("cluster", GENESIS)
    for step, effects in enumerate(WORK, start=1):
        yield step
        disk.save(effects)
    yield len(WORK) + 1


def expected(steps: int) -> PersistentState:
    """Return the state after a number of steps."""
    if steps == 0:
        return PersistentState()
    term, voted_for = Term(1), None
    taken: Snapshot | None = None
    entries: list[Entry] = [GENESIS]
    for effects in WORK[: steps - 1]:
        for effect in effects:
            match effect:
                case SaveVote(term=term, voted_for=voted_for):
                    pass
                case SaveEntries(entries=saved):
                    entries.extend(saved)
                case TruncateLog(first_removed=first):
                    entries = [e for e in entries if e.index < first]
                case SaveSnapshot(snapshot=taken, replaces_log=replaces):
                    kept = [e for e in entries if e.index > taken.index]
                    entries = [] if replaces else kept
    return PersistentState(term, voted_for, taken, tuple(entries))


def count_operations() -> int:
    files = MemoryFiles()
    for _ in work(files):
        pass
    return len(files.operations)


OPERATIONS = range(1, count_operations() + 1)


class CrashTests(unittest.TestCase):
    """What a restart finds after the process ended at any operation."""

    def setUp(self) -> None:
        quiet_logs(self)

    @parameterized.expand(
        [(f"before_{n}", Fault(n, crash_before=True)) for n in OPERATIONS]
        + [(f"after_{n}", Fault(n, crash_after=True)) for n in OPERATIONS]
    )
    def test_acknowledged_state_survives(self, _: str, fault: Fault) -> None:
        for seed in range(3):
            files = MemoryFiles(fault)
            done = -1
            with self.assertRaises(Crash):
                for done in work(files):  # noqa: B007 - used below
                    pass
            files.crash(random.Random(seed))
            saved = disk_on(files).load(INSTANCE)
            self._check(saved, expected(max(done, 0)), expected(done + 1))
            self._check_usable(files, saved)

    def _check_usable(self, files: MemoryFiles, saved: PersistentState) -> None:
        """Check that the log can go on from what the crash has left."""
        disk = disk_on(files)
        self.assertEqual(disk.load(INSTANCE), saved)
        if not disk.cluster:
            return
        following = Log(saved.snapshot, saved.entries).last_index + 1
        added = commands(9, following, following)
        disk.save([added])
        again = disk_on(files).load(INSTANCE)
        self.assertEqual(again.entries, saved.entries + added.entries)

    def _check(
        self, saved: PersistentState, before: PersistentState, after: PersistentState
    ) -> None:
        votes = [(state.term, state.voted_for) for state in (before, after)]
        self.assertIn((saved.term, saved.voted_for), votes)
        self.assertIn(saved.snapshot, (before.snapshot, after.snapshot))
        log = Log(saved.snapshot, saved.entries)
        first_changed = min(
            [e.index for e in before.entries if e not in after.entries], default=None
        )
        for entry in before.entries:
            covered = entry.index <= log.base_index
            replaced = first_changed is not None and entry.index >= first_changed
            if not covered and not replaced:
                self.assertEqual(log.term_at(entry.index), entry.term)
        for entry in saved.entries:
            self.assertIn(entry, (*before.entries, *after.entries))

    @parameterized.expand(
        [
            (f"{name}_{n}", Fault(n, error=number))
            for n in OPERATIONS
            for name, number in (("full", errno.ENOSPC), ("sync", errno.EIO))
        ]
    )
    def test_failed_operation_is_reported(self, _: str, fault: Fault) -> None:
        with self.assertRaises(DiskError):
            for _step in work(MemoryFiles(fault)):
                pass


class DamageTests(unittest.TestCase):
    """Starting on a damaged or incomplete folder."""

    def setUp(self) -> None:
        quiet_logs(self)
        self.files = MemoryFiles()
        for _ in work(self.files):
            pass

    @parameterized.expand([("vote", "vote"), ("snapshot", "snapshot")])
    def test_damaged_file_is_an_error(self, _: str, name: str) -> None:
        path = FOLDER / name
        for position in range(self.files.size(path)):
            self.files.flip(path, position)
            with self.assertRaises(CorruptFileError):
                disk_on(self.files).load(INSTANCE)
            self.files.flip(path, position)
        disk_on(self.files).load(INSTANCE)

    def test_lost_log_is_an_error(self) -> None:
        for path in self.files.paths():
            if path.name != "vote":
                self.files.remove(path)
        with self.assertRaises(CorruptLogError):
            disk_on(self.files).load(INSTANCE)

    def test_lost_snapshot_is_an_error(self) -> None:
        self.files.remove(FOLDER / "snapshot")
        with self.assertRaises(CorruptLogError):
            disk_on(self.files).load(INSTANCE)

    def test_lost_vote_file_makes_another_member(self) -> None:
        before = disk_on(self.files)
        before.load(INSTANCE)
        self.files.remove(FOLDER / "vote")
        after = disk_on(self.files)
        saved = after.load(INSTANCE)
        self.assertNotEqual(after.member_id, before.member_id)
        self.assertEqual(saved, PersistentState())
        self.assertEqual(after.cluster, "")
        after.bootstrap("other", GENESIS)
        self.assertEqual(disk_on(self.files).load(INSTANCE).entries, (GENESIS,))
