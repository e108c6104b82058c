"""The log on disk: checksummed records in segment files."""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.storage.exceptions import CorruptLogError, DiskError
from goldcrestyard.storage.files import Files

_HEADER = struct.Struct("<IIQQB")
"""CRC-32, payload length, term, index, kind; the checksum covers the rest."""

SEGMENT_BYTES = 8 * 1024 * 1024
"""A segment is closed at this size; whole segments are removed once a
snapshot covers them."""

SUFFIX = ".log"


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
    first: LogIndex
    ends: list[int]
    """End of each record, as an offset in the file."""

    @property
    def next(self) -> LogIndex:
        return LogIndex(self.first + len(self.ends))

    @property
    def size(self) -> int:
        return self.ends[-1] if self.ends else 0


class SegmentedLog:
    """Append-only segments named after their first index.

    A torn record at the end, left by a crash during a write that was never
    acknowledged, is cut off.  Any other damage is an error: to go on without
    an acknowledged record could lose a committed entry.
    """

    def __init__(
        self, folder: Path, files: Files, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self._folder = folder
        self._files = files
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []

    def load(self) -> list[LogRecord]:
        """Return all records and cut off a torn tail."""
        records: list[LogRecord] = []
        paths = [
            self._folder / name
            for name in self._files.names(self._folder)
            if name.endswith(SUFFIX)
        ]
        for path in paths:
            last = path == paths[-1]
            found, segment, torn = self._load_segment(path, last)
            if records and segment.first != records[-1].index + 1:
                raise CorruptLogError(
                    f"{path}: does not continue the segment before it. Replace "
                    "this member from the others."
                )
            records.extend(found)
            self._segments.append(segment)
            if torn:
                self._cut(segment)
        return records

    def append(self, records: Sequence[LogRecord]) -> None:
        """Write and sync records; they are durable on return."""
        if not records:
            return
        try:
            segment = self._open_segment(records[0].index)
            data = bytearray()
            ends = []
            for record in records:
                data += _encode(record)
                ends.append(segment.size + len(data))
            self._files.append(segment.path, bytes(data))
            self._files.sync(segment.path)
            segment.ends.extend(ends)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def truncate_from(self, index: LogIndex) -> None:
        """Remove the records from an index on; durable on return."""
        try:
            # From the end, so that a crash leaves no gap.
            while self._segments and self._segments[-1].first >= index:
                self._remove(self._segments.pop())
            if self._segments and self._segments[-1].next > index:
                segment = self._segments[-1]
                del segment.ends[index - segment.first :]
                self._cut(segment)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def truncate_before(self, index: LogIndex) -> None:
        """Remove the segments that lie entirely before an index.

        The last segment stays: its name says where the log continues.
        """
        try:
            while len(self._segments) > 1 and self._segments[0].next <= index:
                self._remove(self._segments.pop(0))
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def restart_at(self, index: LogIndex) -> None:
        """Remove all records; the next one will be at ``index``."""
        self.truncate_from(LogIndex(0))
        try:
            self._open_segment(index)
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from error

    def _open_segment(self, index: LogIndex) -> _Segment:
        """Return the segment for the next record, a new one if need be."""
        if self._segments and self._segments[-1].size < self._segment_bytes:
            return self._segments[-1]
        path = self._folder / f"{index:020d}{SUFFIX}"
        self._files.append(path, b"")
        self._files.sync(path)
        self._files.sync_folder(self._folder)
        segment = _Segment(path, index, [])
        self._segments.append(segment)
        return segment

    def _remove(self, segment: _Segment) -> None:
        self._files.remove(segment.path)
        self._files.sync_folder(self._folder)

    def _cut(self, segment: _Segment) -> None:
        self._files.truncate(segment.path, segment.size)
        self._files.sync(segment.path)

    def _load_segment(
        self, path: Path, last: bool
    ) -> tuple[list[LogRecord], _Segment, bool]:
        data = self._files.read(path) or b""
        records: list[LogRecord] = []
        segment = _Segment(path, LogIndex(int(path.name.removesuffix(SUFFIX))), [])
        position = 0
        while position < len(data):
            record, end = _parse(data, position)
            if record is None:
                if not last or _valid_record_follows(data, position):
                    raise CorruptLogError(
                        f"{path}: damaged record at byte {position}, followed by "
                        "intact ones. Replace this member from the others."
                    )
                return records, segment, True
            if record.index != segment.next:
                raise CorruptLogError(
                    f"{path}: record {record.index} at byte {position} where "
                    f"{segment.next} belongs. Replace this member from the others."
                )
            records.append(record)
            segment.ends.append(end)
            position = end
        return records, segment, False


def _encode(record: LogRecord) -> bytes:
    header = _HEADER.pack(
        0, len(record.payload), record.term, record.index, record.kind
    )[4:]
    checksum = zlib.crc32(record.payload, zlib.crc32(header))
    return struct.pack("<I", checksum) + header + record.payload


def _parse(data: bytes, position: int) -> tuple[LogRecord | None, int]:
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


def _valid_record_follows(data: bytes, position: int) -> bool:
    """Return whether an intact record starts anywhere after a damaged one.

    Every offset is tried, since the damaged length may lead nowhere.
    """
    return any(
        _parse(data, following)[0] is not None
        for following in range(position + 1, len(data) - _HEADER.size + 1)
    )
