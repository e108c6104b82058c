"""Content-addressed storage of bodies, in files named by their SHA-256."""

import contextlib
import hashlib
import itertools
import os
import re
import tempfile
from collections.abc import Container, Iterable
from pathlib import Path

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.storage.exceptions import DiskError
from goldcrestyard.storage.folders import make_folder, sync_folder

_DIGEST = re.compile(r"[0-9a-f]{64}")
_TEMPORARY_PREFIX = "tmp-"

FOLDER_COUNT = 256
"""Number of folders: one for each value of a digest's first byte."""


def compute_digest(body: bytes) -> BodyDigest:
    """Return the SHA-256 of a body, under which it is stored."""
    return BodyDigest(hashlib.sha256(body).hexdigest())


def is_digest(text: str) -> bool:
    """Return whether a text is 64 lower-case hexadecimal digits."""
    return _DIGEST.fullmatch(text) is not None


class BodyStore:
    """Stores bodies in folders named by the first byte of their digest.

    The modification time of a file is the time until which its body is kept.
    Methods block on the disk, so callers run them in a worker thread.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._next_folder = 0
        self._durable_folders: set[Path] = set()
        """Folders whose names this process has made durable."""

    def put(self, body: bytes, keep_until: float) -> BodyDigest:
        """Store a body and return its digest; it is durable on return.

        It is kept at least until ``keep_until``, in seconds of wall time; a
        later time already set is not shortened.  Raises ``DiskError``.
        """
        digest = compute_digest(body)
        path = self._path(digest)
        try:
            self._make_folder(path.parent)
            if self._read_verified(path, digest) is None:
                self._write(path, body, keep_until)
                return digest
            # The process that stored it may have been killed before this.
            sync_folder(path.parent)
            if path.stat().st_mtime < keep_until:
                os.utime(path, (keep_until, keep_until))
        except OSError as error:
            raise DiskError(f"{path}: {error}") from error
        return digest

    def get(self, digest: BodyDigest) -> bytes | None:
        """Return a body, or None if it is absent or its file is damaged."""
        return self._read_verified(self._path(digest), digest)

    def find_missing(
        self, digests: Iterable[BodyDigest], limit: int
    ) -> list[BodyDigest]:
        """Return the digests that have no file, at most ``limit`` of them."""
        absent = (digest for digest in digests if not self._path(digest).exists())
        return list(itertools.islice(absent, limit))

    def delete_expired(
        self, now: float, keep: Container[BodyDigest], folders: int
    ) -> list[BodyDigest]:
        """Delete expired bodies, except those in ``keep``; return the deleted.

        Each call examines only the next ``folders`` of the 256 folders, so
        that its work is bounded.
        """
        deleted: list[BodyDigest] = []
        for _ in range(folders):
            folder = self._folder / f"{self._next_folder:02x}"
            self._next_folder = (self._next_folder + 1) % FOLDER_COUNT
            if not folder.is_dir():
                continue
            for path in list(folder.iterdir()):
                # A temporary file may be renamed in the meantime.
                with contextlib.suppress(FileNotFoundError):
                    if path.stat().st_mtime < now and path.name not in keep:
                        path.unlink()
                        deleted.append(BodyDigest(path.name))
        return deleted

    def _path(self, digest: BodyDigest) -> Path:
        return self._folder / digest[:2] / digest

    def _make_folder(self, folder: Path) -> None:
        if folder in self._durable_folders and folder.is_dir():
            return
        make_folder(folder)
        self._durable_folders.add(folder)

    @staticmethod
    def _read_verified(path: Path, digest: BodyDigest) -> bytes | None:
        try:
            body = path.read_bytes()
        except FileNotFoundError:
            return None
        return body if compute_digest(body) == digest else None

    def _write(self, path: Path, body: bytes, keep_until: float) -> None:
        descriptor, temporary = tempfile.mkstemp(
            prefix=_TEMPORARY_PREFIX, dir=path.parent
        )
        try:
            with open(descriptor, "wb") as file:
                file.write(body)
                file.flush()
                os.utime(file.fileno(), (keep_until, keep_until))
                os.fsync(file.fileno())
            os.rename(temporary, path)
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary)
            raise
        sync_folder(path.parent)
