"""Keeps two processes from using one data folder."""

import fcntl
import os
from pathlib import Path

from goldcrestyard.storage.exceptions import FolderInUseError


class FolderLock:
    """Held until closed or until the process ends."""

    def __init__(self, folder: Path) -> None:
        path = folder / "lock"
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            raise FolderInUseError(
                f"{folder} is used by another process; stop it first."
            ) from error

    def close(self) -> None:
        """Release the folder."""
        os.close(self._descriptor)
