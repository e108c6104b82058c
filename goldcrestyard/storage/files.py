"""The file operations that durable state rests on.

Kept apart so that tests can lose what was not synced, fail an operation or
stop the process between any two of them.
"""

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Operations on files; each raises ``OSError`` when it fails."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder with its parents, durably."""

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names in a folder."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or None if there is no such file."""

    def append(self, path: Path, data: bytes) -> None:
        """Add to a file, creating it if need be; not durable by itself."""

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to a size; not durable by itself."""

    def sync(self, path: Path) -> None:
        """Make a file's content durable."""

    def replace(self, source: Path, destination: Path) -> None:
        """Rename a file over another; durable after ``sync_folder``."""

    def remove(self, path: Path) -> None:
        """Remove a file; durable after ``sync_folder``."""

    def sync_folder(self, folder: Path) -> None:
        """Make the names in a folder durable."""

    def close(self) -> None:
        """Close all open files."""


class DiskFiles:
    """Files on disk.

    Files stay open between a write and its sync: an error of a write in the
    background is reported to the descriptors that were open at that time.
    """

    def __init__(self) -> None:
        self._descriptors_by_path: dict[Path, int] = {}

    def make_folder(self, folder: Path) -> None:
        """Create a folder with its parents, durably."""
        missing = [path for path in (folder, *folder.parents) if not path.exists()]
        folder.mkdir(parents=True, exist_ok=True)
        for path in missing:
            self.sync_folder(path.parent)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names in a folder."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def append(self, path: Path, data: bytes) -> None:
        """Add to a file, creating it if need be; not durable by itself."""
        descriptor = self._open(path)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to a size; not durable by itself."""
        os.ftruncate(self._open(path), size)

    def sync(self, path: Path) -> None:
        """Make a file's content durable."""
        os.fsync(self._open(path))

    def replace(self, source: Path, destination: Path) -> None:
        """Rename a file over another; durable after ``sync_folder``."""
        self._close(source)
        self._close(destination)
        os.replace(source, destination)

    def remove(self, path: Path) -> None:
        """Remove a file; durable after ``sync_folder``."""
        self._close(path)
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Make the names in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all open files."""
        for path in list(self._descriptors_by_path):
            self._close(path)

    def _open(self, path: Path) -> int:
        descriptor = self._descriptors_by_path.get(path)
        if descriptor is None:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
            descriptor = os.open(path, flags, 0o600)
            self._descriptors_by_path[path] = descriptor
        return descriptor

    def _close(self, path: Path) -> None:
        descriptor = self._descriptors_by_path.pop(path, None)
        if descriptor is not None:
            os.close(descriptor)
