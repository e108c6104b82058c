"""An in-memory file system that tracks which data has been synced.

It injects crashes and I/O errors, and a crash loses what was not synced.
"""

import copy
import errno
import random
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path


class Crash(BaseException):
    """A simulated process crash.

    Derives from ``BaseException`` so that no handler of ``Exception`` catches
    it.
    """


@dataclass
class _Inode:
    """A file's content as written, and its durable (synced) content."""

    content: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    unsynced: list[tuple[int, bytes | None]] = field(default_factory=list)
    """Writes since the last sync: the offset and the data, or None if the file
    was truncated there."""


class Unsynced(Enum):
    """What a power loss leaves of the writes that were not synced."""

    GONE = "gone"
    """None of them, and no name whose folder was not synced."""
    PREFIX = "prefix"
    """Of each file the first writes, the last one of these perhaps in part."""
    TORN = "torn"
    """Of each write all, nothing or any part; zeros take a missing place."""


@dataclass(frozen=True)
class Fault:
    """A fault injected at the n-th operation that changes a file, from 1."""

    operation: int
    crash_before: bool = False
    crash_after: bool = False
    error: int = 0
    """An ``errno`` value to raise instead of the operation; 0 for none."""
    lasting: bool = False
    """Whether the error also meets all later operations."""
    only: tuple[str, ...] = ()
    """Names of the operations that the error meets; empty for all."""


