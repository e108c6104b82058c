"""A member's durable state: identity, vote, log and snapshot."""

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
from goldcrestyard.consensus.saved import SavedState
from goldcrestyard.core.ids import InstanceId, LogIndex, Term
from goldcrestyard.storage.exceptions import CorruptLogError
from goldcrestyard.storage.files import Files
from goldcrestyard.storage.log_segments import (
    SEGMENT_BYTES,
    LogRecord,
    SegmentedLog,
)
from goldcrestyard.storage.snapshots import SnapshotFile, SnapshotRecord
from goldcrestyard.storage.vote_file import VoteFile, VoteRecord
from goldcrestyard.wire.codec import Codec

logger = structlog.get_logger(__name__)

FIRST_LOG_INDEX = LogIndex(1)

_KINDS = (EntryKind.COMMAND, EntryKind.NO_OP, EntryKind.CONFIGURATION)
"""By the number under which a kind is stored; only append to it."""


class MemberDisk:
    """Synchronous; after a ``DiskError`` it must not be used again."""

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
        self._log = SegmentedLog(folder / "log", files, segment_bytes)
        self._vote = VoteRecord("")

    @property
    def member_id(self) -> MemberId:
        """The identity that this disk gives the member."""
        return MemberId(self._vote.member)

    @property
    def cluster(self) -> str:
        """The cluster that the member belongs to; empty if none yet."""
        return self._vote.cluster

    def load(self, instance: InstanceId) -> SavedState:
        """Read everything; draw a new identity if the disk has none."""
        self._files.make_folder(self._folder / "log")
        vote = self._vote_file.read()
        if vote is None:
            return self._create(instance)
        self._vote = vote
        snapshot = self._read_snapshot()
        records = self._log.load()
        if not vote.cluster:
            # A crash interrupted the formation of the cluster.
            self._log.restart_at(FIRST_LOG_INDEX)
            return SavedState()
        if not self._files.names(self._folder / "log") and snapshot is None:
            raise CorruptLogError(
                f"{self._folder}: there is a vote file but no log. Move the "
                "folder aside and replace this member from the others."
            )
        entries = self._entries_after_snapshot(
            snapshot, [self._to_entry(record) for record in records]
        )
        return SavedState(
            Term(vote.term),
            MemberId(vote.voted_for) if vote.voted_for is not None else None,
            snapshot,
            entries,
        )

    def bootstrap(self, cluster: str, entry: Entry) -> SavedState:
        """Become the first member of a new cluster."""
        self._log.append([self._to_record(entry)])
        self._write_vote(replace(self._vote, cluster=cluster, term=int(entry.term)))
        return SavedState(entry.term, None, None, (entry,))

    def join(self, cluster: str) -> None:
        """Belong to a cluster from now on."""
        self._write_vote(replace(self._vote, cluster=cluster))

    def save(self, effects: Iterable[SaveEffect]) -> None:
        """Make effects durable, in their order."""
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
        """Close all files."""
        self._files.close()

    def _create(self, instance: InstanceId) -> SavedState:
        """Set up an empty disk.

        A log without its vote file is set aside: the member may have voted
        and acknowledged entries that it can no longer vouch for.
        """
        self._set_aside()
        self._log.restart_at(FIRST_LOG_INDEX)
        self._write_vote(VoteRecord(f"{instance}#{secrets.token_hex(4)}"))
        return SavedState()

    def _set_aside(self) -> None:
        log_folder = self._folder / "log"
        found: list[Path] = []
        for path in [log_folder / name for name in self._files.names(log_folder)]:
            if self._files.read(path):
                found.append(path)
            else:
                # Left by a crash while the empty disk was set up.
                self._files.remove(path)
        if "snapshot" in self._files.names(self._folder):
            found.append(self._folder / "snapshot")
        if not found:
            return
        aside = self._folder / f"set-aside-{secrets.token_hex(4)}"
        logger.warning("log without a vote file is set aside", folder=str(aside))
        self._files.make_folder(aside)
        for path in found:
            self._files.replace(path, aside / path.name)
        self._files.sync_folder(aside)
        self._files.sync_folder(log_folder)
        self._files.sync_folder(self._folder)

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
        configuration = self._codec.decode(record.configuration)
        assert isinstance(configuration, Configuration)
        return Snapshot(record.index, record.term, configuration, record.data)

    def _entries_after_snapshot(
        self, snapshot: Snapshot | None, entries: list[Entry]
    ) -> tuple[Entry, ...]:
        """Return the entries that continue the snapshot."""
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
            # A crash came between the snapshot and the removal of the log.
            self._log.restart_at(LogIndex(base + 1))
            return ()
        return kept

    def _to_record(self, entry: Entry) -> LogRecord:
        payload = entry.payload
        if entry.configuration is not None:
            payload = self._codec.encode(entry.configuration)
        return LogRecord(entry.term, entry.index, _KINDS.index(entry.kind), payload)

    def _to_entry(self, record: LogRecord) -> Entry:
        kind = _KINDS[record.kind]
        if kind is EntryKind.CONFIGURATION:
            configuration = self._codec.decode(record.payload)
            return Entry(record.term, record.index, kind, b"", configuration)
        return Entry(record.term, record.index, kind, record.payload)
