"""A small checksummed file that is replaced as a whole."""

import struct
import zlib
from pathlib import Path

from goldcrestyard.storage.exceptions import CorruptFileError, DiskError
from goldcrestyard.storage.files import Files

_HEADER = struct.Struct("<IQ")
"""CRC-32 of the content, and its length."""


class AtomicFile:
    """After a crash the file holds the old content or the new one."""

    def __init__(self, path: Path, files: Files) -> None:
        self._path = path
        self._files = files

    def read(self) -> bytes | None:
        """Return the content, or None if it was never written."""
        data = self._files.read(self._path)
        if data is None:
            return None
        if len(data) >= _HEADER.size:
            checksum, length = _HEADER.unpack_from(data)
            content = data[_HEADER.size :]
            if length == len(content) and zlib.crc32(content) == checksum:
                return content
        raise CorruptFileError(
            f"{self._path}: damaged. Move the data folder aside and replace "
            "this member from the others."
        )

    def write(self, content: bytes) -> None:
        """Replace the content; it is durable on return."""
        draft = self._path.with_name(self._path.name + ".new")
        header = _HEADER.pack(zlib.crc32(content), len(content))
        try:
            self._files.remove(draft)
            self._files.append(draft, header + content)
            self._files.sync(draft)
            self._files.replace(draft, self._path)
            self._files.sync_folder(self._path.parent)
        except OSError as error:
            raise DiskError(f"{self._path}: {error}") from error
