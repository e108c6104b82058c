"""Log on disk: checksummed records in append-only segment files."""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.storage.exceptions import (
    DISK_FULL_ERRNOS,
    CorruptLogError,
    DiskError,
)
from goldcrestyard.storage.files import Files

_HEADER = struct.Struct("<IIQQB")
"""CRC-32, payload length, term, index and kind; the payload follows.  The
checksum covers everything after it."""

SEGMENT_BYTES = 8 * 1024 * 1024
"""Size at which a segment counts as full and a new one is started.  Only whole
segments are removed, once a snapshot covers them."""

SEGMENT_SUFFIX = ".log"
NEW_SUFFIX = ".new"
"""Added to the name of a segment while it is written to a new file."""

SECTOR_BYTES = 512

UNWRITTEN_BYTES = bytes(16)
MIN_UNWRITTEN_BYTES = 4
"""Zeros by which a part of an append counts as not written, and how many do in
the rest of the sector in which it begins.  A header holds no run of the former
length, and the texts in payloads hold none as a rule."""

MAX_WRITE_BYTES = 256 * 1024
"""Largest size of several records that are written with one sync.  It bounds
how much is taken for torn where an intact record follows a damaged one."""


class Rewrite(Enum):
    """Whether the last segment is written anew when it is made durable."""

    NONE = auto()
    IF_ROOM = auto()
    """Before the first sync of a process, since one of an earlier process may
    have failed.  A disk without room for it is synced only, so that the member
    can start and free room."""
    ALWAYS = auto()
    """After a failed sync of this process."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One entry of the log as stored."""

    term: Term
    index: LogIndex
    kind: int
    payload: bytes


@dataclass(slots=True)
class _Segment:
    path: Path
    first_index: LogIndex
    end_offsets: list[int]
    """Offset in the file at which each record ends."""

    @property
    def next_index(self) -> LogIndex:
        return LogIndex(self.first_index + len(self.end_offsets))

    @property
    def size(self) -> int:
        return self.end_offsets[-1] if self.end_offsets else 0


