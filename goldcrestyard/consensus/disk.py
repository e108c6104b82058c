"""Durable state of a control member: identity, term, vote, log, snapshot."""

import secrets
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import structlog

from goldcrestyard.consensus.configuration import Configuration, MemberId
from goldcrestyard.consensus.events import (
    SaveEffect,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    TruncateLog,
)
from goldcrestyard.consensus.messages import Entry, EntryKind, Snapshot
from goldcrestyard.consensus.persistent_state import Founding, PersistentState
from goldcrestyard.core.ids import InstanceId, LogIndex, Term
from goldcrestyard.storage.exceptions import CorruptLogError, DiskError
from goldcrestyard.storage.files import Files
from goldcrestyard.storage.log_segments import (
    SEGMENT_BYTES,
    LogRecord,
    Rewrite,
    SegmentedLog,
)
from goldcrestyard.storage.snapshots import SnapshotFile, SnapshotRecord
from goldcrestyard.storage.vote_file import VoteFile, VoteRecord
from goldcrestyard.wire.codec import Codec, CodecError

logger = structlog.get_logger(__name__)

FIRST_LOG_INDEX = LogIndex(1)

_ENTRY_KINDS = (EntryKind.COMMAND, EntryKind.NO_OP, EntryKind.CONFIGURATION)
"""Entry kinds in their stored order.  A record holds the position of its kind
in this tuple, so new kinds are only appended."""


