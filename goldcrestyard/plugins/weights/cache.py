"""Disk cache of fetched weights, in a temporary folder of limited size.

Content is verified against its SHA-256 digest before it is stored.  A lock
file lets a later process remove the folder of one that was killed.
"""

import asyncio
import fcntl
import hashlib
import os
import shutil
import tempfile
from collections import Counter, OrderedDict
from collections.abc import AsyncIterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

BLOCK_BYTES = 1024 * 1024

FOLDER_PREFIX = "goldcrestyard-weights-"
LOCK_SUFFIX = ".lock"


@dataclass(frozen=True, slots=True)
class Cached:
    """The content was stored; ``path`` is its file."""

    path: Path


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The content does not match the expected digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The content does not fit into the cache, even after eviction."""


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """The content could not be read from its source or written to disk."""

    detail: str


WriteResult = Cached | DigestMismatch | TooLarge | DiskFailed


class WeightCache:
    """Files named by digest, with the least recently used evicted first."""

    def __init__(self, parent: str, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._locked_folder = LockedFolder(Path(parent or tempfile.gettempdir()))
        self._folder = self._locked_folder.path
        self._sizes_by_digest: OrderedDict[str, int] = OrderedDict()
        self._writing_bytes = 0
        self._pin_counts_by_digest: Counter[str] = Counter()

    def find(self, digest: str) -> Path | None:
        """Return the file with a digest, or None if it is not cached."""
        if digest not in self._sizes_by_digest:
            return None
        self._sizes_by_digest.move_to_end(digest)
        return self._folder / digest

    @contextmanager
    def pinned(self, digest: str) -> Iterator[None]:
        """Protect a file from eviction inside the ``with`` block."""
        self._pin_counts_by_digest[digest] += 1
        try:
            yield
        finally:
            self._pin_counts_by_digest[digest] -= 1
            if not self._pin_counts_by_digest[digest]:
                del self._pin_counts_by_digest[digest]

    async def write(self, blocks: AsyncIterable[bytes], digest: str) -> WriteResult:
        """Store content under its digest, if the content matches it."""
        partial_file = _PartialFile(self._folder)
        try:
            async for block in blocks:
                self._writing_bytes += len(block)
                partial_file.size += len(block)
                if not self._evict_to_limit():
                    return TooLarge()
                await asyncio.to_thread(partial_file.write, block)
            if partial_file.digest != digest:
                return DigestMismatch(partial_file.digest)
            self._sizes_by_digest[digest] = partial_file.size
            return Cached(partial_file.rename(self._folder / digest))
        except OSError as error:
            self._sizes_by_digest.pop(digest, None)
            return DiskFailed(str(error))
        finally:
            self._writing_bytes -= partial_file.size
            partial_file.close()

    def close(self) -> None:
        """Delete the folder with all cached files."""
        self._locked_folder.remove()

    def _evict_to_limit(self) -> bool:
        """Evict unpinned files until the size limit holds.

        Returns whether it holds.
        """
        excess = (
            self._writing_bytes + sum(self._sizes_by_digest.values()) - self._max_bytes
        )
        for digest in list(self._sizes_by_digest):
            if excess <= 0:
                break
            if not self._pin_counts_by_digest[digest]:
                excess -= self._sizes_by_digest.pop(digest)
                (self._folder / digest).unlink(missing_ok=True)
        return excess <= 0


class LockedFolder:
    """A temporary folder that a later process removes if this one is killed.

    A killed process cannot remove its folder, but the operating system
    releases its lock on the lock file next to the folder.
    """

    def __init__(self, parent: Path) -> None:
        for lock_path in parent.glob(f"{FOLDER_PREFIX}*{LOCK_SUFFIX}"):
            _remove_abandoned(lock_path)
        while True:
            self._lock_descriptor, name = tempfile.mkstemp(
                LOCK_SUFFIX, FOLDER_PREFIX, parent
            )
            self._lock_path = Path(name)
            # Another process may take the file for an abandoned one and
            # remove it before it is locked.
            if _try_lock(self._lock_descriptor) and self._lock_path.exists():
                break
            os.close(self._lock_descriptor)
        self.path = self._lock_path.with_suffix("")
        self.path.mkdir(mode=0o700)

    def remove(self) -> None:
        """Remove the folder and its lock file; later calls have no effect."""
        if self._lock_descriptor >= 0:
            shutil.rmtree(self.path, ignore_errors=True)
            self._lock_path.unlink(missing_ok=True)
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1


def _try_lock(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


def _remove_abandoned(lock_path: Path) -> None:
    try:
        descriptor = os.open(lock_path, os.O_RDWR)
    except OSError:
        return
    try:
        if _try_lock(descriptor):
            shutil.rmtree(lock_path.with_suffix(""), ignore_errors=True)
            lock_path.unlink(missing_ok=True)
    finally:
        os.close(descriptor)


class _PartialFile:
    """A file being written, which ``close`` removes unless it was renamed."""

    def __init__(self, folder: Path) -> None:
        descriptor, name = tempfile.mkstemp(prefix="part-", dir=folder)
        self._file = open(descriptor, "wb", buffering=0)  # noqa: SIM115 - close()
        self._path = Path(name)
        self._hasher = hashlib.sha256()
        self.size = 0

    @property
    def digest(self) -> str:
        """SHA-256 in hexadecimal of the data written so far."""
        return self._hasher.hexdigest()

    def write(self, block: bytes) -> None:
        """Append a block."""
        self._hasher.update(block)
        self._file.write(block)

    def rename(self, path: Path) -> Path:
        """Give the file its final name and return it."""
        os.rename(self._path, path)
        return path

    def close(self) -> None:
        """Close the file, and remove it if it was not renamed."""
        self._file.close()
        self._path.unlink(missing_ok=True)
