"""Checksummed file that is replaced atomically, by a rename."""

import struct
import zlib
from pathlib import Path

from goldcrestyard.storage.exceptions import CorruptFileError, DiskError
from goldcrestyard.storage.files import Files

_HEADER = struct.Struct("<IQ")
"""CRC-32 of the content, and its length in bytes."""

MAX_JOINED_BYTES = 64 * 1024
"""Size up to which the content is written at once.  Larger parts are written
one by one, since a copy of all would take as much memory again."""


class AtomicFile:
    """A file that holds either the old or the new content after a crash."""

    def __init__(self, path: Path, files: Files) -> None:
        self._path = path
        self._temporary = path.with_name(path.name + ".new")
        self._files = files

    def read(self) -> memoryview | None:
        """Return the content, or None if there is no file.

        Raises ``CorruptFileError`` if its checksum or length does not match.
        """
        data = self._files.read(self._path)
        if data is None:
            return None
        if len(data) >= _HEADER.size:
            checksum, length = _HEADER.unpack_from(data)
            content = memoryview(data)[_HEADER.size :]
            if length == len(content) and zlib.crc32(content) == checksum:
                return content
        raise CorruptFileError(
            f"{self._path}: checksum or length does not match. Move the data "
            "folder aside and replace this member from the others."
        )

    def write(self, *parts: bytes) -> None:
        """Replace the content by some parts; it is durable on return.

        Raises ``DiskError`` if a file operation fails.
        """
        checksum = 0
        for part in parts:
            checksum = zlib.crc32(part, checksum)
        size = sum(map(len, parts))
        written = (_HEADER.pack(checksum, size), *parts)
        if size <= MAX_JOINED_BYTES:
            written = (b"".join(written),)
        try:
            self._files.remove(self._temporary)
            for part in written:
                self._files.append(self._temporary, part)
            self._files.sync(self._temporary)
            self._files.replace(self._temporary, self._path)
            self._files.sync_folder(self._path.parent)
        except OSError as error:
            raise DiskError(f"{self._path}: {error}") from error

    def discard_failed_write(self) -> None:
        """Remove what a write that did not end has left behind.

        Raises ``DiskError`` if a file operation fails.
        """
        folder = self._path.parent
        try:
            if self._temporary.name in self._files.list_names(folder):
                self._files.remove(self._temporary)
                self._files.sync_folder(folder)
        except OSError as error:
            raise DiskError(f"{self._path}: {error}") from error
