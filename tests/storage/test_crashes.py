"""Tests of ``MemberDisk`` with a crash or an error at each file operation.

They guard against a vote, a term or an entry that was acknowledged and is
missing after a restart, and against continuing after a failed write or sync.
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
from goldcrestyard.consensus.persistent_state import PersistentState
from goldcrestyard.core.ids import InstanceId, LogIndex, Term
from goldcrestyard.storage.atomic_file import AtomicFile
from goldcrestyard.storage.exceptions import (
    CorruptFileError,
    CorruptLogError,
    DiskError,
    StorageError,
)
from goldcrestyard.storage.log_segments import LogRecord, SegmentedLog
from goldcrestyard.wire.codec import Codec
from tests.fakes.files import Crash, Fault, MemoryFiles
from tests.fakes.quiet_logs import quiet_logs

FOLDER = Path("/data")
INSTANCE = InstanceId("n0")
MEMBERS = Configuration((MemberRecord(MemberId("n0#1"), INSTANCE, "", True),))
FIRST_ENTRY = Entry(Term(1), LogIndex(1), EntryKind.CONFIGURATION, b"", MEMBERS)


def save_commands(term: int, first: int, last: int) -> SaveEntries:
    return SaveEntries(
        tuple(
            Entry(Term(term), LogIndex(i), EntryKind.COMMAND, b"%d-%d" % (term, i))
            for i in range(first, last + 1)
        )
    )


def save_snapshot(term: int, index: int, *, replaces: bool) -> SaveSnapshot:
    saved_snapshot = Snapshot(LogIndex(index), Term(term), MEMBERS, b"state %d" % index)
    return SaveSnapshot(saved_snapshot, LogIndex(index + 1), replaces)


STEPS: list[list[SaveEffect]] = [
    [SaveVote(Term(2), MemberId("n0#1"))],
    [save_commands(2, 2, 5)],
    [save_commands(2, 6, 9)],
    [save_commands(2, 10, 12)],
    [SaveVote(Term(3), None), TruncateLog(LogIndex(3)), save_commands(3, 3, 8)],
    [save_commands(3, 9, 12)],
    [save_snapshot(3, 8, replaces=False)],
    [save_commands(3, 13, 14)],
    [SaveVote(Term(4), MemberId("n1#1"))],
    [save_snapshot(4, 20, replaces=True)],
    [save_commands(4, 21, 23)],
    [save_snapshot(5, 22, replaces=True)],
    [save_commands(5, 23, 24)],
]
"""Effects saved one after the other; each inner list is one ``save``."""


def open_disk(files: MemoryFiles) -> MemberDisk:
    codec = Codec()
    codec.register(Configuration)
    return MemberDisk(FOLDER, files, codec, segment_bytes=60)


def run_steps(files: MemoryFiles, disk: MemberDisk | None = None) -> Iterator[int]:
    """Run all steps of ``STEPS``; yield the number of durable steps.

    The bootstrap of the cluster is the first step.
    """
    disk = disk or open_disk(files)
    disk.load(INSTANCE)
    yield 0
    disk.bootstrap("cluster", FIRST_ENTRY)
    for step, effects in enumerate(STEPS, start=1):
        yield step
        disk.save(effects)
    yield len(STEPS) + 1


def expected_state(steps: int) -> PersistentState:
    """Return the state that is durable after a number of steps."""
    if steps == 0:
        return PersistentState()
    term, voted_for = Term(1), None
    saved_snapshot: Snapshot | None = None
    entries: list[Entry] = [FIRST_ENTRY]
    for effects in STEPS[: steps - 1]:
        for effect in effects:
            match effect:
                case SaveVote(term=term, voted_for=voted_for):
                    pass
                case SaveEntries(entries=saved):
                    entries.extend(saved)
                case TruncateLog(first_removed=first):
                    entries = [e for e in entries if e.index < first]
                case SaveSnapshot(snapshot=saved_snapshot, replaces_log=replaces):
                    kept = [e for e in entries if e.index > saved_snapshot.index]
                    entries = [] if replaces else kept
    return PersistentState(term, voted_for, saved_snapshot, tuple(entries))


def count_operations() -> int:
    files = MemoryFiles()
    for _ in run_steps(files):
        pass
    return len(files.operations)


OPERATIONS = range(1, count_operations() + 1)


class CrashTests(unittest.TestCase):
    """Restart after a crash before or after any operation."""

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
                for done in run_steps(files):  # noqa: B007 - used below
                    pass
            files.crash(random.Random(seed))
            saved = open_disk(files).load(INSTANCE)
            self._check_recovered_state(
                saved, expected_state(max(done, 0)), expected_state(done + 1)
            )
            self._check_usable(files, saved)

    @parameterized.expand(
        [(f"before_{n}", Fault(n, crash_before=True)) for n in OPERATIONS]
        + [(f"after_{n}", Fault(n, crash_after=True)) for n in OPERATIONS]
    )
    def test_state_loaded_after_a_kill_survives_a_power_failure(
        self, _: str, fault: Fault
    ) -> None:
        """Guards against acknowledging what a killed process did not sync.

        A restarted process reads it from the page cache, answers on the
        strength of it, and loses it with the power.
        """
        for seed in range(3):
            files = MemoryFiles(fault)
            with self.assertRaises(Crash):
                for _step in run_steps(files):
                    pass
            files.fault = None
            saved = open_disk(files).load(INSTANCE)
            files.crash(random.Random(seed))
            self.assertEqual(open_disk(files).load(INSTANCE), saved)

    @parameterized.expand(
        [
            (f"{name}_{n}", Fault(n, crash_before=True), restarted)
            for n in OPERATIONS
            for name, restarted in (("loaded_again", False), ("restarted", True))
        ]
    )
    def test_state_loaded_after_a_failed_sync_survives_a_power_failure(
        self, _: str, kill: Fault, restarted: bool
    ) -> None:
        """Guards against the trust in a second sync after one has failed.

        The system drops what it could not write, so that a second sync of the
        same file succeeds although the data is not on the disk.
        """
        killed = MemoryFiles(kill)
        with self.assertRaises(Crash):
            for _step in run_steps(killed):
                pass
        intact = killed.after_kill()
        first = len(intact.operations)
        open_disk(intact).load(INSTANCE)
        for operation in range(first + 1, len(intact.operations) + 1):
            files = killed.after_kill()
            files.fault = Fault(operation, error=errno.EIO)
            disk = open_disk(files)
            with self.assertRaises((DiskError, OSError)):
                disk.load(INSTANCE)
            disk = open_disk(files) if restarted else disk
            saved = disk.load(INSTANCE)
            files.crash(random.Random(operation))
            self.assertEqual(open_disk(files).load(INSTANCE), saved)

    @parameterized.expand([("no_room", 0), ("too_little_room", 10)])
    def test_state_is_loaded_from_a_full_disk(self, _: str, room: int) -> None:
        """Guards against a member that needs room for its log to start.

        If all disks of a cluster are full, none could free any.
        """
        files = MemoryFiles()
        for _step in run_steps(files):
            pass
        saved = open_disk(files).load(INSTANCE)
        paths = files.paths()
        files.capacity = files.used + room
        self.assertEqual(open_disk(files).load(INSTANCE), saved)
        self.assertEqual(files.paths(), paths)

    def _check_usable(self, files: MemoryFiles, saved: PersistentState) -> None:
        """Check that entries can be appended after the restart."""
        disk = open_disk(files)
        self.assertEqual(disk.load(INSTANCE), saved)
        if not disk.cluster:
            return
        following = Log(saved.snapshot, saved.entries).last_index + 1
        added = save_commands(9, following, following)
        disk.save([added])
        again = open_disk(files).load(INSTANCE)
        self.assertEqual(again.entries, saved.entries + added.entries)

    def _check_recovered_state(
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
            for _step in run_steps(MemoryFiles(fault)):
                pass

    @parameterized.expand(
        [
            (f"{name}_{n}", Fault(n, error=number, lasting=lasting))
            for n in OPERATIONS
            for name, number, lasting in (
                ("full", errno.ENOSPC, True),
                ("once", errno.EIO, False),
            )
        ]
    )
    def test_state_loaded_after_a_failure_is_durable(
        self, _: str, fault: Fault
    ) -> None:
        """Guards against records that can be read but were never synced.

        A member acknowledges what it has loaded, so a power loss right after
        the load must not take any of it away.
        """
        files = MemoryFiles(fault)
        disk = open_disk(files)
        done = -1
        with self.assertRaises(DiskError):
            for done in run_steps(files, disk):  # noqa: B007 - used below
                pass
        for _try in range(2 if fault.lasting else 0):
            with self.assertRaises((DiskError, OSError)):
                disk.load(INSTANCE)
        files.fault = None
        saved = disk.load(INSTANCE)
        self._check_recovered_state(
            saved, expected_state(max(done, 0)), expected_state(done + 1)
        )
        for seed in range(3):
            files.crash(random.Random(seed))
            self.assertEqual(open_disk(files).load(INSTANCE), saved)
        self._check_usable(files, saved)


class DamageTests(unittest.TestCase):
    """Start on a damaged or incomplete data folder."""

    def setUp(self) -> None:
        quiet_logs(self)
        self.files = MemoryFiles()
        for _ in run_steps(self.files):
            pass

    @parameterized.expand([("vote", "vote"), ("snapshot", "snapshot")])
    def test_damaged_file_is_an_error(self, _: str, name: str) -> None:
        path = FOLDER / name
        for position in range(self.files.size(path)):
            self.files.flip_bit(path, position)
            with self.assertRaises(CorruptFileError):
                open_disk(self.files).load(INSTANCE)
            self.files.flip_bit(path, position)
        open_disk(self.files).load(INSTANCE)

    @parameterized.expand(
        [
            ("vote_of_another_type", "vote", b'{"member":7}'),
            ("vote_nested_deeply", "vote", b"[" * 100_000),
            ("vote_that_is_no_text", "vote", b"\xff"),
            ("snapshot_without_header", "snapshot", b"short"),
            ("snapshot_without_configuration", "snapshot", bytes(20)),
        ]
    )
    def test_intact_file_with_odd_content(
        self, _: str, name: str, content: bytes
    ) -> None:
        """Guards against a file of another writer that is not told as such."""
        AtomicFile(FOLDER / name, self.files).write(content)
        with self.assertRaises(StorageError):
            open_disk(self.files).load(INSTANCE)

    @parameterized.expand([("unknown_kind", 9, b""), ("configuration", 2, b"\xff")])
    def test_intact_record_with_odd_content(
        self, _: str, kind: int, payload: bytes
    ) -> None:
        record = LogRecord(Term(5), LogIndex(25), kind, payload)
        log = SegmentedLog(FOLDER / "log", self.files, 60)
        log.load()
        log.append([record])
        with self.assertRaises(CorruptLogError):
            open_disk(self.files).load(INSTANCE)

    @parameterized.expand([("word", "old"), ("superscript", "\u00b2"), ("sign", "-1")])
    def test_segment_with_odd_name(self, _: str, name: str) -> None:
        self.files.append(FOLDER / "log" / f"{name}.log", b"")
        with self.assertRaises(CorruptLogError):
            open_disk(self.files).load(INSTANCE)

    def test_lost_log_is_an_error(self) -> None:
        for path in self.files.paths():
            if path.name != "vote":
                self.files.remove(path)
        with self.assertRaises(CorruptLogError):
            open_disk(self.files).load(INSTANCE)

    def test_lost_snapshot_is_an_error(self) -> None:
        self.files.remove(FOLDER / "snapshot")
        with self.assertRaises(CorruptLogError):
            open_disk(self.files).load(INSTANCE)

    def test_lost_vote_file_makes_another_member(self) -> None:
        before = open_disk(self.files)
        before.load(INSTANCE)
        self.files.remove(FOLDER / "vote")
        after = open_disk(self.files)
        saved = after.load(INSTANCE)
        self.assertNotEqual(after.member_id, before.member_id)
        self.assertEqual(saved, PersistentState())
        self.assertEqual(after.cluster, "")
        after.bootstrap("other", FIRST_ENTRY)
        self.assertEqual(open_disk(self.files).load(INSTANCE).entries, (FIRST_ENTRY,))
