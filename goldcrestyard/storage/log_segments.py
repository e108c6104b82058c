"""The log file: checksummed records, appended and synced."""

import os
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.storage.exceptions import CorruptLogError, DiskError

_HEADER = struct.Struct("<IIQQ")
"""CRC-32, payload length, term, index; the checksum covers what follows."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One entry of the log as stored."""

    term: Term
    index: LogIndex
    payload: bytes


class LogFile:
    """An append-only file of records.

    A torn record at the end, left by a crash during a write that was never
    acknowledged, is cut off.  Damage before the end is an error.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file = open(path, "ab")  # noqa: SIM115 - closed by close()

    @staticmethod
    def read(path: Path) -> list[LogRecord]:
        """Return the records of a file and cut off a torn tail."""
        if not path.exists():
            return []
        data = path.read_bytes()
        records: list[LogRecord] = []
        end = 0
        for record, end in _parse(data, path):  # noqa: B007 - end is used below
            records.append(record)
        if end < len(data):
            with open(path, "r+b") as file:
                file.truncate(end)
                os.fsync(file.fileno())
        return records

    def append(self, records: Sequence[LogRecord]) -> None:
        """Write and sync records; they are durable on return."""
        try:
            self._file.write(b"".join(_encode(record) for record in records))
            self._file.flush()
            os.fsync(self._file.fileno())
        except OSError as error:
            raise DiskError(f"{self._path}: {error}") from error

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _encode(record: LogRecord) -> bytes:
    header = _HEADER.pack(0, len(record.payload), record.term, record.index)[4:]
    checksum = zlib.crc32(record.payload, zlib.crc32(header))
    return struct.pack("<I", checksum) + header + record.payload


def _parse(data: bytes, path: Path) -> Iterator[tuple[LogRecord, int]]:
    position = 0
    while position < len(data):
        record, end = _parse_one(data, position)
        if record is None:
            if _valid_record_follows(data, position):
                raise CorruptLogError(
                    f"{path}: damaged record at byte {position}, followed by "
                    "intact ones. Replace this member from the others."
                )
            return
        yield record, end
        position = end


def _parse_one(data: bytes, position: int) -> tuple[LogRecord | None, int]:
    start = position + _HEADER.size
    if start > len(data):
        return None, position
    checksum, length, term, index = _HEADER.unpack_from(data, position)
    end = start + length
    if end > len(data):
        return None, position
    if zlib.crc32(data[position + 4 : end]) != checksum:
        return None, position
    record = LogRecord(Term(term), LogIndex(index), data[start:end])
    return record, end


def _valid_record_follows(data: bytes, position: int) -> bool:
    """Return whether the damaged record's length leads to an intact one."""
    if position + _HEADER.size > len(data):
        return False
    _, length, _, _ = _HEADER.unpack_from(data, position)
    following = position + _HEADER.size + length
    return _parse_one(data, following)[0] is not None
