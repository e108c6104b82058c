"""File operations used to store durable state.

``Files`` is an interface, so that tests can lose unsynced data, fail any
operation, or stop the process between two operations.
"""

import os
from pathlib import Path
from typing import Protocol

from goldcrestyard.storage import folders


class Files(Protocol):
    """Operations on files; each raises ``OSError`` when it fails."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents; durable on return."""

    def list_names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder, sorted."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or None if there is no such file."""

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file or create it; ``sync`` makes the data durable."""

    def truncate(self, path: Path, size: int) -> None:
        """Truncate to a size in bytes; ``sync`` makes the change durable."""

    def sync(self, path: Path) -> None:
        """Make a file's content durable."""

    def replace(self, source: Path, destination: Path) -> None:
        """Rename over any existing file; durable after ``sync_folder``."""

    def remove(self, path: Path) -> None:
        """Remove a file if it exists; durable after ``sync_folder``."""

    def sync_folder(self, folder: Path) -> None:
        """Make creations, renames and removals in a folder durable."""

    def close(self) -> None:
        """Close all open files."""


class DiskFiles:
    """File operations of the operating system.

    Files stay open between a write and its sync, because the kernel reports
    an error of background writeback only to descriptors open at that time.
    """

    def __init__(self) -> None:
        self._descriptors_by_path: dict[Path, int] = {}

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents; durable on return."""
        folders.make_folder(folder)

    def list_names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder, sorted."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file or create it; ``sync`` makes the data durable."""
        descriptor = self._open(path)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, path: Path, size: int) -> None:
        """Truncate to a size in bytes; ``sync`` makes the change durable."""
        os.ftruncate(self._open(path), size)

    def sync(self, path: Path) -> None:
        """Make a file's content durable."""
        os.fsync(self._open(path))

    def replace(self, source: Path, destination: Path) -> None:
        """Rename over any existing file; durable after ``sync_folder``."""
        self._close(source)
        self._close(destination)
        os.replace(source, destination)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists; durable after ``sync_folder``."""
        self._close(path)
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Make creations, renames and removals in a folder durable."""
        folders.sync_folder(folder)

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