class MemberDisk:
    """Persists and loads the Raft state of a member in a data folder.

    Methods block until the data is durable.  After a ``DiskError`` the state
    must be loaded again, since it is not known which of the failed writes
    reached the disk.
    """

    def __init__(
        self,
        folder: Path,
        files: Files,
        codec: Codec,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._files = files
        self._codec = codec
        self._vote_file = VoteFile(folder, files)
        self._snapshot_file = SnapshotFile(folder, files)
        self._segment_bytes = segment_bytes
        self._log = SegmentedLog(folder / "log", files, segment_bytes)
        self._vote = VoteRecord("")
        # Whether the log's segments are all known.
        self._is_loaded = False
        self._rewrite = Rewrite.IF_ROOM
        self.was_empty: bool | None = None
        """Whether the disk held no state of a cluster when it was first
        loaded; None before that."""

    @property
    def cut_bytes(self) -> int:
        """Size of the torn write that the latest ``load`` has removed."""
        return self._log.cut_bytes

    @property
    def member_id(self) -> MemberId:
        """Id of the member, stored on this disk; empty before ``load``."""
        return MemberId(self._vote.member)

    @property
    def cluster(self) -> str:
        """Id of the cluster that the member belongs to; empty if none."""
        return self._vote.cluster

    def load(
        self, instance: InstanceId, founding: Founding | None = None
    ) -> PersistentState:
        """Load the stored state, or set up an empty disk.

        An empty disk begins with ``founding``, if that is given.  Otherwise,
        like one without a vote file, it gets a new member id on ``instance``.
        After a ``DiskError`` the state is loaded that was durable before it: a
        record that was written but not synced may be readable now and be lost
        at the next power failure, so the remains of failed writes are removed
        first.

        Raises ``CorruptLogError`` or ``CorruptFileError`` if the stored state
        is damaged or incomplete, and ``DiskError`` or ``OSError`` if the disk
        fails.
        """
        self._files.close()
        if self._is_loaded:
            self._log.discard_failed_writes()
        self._is_loaded = False
        if self._log.sync_failed:
            self._rewrite = Rewrite.ALWAYS
        self._log = SegmentedLog(self._folder / "log", self._files, self._segment_bytes)
        self._files.make_folder(self._folder / "log")
        # A partial snapshot may take the room that the vote needs.
        self._snapshot_file.discard_failed_write()
        self._vote_file.discard_failed_write()
        vote = self._vote_file.read()
        if vote is None and self._vote.member:
            raise CorruptLogError(f"{self._folder}: the vote file has disappeared.")
        if vote is None:
            state = self._initialise(instance, founding)
        else:
            if self._vote.member:
                # The rename by a failed write may not be durable yet.  A vote
                # in it was not sent, so either record may be kept.
                self._write_vote(vote)
            self._vote = vote
            state = self._load_log(vote)
        self._make_durable()
        self._is_loaded = True
        if self.was_empty is None:
            self.was_empty = not self.cluster
        if (
            founding is not None
            and not self.cluster
            and self.member_id == founding.member
        ):
            # The member id is stored first: after a crash before the cluster
            # is, the founding is repeated with the same id.
            state = self.bootstrap(founding.cluster, founding.entry)
        return state

    def _make_durable(self) -> None:
        """Make durable what was loaded, since the member answers by it."""
        self._log.make_durable(self._rewrite)
        self._rewrite = Rewrite.NONE
        try:
            self._files.sync_folder(self._folder)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def _load_log(self, vote: VoteRecord) -> PersistentState:
        snapshot = self._read_snapshot()
        records = self._log.load()
        if not vote.cluster:
            # A crash interrupted the bootstrap of the cluster.
            self._log.restart_at(FIRST_LOG_INDEX)
            return PersistentState()
        if not self._files.list_names(self._folder / "log") and snapshot is None:
            raise CorruptLogError(
                f"{self._folder}: there is a vote file but no log. Move the "
                "folder aside and replace this member from the others."
            )
        entries = self._entries_after_snapshot(
            snapshot, [self._to_entry(record) for record in records]
        )
        return PersistentState(
            Term(vote.term),
            MemberId(vote.voted_for) if vote.voted_for is not None else None,
            snapshot,
            entries,
        )

    def bootstrap(self, cluster: str, entry: Entry) -> PersistentState:
        """Store the first log entry and the id of a new cluster.

        The entry is written before the cluster id: a crash in between leaves
        the member without a cluster, and the bootstrap is repeated.
        """
        self._log.append([self._to_record(entry)])
        self._write_vote(replace(self._vote, cluster=cluster, term=int(entry.term)))
        return PersistentState(entry.term, None, None, (entry,))

    def join(self, cluster: str) -> None:
        """Store the id of the cluster that the member now belongs to."""
        self._write_vote(replace(self._vote, cluster=cluster))

    def save(self, effects: Iterable[SaveEffect]) -> None:
        """Make effects durable in their order; write the term and vote last.

        Consecutive entries are written with one sync.
        """
        vote: VoteRecord | None = None
        entries: list[LogRecord] = []
        for effect in effects:
            match effect:
                case SaveVote(term=term, voted_for=voted_for):
                    vote = replace(self._vote, term=int(term), voted_for=voted_for)
                case SaveEntries(entries=saved):
                    entries.extend(self._to_record(entry) for entry in saved)
                case TruncateLog(first_removed=first_removed):
                    self._log.append(entries)
                    entries.clear()
                    self._log.truncate_from(first_removed)
                case SaveSnapshot():
                    self._log.append(entries)
                    entries.clear()
                    self._save_snapshot(effect)
        self._log.append(entries)
        if vote is not None:
            self._write_vote(vote)

    def close(self) -> None:
        """Close all open files."""
        self._files.close()

    def _initialise(
        self, instance: InstanceId, founding: Founding | None
    ) -> PersistentState:
        """Set up an empty disk.

        A log without its vote file is moved aside and not used: the member
        may have voted or acknowledged entries without a record of it.  For the
        same reason it is no founder any more.
        """
        had_log = self._set_aside_orphaned_log()
        self._log.restart_at(FIRST_LOG_INDEX)
        member = MemberId(f"{instance}#{secrets.token_hex(4)}")
        if founding is not None and not had_log:
            member = founding.member
        self._write_vote(VoteRecord(member))
        return PersistentState()

    def _set_aside_orphaned_log(self) -> bool:
        """Move a log without its vote file aside; return whether one was."""
        log_folder = self._folder / "log"
        found: list[Path] = []
        for path in [log_folder / name for name in self._files.list_names(log_folder)]:
            if self._files.read(path):
                found.append(path)
            else:
                # An empty segment, left by a crash during the set-up.
                self._files.remove(path)
        if "snapshot" in self._files.list_names(self._folder):
            found.append(self._folder / "snapshot")
        if not found:
            return False
        set_aside_folder = self._folder / f"set-aside-{secrets.token_hex(4)}"
        logger.warning(
            "log without vote file moved aside, new member id assigned",
            folder=str(set_aside_folder),
        )
        self._files.make_folder(set_aside_folder)
        for path in found:
            self._files.replace(path, set_aside_folder / path.name)
        self._files.sync_folder(set_aside_folder)
        self._files.sync_folder(log_folder)
        self._files.sync_folder(self._folder)
        return True

    def _write_vote(self, vote: VoteRecord) -> None:
        self._vote_file.write(vote)
        self._vote = vote

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        snapshot = effect.snapshot
        self._snapshot_file.write(
            SnapshotRecord(
                snapshot.index,
                snapshot.term,
                self._codec.encode(snapshot.configuration),
                snapshot.data,
            )
        )
        if effect.replaces_log:
            self._log.restart_at(effect.first_kept)
        else:
            self._log.truncate_before(effect.first_kept)

    def _read_snapshot(self) -> Snapshot | None:
        record = self._snapshot_file.read()
        if record is None:
            return None
        configuration = self._decode_configuration(record.configuration)
        return Snapshot(record.index, record.term, configuration, record.data)

    def _decode_configuration(self, data: bytes) -> Configuration:
        try:
            configuration = self._codec.decode(data)
        except CodecError as error:
            raise CorruptLogError(f"{self._folder}: {error}") from error
        if not isinstance(configuration, Configuration):
            raise CorruptLogError(f"{self._folder}: a configuration has another type.")
        return configuration

    def _entries_after_snapshot(
        self, snapshot: Snapshot | None, entries: list[Entry]
    ) -> tuple[Entry, ...]:
        """Return the entries after the snapshot.

        Removes the stored log if it does not continue the snapshot.
        """
        base = snapshot.index if snapshot is not None else LogIndex(0)
        if entries and entries[0].index > base + 1:
            raise CorruptLogError(
                f"{self._folder}: entries {base + 1} to {entries[0].index - 1} are "
                "missing. Replace this member from the others."
            )
        kept = tuple(entry for entry in entries if entry.index > base)
        if snapshot is None:
            return kept
        at_base = [entry for entry in entries if entry.index == base]
        conflicts = bool(at_base) and at_base[0].term != snapshot.term
        behind = not entries or entries[-1].index < base
        if behind or conflicts:
            # A crash interrupted the removal of the log that the snapshot
            # replaces.
            self._log.restart_at(LogIndex(base + 1))
            return ()
        return kept

    def _to_record(self, entry: Entry) -> LogRecord:
        payload = entry.payload
        if entry.configuration is not None:
            payload = self._codec.encode(entry.configuration)
        return LogRecord(
            entry.term, entry.index, _ENTRY_KINDS.index(entry.kind), payload
        )

    def _to_entry(self, record: LogRecord) -> Entry:
        if record.kind >= len(_ENTRY_KINDS):
            raise CorruptLogError(
                f"{self._folder}: entry {record.index} is of an unknown kind."
            )
        kind = _ENTRY_KINDS[record.kind]
        if kind is EntryKind.CONFIGURATION:
            configuration = self._decode_configuration(record.payload)
            return Entry(record.term, record.index, kind, b"", configuration)
        return Entry(record.term, record.index, kind, record.payload)