class SegmentedLog:
    """A log in segment files that are named by their first index.

    A torn append at the end, left by a crash during an unacknowledged write,
    is truncated on ``load``.  Any other damage is an error, since dropping an
    acknowledged record could lose a committed entry.

    An append is torn if its records are damaged to the end of the log, or if
    a part of it reads as zeros.  After a power failure a disk may hold the end
    of an append without its middle.
    """

    def __init__(
        self, folder: Path, files: Files, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self._folder = folder
        self._files = files
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self.cut_bytes = 0
        """Size of the torn write that ``load`` has removed."""
        self.sync_failed = False
        """Whether a sync failed.  Later ones of the file prove nothing then:
        the system drops what it could not write and reports success."""
        self._loaded_segment: _Segment | None = None
        """The last segment that was loaded, until it is durable."""
        self._loaded_content = b""

    def load(self) -> list[LogRecord]:
        """Return all records, after truncating a torn append at the end.

        Raises ``CorruptLogError`` on any other damage.  Must be called once,
        before other methods, unless the folder holds no segments.
        """
        records: list[LogRecord] = []
        paths = [
            self._folder / name
            for name in self._files.list_names(self._folder)
            if name.endswith(SEGMENT_SUFFIX)
        ]
        for path in paths:
            last = path == paths[-1]
            found, segment, torn_bytes = self._load_segment(path, last)
            if records and segment.first_index != records[-1].index + 1:
                raise CorruptLogError(
                    f"{path}: does not continue the segment before it. Replace "
                    "this member from the others."
                )
            records.extend(found)
            self._segments.append(segment)
            self._loaded_segment = segment
            if torn_bytes:
                self.cut_bytes = torn_bytes
                self._truncate_file(segment)
        return records

    def make_durable(self, rewrite: Rewrite) -> None:
        """Make all loaded records durable, and the removal of others.

        A process that was killed may have written them without a sync.  They
        can be read until the power fails.  A rewrite is for a log whose syncs
        may have failed: the last segment is then written to a new file, from
        what was loaded.
        """
        try:
            self._remove_rewrites()
            if self._segments:
                # A segment is created only once the one before is synced.
                self._make_segment_durable(self._segments[-1], rewrite)
            self._files.sync_folder(self._folder)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def _make_segment_durable(self, segment: _Segment, rewrite: Rewrite) -> None:
        is_loaded = segment is self._loaded_segment
        content = self._loaded_content[: segment.size]
        self._loaded_segment, self._loaded_content = None, b""
        if is_loaded and rewrite is not Rewrite.NONE:
            try:
                self._rewrite(segment.path, content)
                return
            except OSError as error:
                if rewrite is Rewrite.ALWAYS or error.errno not in DISK_FULL_ERRNOS:
                    raise
                self._remove_rewrites()
        self._sync(segment.path)

    def _rewrite(self, path: Path, content: bytes) -> None:
        new = path.with_name(path.name + NEW_SUFFIX)
        self._files.append(new, content)
        self._files.sync(new)
        self._files.replace(new, path)

    def _remove_rewrites(self) -> None:
        """Remove the files of rewrites that did not end."""
        for name in self._files.list_names(self._folder):
            if name.endswith(NEW_SUFFIX):
                self._files.remove(self._folder / name)

    def append(self, records: Sequence[LogRecord]) -> None:
        """Append records, with one sync unless they are large.

        They are durable on return.
        """
        start, size = 0, 0
        for position, record in enumerate(records):
            size += _HEADER.size + len(record.payload)
            if size > MAX_WRITE_BYTES and position > start:
                self._write(records[start:position])
                start, size = position, _HEADER.size + len(record.payload)
        if records:
            self._write(records[start:])

    def _write(self, records: Sequence[LogRecord]) -> None:
        try:
            segment = self._open_segment(records[0].index)
            data = bytearray()
            end_offsets = []
            for record in records:
                data += _encode_record(record)
                end_offsets.append(segment.size + len(data))
            self._files.append(segment.path, bytes(data))
            self._sync(segment.path)
            segment.end_offsets.extend(end_offsets)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def truncate_from(self, index: LogIndex) -> None:
        """Remove all records from an index on; durable on return."""
        try:
            # The last segment is removed first, so that a crash leaves no gap.
            while self._segments and self._segments[-1].first_index >= index:
                self._remove_file(self._segments.pop())
            if self._segments and self._segments[-1].next_index > index:
                segment = self._segments[-1]
                del segment.end_offsets[index - segment.first_index :]
                self._truncate_file(segment)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def truncate_before(self, index: LogIndex) -> None:
        """Remove the segments whose records all lie before an index.

        The last segment always stays, since it determines the next index.
        """
        try:
            while len(self._segments) > 1 and self._segments[0].next_index <= index:
                self._remove_file(self._segments.pop(0))
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def restart_at(self, index: LogIndex) -> None:
        """Remove all records; the next record must have index ``index``."""
        self.truncate_from(LogIndex(0))
        try:
            self._open_segment(index)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def discard_failed_writes(self) -> None:
        """Remove from the disk what failed operations have left behind.

        Afterwards it holds the records of all operations that succeeded, and
        those that a failed truncation was to remove are gone.
        """
        try:
            size_by_path = {segment.path: segment.size for segment in self._segments}
            names = self._files.list_names(self._folder)
            for path in reversed([self._folder / name for name in names]):
                if path.name.endswith(SEGMENT_SUFFIX) and path not in size_by_path:
                    self._files.remove(path)
            self._files.sync_folder(self._folder)
            for segment in self._segments:
                self._truncate_file(segment)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def _open_segment(self, index: LogIndex) -> _Segment:
        """Return the segment for new records, creating one if necessary."""
        if self._segments and self._segments[-1].size < self._segment_bytes:
            return self._segments[-1]
        path = self._folder / f"{index:020d}{SEGMENT_SUFFIX}"
        self._files.append(path, b"")
        self._sync(path)
        self._files.sync_folder(self._folder)
        segment = _Segment(path, index, [])
        self._segments.append(segment)
        return segment

    def _remove_file(self, segment: _Segment) -> None:
        self._files.remove(segment.path)
        self._files.sync_folder(self._folder)

    def _truncate_file(self, segment: _Segment) -> None:
        self._files.truncate(segment.path, segment.size)
        self._sync(segment.path)

    def _sync(self, path: Path) -> None:
        try:
            self._files.sync(path)
        except OSError:
            self.sync_failed = True
            raise

    def _load_segment(
        self, path: Path, last: bool
    ) -> tuple[list[LogRecord], _Segment, int]:
        data = self._files.read(path) or b""
        if last:
            self._loaded_content = data
        records: list[LogRecord] = []
        first_index = parse_count(path.name.removesuffix(SEGMENT_SUFFIX).lstrip("0"))
        if first_index is None:
            raise CorruptLogError(f"{path}: is not named after an entry. Remove it.")
        segment = _Segment(path, LogIndex(first_index), [])
        position = 0
        while position < len(data):
            record, end = _parse_record(data, position)
            if record is None:
                if not last or not _is_torn_append(data, position):
                    raise CorruptLogError(
                        f"{path}: damaged record at byte {position}, followed by "
                        "intact ones. Replace this member from the others."
                    )
                return records, segment, len(data) - position
            if record.index != segment.next_index:
                raise CorruptLogError(
                    f"{path}: found record {record.index} at byte {position}, "
                    f"expected {segment.next_index}. Replace this member from the "
                    "others."
                )
            records.append(record)
            segment.end_offsets.append(end)
            position = end
        return records, segment, 0


def _encode_record(record: LogRecord) -> bytes:
    header = _HEADER.pack(
        0, len(record.payload), record.term, record.index, record.kind
    )[4:]
    checksum = zlib.crc32(record.payload, zlib.crc32(header))
    return struct.pack("<I", checksum) + header + record.payload


def _parse_record(data: bytes, position: int) -> tuple[LogRecord | None, int]:
    start = position + _HEADER.size
    if start > len(data):
        return None, position
    checksum, length, term, index, kind = _HEADER.unpack_from(data, position)
    end = start + length
    if end > len(data):
        return None, position
    if zlib.crc32(data[position + 4 : end]) != checksum:
        return None, position
    return LogRecord(Term(term), LogIndex(index), kind, data[start:end]), end


def _is_torn_append(data: bytes, start: int) -> bool:
    """Return whether the damage at ``start`` is what a power failure leaves.

    What follows an unwritten part belongs to the same write, since the next
    one begins only once all of it is synced.
    """
    end = _find_record(data, start + 1)
    if end is None:
        return True
    if len(data) - start > MAX_WRITE_BYTES:
        return False
    sector_end = min(end, start - start % SECTOR_BYTES + SECTOR_BYTES)
    rest = data[start:sector_end]
    return UNWRITTEN_BYTES in data[start:end] or (
        len(rest) >= MIN_UNWRITTEN_BYTES and not any(rest)
    )


def _find_record(data: bytes, start: int) -> int | None:
    """Return where the next intact record begins, or None.

    Every offset is tried, since the length in a damaged record may be wrong.
    """
    for position in range(start, len(data) - _HEADER.size + 1):
        if _parse_record(data, position)[0] is not None:
            return position
    return None