class MemoryFiles:
    """Implements ``goldcrestyard.storage.files.Files`` in memory."""

    def __init__(self, fault: Fault | None = None) -> None:
        self.fault = fault
        self.capacity: int | None = None
        """Size in bytes at which the disk is full; None for no limit."""
        self.operations: list[str] = []
        self._inodes_by_path: dict[Path, _Inode] = {}
        self._durable_by_path: dict[Path, _Inode] = {}
        # Changes of names that no sync of their folder covers: each gives the
        # new file of the paths that it concerns, or None if one is removed.
        self._unsynced_names: list[dict[Path, _Inode | None]] = []

    # Fault injection.

    def crash(self, random_source: random.Random) -> None:
        """Lose unsynced data, but for a random prefix of appended bytes."""
        self._inodes_by_path = dict(self._durable_by_path)
        for inode in self._inodes_by_path.values():
            unsynced = inode.content[len(inode.durable) :]
            kept = random_source.randrange(len(unsynced) + 1)
            if inode.content.startswith(inode.durable):
                inode.durable += bytes(unsynced[:kept])
            inode.content = bytearray(inode.durable)
            inode.unsynced.clear()
        self._unsynced_names.clear()
        self.fault = None

    def after_kill(self) -> "MemoryFiles":
        """Return the disk as the next process finds it, with all writes."""
        files = copy.deepcopy(self)
        files.fault = None
        return files

    def after_power_loss(
        self, random_source: random.Random, unsynced: Unsynced
    ) -> "MemoryFiles":
        """Return the disk as the next process finds it.

        Names whose folder was not synced are kept or lost independently, and
        so are the writes that were not synced; see ``Unsynced``.
        """
        files = copy.deepcopy(self)
        files.fault = None
        names = files._durable_by_path
        for change in files._unsynced_names:
            if unsynced is Unsynced.GONE or random_source.random() < 0.5:
                continue
            for path, inode in change.items():
                if inode is None:
                    names.pop(path, None)
                else:
                    names[path] = inode
        for inode in {id(inode): inode for inode in names.values()}.values():
            _lose_unsynced(inode, random_source, unsynced)
        files._inodes_by_path = dict(names)
        files._unsynced_names.clear()
        return files

    def flip_bit(self, path: Path, position: int) -> None:
        """Flip one bit of the byte at a position, also in the synced data."""
        inode = self._inodes_by_path[path]
        inode.content[position] ^= 0x10
        inode.durable = bytes(inode.content)
        inode.unsynced.clear()

    def truncate_durable(self, path: Path, size: int) -> None:
        """Shorten a file and its synced data, as a torn write does."""
        inode = self._inodes_by_path[path]
        del inode.content[size:]
        inode.durable = bytes(inode.content)
        inode.unsynced.clear()

    def lose_bytes(self, path: Path, first: int, end: int) -> None:
        """Lose a part of an append; what was never written reads as zeros."""
        inode = self._inodes_by_path[path]
        end = min(len(inode.content), end)
        inode.content[first:end] = bytes(max(0, end - first))
        inode.durable = bytes(inode.content)

    def size(self, path: Path) -> int:
        return len(self._inodes_by_path[path].content)

    @property
    def used(self) -> int:
        """Number of bytes that the files take."""
        return sum(len(inode.content) for inode in self._inodes_by_path.values())

    def paths(self) -> list[Path]:
        return sorted(self._inodes_by_path)

    # Operations of the ``Files`` interface.

    def make_folder(self, folder: Path) -> None:
        pass

    def list_names(self, folder: Path) -> list[str]:
        return sorted(p.name for p in self._inodes_by_path if p.parent == folder)

    def read(self, path: Path) -> bytes | None:
        inode = self._inodes_by_path.get(path)
        return None if inode is None else bytes(inode.content)

    def append(self, path: Path, data: bytes) -> None:
        self._before_operation("append")
        room = len(data) if self.capacity is None else self.capacity - self.used
        if path not in self._inodes_by_path:
            inode = self._inodes_by_path[path] = _Inode()
            self._unsynced_names.append({path: inode})
        inode = self._inodes_by_path[path]
        written = data[: max(0, room)]
        inode.unsynced.append((len(inode.content), written))
        inode.content.extend(written)
        if room < len(data):
            raise OSError(errno.ENOSPC, errno.errorcode[errno.ENOSPC])
        self._after_operation()

    def truncate(self, path: Path, size: int) -> None:
        self._before_operation("truncate")
        inode = self._inodes_by_path[path]
        inode.unsynced.append((size, None))
        del inode.content[size:]
        self._after_operation()

    def sync(self, path: Path) -> None:
        """Make writes durable; a sync that fails drops them from the cache.

        They can still be read then, but no later sync writes them.
        """
        inode = self._inodes_by_path[path]
        try:
            self._before_operation("sync")
        except OSError:
            inode.unsynced.clear()
            raise
        durable = bytearray(inode.durable)
        for offset, data in inode.unsynced:
            if data is None:
                del durable[offset:]
            else:
                durable.extend(bytes(max(0, offset - len(durable))))
                durable[offset : offset + len(data)] = data
        inode.durable = bytes(durable)
        inode.unsynced.clear()
        self._after_operation()

    def replace(self, source: Path, destination: Path) -> None:
        self._before_operation("replace")
        inode = self._inodes_by_path[destination] = self._inodes_by_path.pop(source)
        self._unsynced_names.append({source: None, destination: inode})
        self._after_operation()

    def remove(self, path: Path) -> None:
        self._before_operation("remove")
        if self._inodes_by_path.pop(path, None) is not None:
            self._unsynced_names.append({path: None})
        self._after_operation()

    def sync_folder(self, folder: Path) -> None:
        self._before_operation("sync_folder")
        for path in [p for p in self._durable_by_path if p.parent == folder]:
            del self._durable_by_path[path]
        for path, inode in self._inodes_by_path.items():
            if path.parent == folder:
                self._durable_by_path[path] = inode
        for change in self._unsynced_names:
            for path in [p for p in change if p.parent == folder]:
                del change[path]
        self._unsynced_names = [change for change in self._unsynced_names if change]
        self._after_operation()

    def close(self) -> None:
        pass

    def _before_operation(self, operation: str) -> None:
        self.operations.append(operation)
        fault = self.fault
        if fault is None or fault.operation > len(self.operations):
            return
        if fault.operation < len(self.operations) and not fault.lasting:
            return
        if fault.crash_before:
            raise Crash
        if fault.error and (not fault.only or operation in fault.only):
            raise OSError(fault.error, errno.errorcode[fault.error])

    def _after_operation(self) -> None:
        fault = self.fault
        if fault and fault.crash_after and fault.operation == len(self.operations):
            raise Crash


def _lose_unsynced(
    inode: _Inode, random_source: random.Random, unsynced: Unsynced
) -> None:
    """Rebuild a file's content from what was synced and parts of the rest."""
    content = bytearray(inode.durable)
    for offset, data in inode.unsynced:
        if unsynced is Unsynced.GONE:
            break
        start, end = _surviving_part(len(data or b""), random_source, unsynced)
        if data is None:
            if random_source.random() < 0.5:
                del content[offset:]
            elif unsynced is Unsynced.PREFIX:
                break
            continue
        if start < end:
            content.extend(bytes(max(0, offset + start - len(content))))
            content[offset + start : offset + end] = data[start:end]
        if unsynced is Unsynced.PREFIX and end < len(data):
            break
    inode.content = content
    inode.durable = bytes(content)
    inode.unsynced.clear()


def _surviving_part(
    size: int, random_source: random.Random, unsynced: Unsynced
) -> tuple[int, int]:
    """Return the start and the end of the part of a write that is kept."""
    cut = random_source.randrange(size + 1)
    match random_source.randrange(4):
        case 0:
            return 0, size
        case 1:
            return 0, 0
        case 2 if unsynced is Unsynced.TORN:
            return cut, size
        case _:
            return 0, cut
