"""Exclusive lock that keeps a second process from using a data folder."""

import fcntl
import os
from pathlib import Path

from goldcrestyard.storage.exceptions import FolderInUseError


class FolderLock:
    """Advisory lock that is held until closed or until the process ends.

    Raises ``FolderInUseError`` if another process holds it.
    """

    def __init__(self, folder: Path) -> None:
        path = folder / "lock"
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            raise FolderInUseError(
                f"{folder} is in use by another process; stop that process first."
            ) from error

    def close(self) -> None:
        """Release the lock."""
        os.close(self._descriptor)
