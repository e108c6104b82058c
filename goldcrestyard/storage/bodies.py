"""Content-addressed files: bodies under their SHA-256."""

import contextlib
import hashlib
import os
import re
import tempfile
from collections.abc import Container, Iterator
from pathlib import Path

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.storage.exceptions import DiskError

_DIGEST = re.compile(r"[0-9a-f]{64}")
_TEMPORARY_PREFIX = "tmp-"


def digest_of(body: bytes) -> BodyDigest:
    """Return the digest under which a body is stored."""
    return BodyDigest(hashlib.sha256(body).hexdigest())


def is_digest(text: str) -> bool:
    """Return whether a text has the form of a digest."""
    return _DIGEST.fullmatch(text) is not None


class BodyFiles:
    """Bodies as files in folders named by the first byte of their digest.

    The methods block on the disk; callers run them in a worker thread.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def put(self, body: bytes) -> BodyDigest:
        """Store a body; it is durable on return."""
        digest = digest_of(body)
        path = self._path(digest)
        try:
            if self._verify(path, digest) is not None:
                # The age of a body counts from when it was last stored.
                os.utime(path)
                return digest
            self._write(path, body)
        except OSError as error:
            raise DiskError(f"{path}: {error}") from error
        return digest

    def get(self, digest: BodyDigest) -> bytes | None:
        """Return a body, or None if it is absent or its file is damaged."""
        return self._verify(self._path(digest), digest)

    def sweep(
        self, older_than: float, keep: Container[BodyDigest], limit: int
    ) -> list[BodyDigest]:
        """Delete bodies last stored before a time, except those to keep.

        Deletes at most ``limit`` files, so that a sweep after a long outage
        does not occupy the disk; the next sweep goes on.  Returns the
        digests of the deleted bodies.
        """
        deleted: list[BodyDigest] = []
        for path in self._files():
            if len(deleted) >= limit:
                break
            if path.stat().st_mtime >= older_than or path.name in keep:
                continue
            path.unlink(missing_ok=True)
            deleted.append(BodyDigest(path.name))
        return deleted

    def _files(self) -> Iterator[Path]:
        if not self._folder.exists():
            return
        for folder in sorted(self._folder.iterdir()):
            yield from sorted(folder.iterdir())

    def _path(self, digest: BodyDigest) -> Path:
        return self._folder / digest[:2] / digest

    @staticmethod
    def _verify(path: Path, digest: BodyDigest) -> bytes | None:
        try:
            body = path.read_bytes()
        except FileNotFoundError:
            return None
        return body if digest_of(body) == digest else None

    def _write(self, path: Path, body: bytes) -> None:
        is_new_folder = not path.parent.exists()
        path.parent.mkdir(parents=True, exist_ok=True)
        if is_new_folder:
            _sync_folder(self._folder)
        descriptor, temporary = tempfile.mkstemp(
            prefix=_TEMPORARY_PREFIX, dir=path.parent
        )
        try:
            with open(descriptor, "wb") as file:
                file.write(body)
                file.flush()
                os.fsync(file.fileno())
            os.rename(temporary, path)
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary)
            raise
        _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
