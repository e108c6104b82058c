"""Folders whose entries survive a power failure."""

import os
from pathlib import Path


def make_folder(folder: Path) -> None:
    """Create a folder and its parents; their names are durable on return.

    Those that exist are synced as well, up to the root of the file system: an
    earlier process may have created them and been killed before the sync.
    """
    folder = folder.absolute()
    missing = [path for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for path in (folder, *folder.parents):
        if path.is_mount():
            break
        try:
            sync_folder(path.parent)
        except PermissionError:
            # A folder of the system that this process may pass but not read.
            if path in missing:
                raise


def sync_folder(folder: Path) -> None:
    """Make creations, renames and removals in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
