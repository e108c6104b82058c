"""Fetched weights in a bounded temporary folder."""

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
    """The file of a version, whose content matches its digest."""

    path: Path


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The content has another digest than the published one."""

    digest: str


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The content does not fit into the cache."""


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """The file could not be written."""

    detail: str


WriteResult = Cached | Mismatch | TooLarge | DiskFailed


class WeightCache:
    """Files named by digest; the least recently used ones are deleted."""

    def __init__(self, parent: str, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._temporary = LockedFolder(Path(parent or tempfile.gettempdir()))
        self._folder = self._temporary.path
        self._sizes_by_digest: OrderedDict[str, int] = OrderedDict()
        self._writing_bytes = 0
        self._pins: Counter[str] = Counter()

    def find(self, digest: str) -> Path | None:
        """Return the file of a version, or None."""
        if digest not in self._sizes_by_digest:
            return None
        self._sizes_by_digest.move_to_end(digest)
        return self._folder / digest

    @contextmanager
    def pinned(self, digest: str) -> Iterator[None]:
        """Keep a file from being deleted while the block sends it."""
        self._pins[digest] += 1
        try:
            yield
        finally:
            self._pins[digest] -= 1
            if not self._pins[digest]:
                del self._pins[digest]

    async def write(self, blocks: AsyncIterable[bytes], digest: str) -> WriteResult:
        """Store content under its digest, if it matches."""
        part = _PartFile(self._folder)
        try:
            async for block in blocks:
                self._writing_bytes += len(block)
                part.size += len(block)
                if not self._make_room():
                    return TooLarge()
                await asyncio.to_thread(part.write, block)
            if part.digest != digest:
                return Mismatch(part.digest)
            self._sizes_by_digest[digest] = part.size
            return Cached(part.rename(self._folder / digest))
        except OSError as error:
            self._sizes_by_digest.pop(digest, None)
            return DiskFailed(str(error))
        finally:
            self._writing_bytes -= part.size
            part.close()

    def close(self) -> None:
        """Delete the folder."""
        self._temporary.remove()

    def _make_room(self) -> bool:
        """Delete files until the bound holds; return whether it does."""
        excess = (
            self._writing_bytes + sum(self._sizes_by_digest.values()) - self._max_bytes
        )
        for digest in list(self._sizes_by_digest):
            if excess <= 0:
                break
            if not self._pins[digest]:
                excess -= self._sizes_by_digest.pop(digest)
                (self._folder / digest).unlink(missing_ok=True)
        return excess <= 0


class LockedFolder:
    """A temporary folder that the next process removes if this one dies.

    A process that is killed cannot remove its folder, but the system drops
    its lock on the file beside it.
    """

    def __init__(self, parent: Path) -> None:
        for lock_path in parent.glob(f"{FOLDER_PREFIX}*{LOCK_SUFFIX}"):
            _remove_abandoned(lock_path)
        while True:
            self._lock, name = tempfile.mkstemp(LOCK_SUFFIX, FOLDER_PREFIX, parent)
            self._lock_path = Path(name)
            # Another process that starts may take the file for an abandoned
            # one before it is locked.
            if _lock(self._lock) and self._lock_path.exists():
                break
            os.close(self._lock)
        self.path = self._lock_path.with_suffix("")
        self.path.mkdir(mode=0o700)

    def remove(self) -> None:
        """Remove the folder and drop the lock."""
        if self._lock >= 0:
            shutil.rmtree(self.path, ignore_errors=True)
            self._lock_path.unlink(missing_ok=True)
            os.close(self._lock)
            self._lock = -1


def _lock(descriptor: int) -> bool:
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
        if _lock(descriptor):
            shutil.rmtree(lock_path.with_suffix(""), ignore_errors=True)
            lock_path.unlink(missing_ok=True)
    finally:
        os.close(descriptor)


class _PartFile:
    """A file that is being written; removed unless it is renamed."""

    def __init__(self, folder: Path) -> None:
        descriptor, name = tempfile.mkstemp(prefix="part-", dir=folder)
        self._file = open(descriptor, "wb", buffering=0)  # noqa: SIM115 - close()
        self._path = Path(name)
        self._hasher = hashlib.sha256()
        self.size = 0

    @property
    def digest(self) -> str:
        """SHA-256 of what was written."""
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
