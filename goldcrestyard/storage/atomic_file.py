"""Checksummed file that is replaced atomically, by a rename."""

import struct
import zlib
from pathlib import Path

from goldcrestyard.storage.exceptions import CorruptFileError, DiskError
from goldcrestyard.storage.files import Files

_HEADER = struct.Struct("<IQ")
"""CRC-32 of the content, and its length in bytes."""


class AtomicFile:
    """A file that holds either the old or the new content after a crash."""

    def __init__(self, path: Path, files: Files) -> None:
        self._path = path
        self._files = files

    def read(self) -> bytes | None:
        """Return the content, or None if there is no file.

        Raises ``CorruptFileError`` if its checksum or length does not match.
        """
        data = self._files.read(self._path)
        if data is None:
            return None
        if len(data) >= _HEADER.size:
            checksum, length = _HEADER.unpack_from(data)
            content = data[_HEADER.size :]
            if length == len(content) and zlib.crc32(content) == checksum:
                return content
        raise CorruptFileError(
            f"{self._path}: checksum or length does not match. Move the data "
            "folder aside and replace this member from the others."
        )

    def write(self, content: bytes) -> None:
        """Replace the content; it is durable on return.

        Raises ``DiskError`` if a file operation fails.
        """
        temporary = self._path.with_name(self._path.name + ".new")
        header = _HEADER.pack(zlib.crc32(content), len(content))
        try:
            self._files.remove(temporary)
            self._files.append(temporary, header + content)
            self._files.sync(temporary)
            self._files.replace(temporary, self._path)
            self._files.sync_folder(self._path.parent)
        except OSError as error:
            raise DiskError(f"{self._path}: {error}") from error
