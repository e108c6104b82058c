"""File that stores the latest snapshot of the replicated state."""

import struct
from dataclasses import dataclass
from pathlib import Path

from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.storage.atomic_file import AtomicFile
from goldcrestyard.storage.exceptions import CorruptFileError
from goldcrestyard.storage.files import Files

_HEADER = struct.Struct("<QQI")
"""Index, term and length of the configuration in bytes; the configuration and
the data follow."""


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """A snapshot as stored; ``configuration`` and ``data`` are encoded."""

    index: LogIndex
    term: Term
    configuration: bytes
    data: bytes


class SnapshotFile:
    """Reads and replaces the latest snapshot."""

    def __init__(self, folder: Path, files: Files) -> None:
        self._file = AtomicFile(folder / "snapshot", files)

    def read(self) -> SnapshotRecord | None:
        """Return the snapshot, or None if none is stored."""
        content = self._file.read()
        if content is None:
            return None
        if len(content) < _HEADER.size:
            raise CorruptFileError(
                "The snapshot file has no header. Move the data folder aside and "
                "replace this member from the others."
            )
        index, term, length = _HEADER.unpack_from(content)
        split = _HEADER.size + length
        return SnapshotRecord(
            LogIndex(index),
            Term(term),
            bytes(content[_HEADER.size : split]),
            bytes(content[split:]),
        )

    def write(self, record: SnapshotRecord) -> None:
        """Replace the snapshot; it is durable on return."""
        header = _HEADER.pack(record.index, record.term, len(record.configuration))
        self._file.write(header, record.configuration, record.data)

    def discard_failed_write(self) -> None:
        """Remove what a write that did not end has left behind."""
        self._file.discard_failed_write()
