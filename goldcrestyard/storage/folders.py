"""Folders whose entries survive a power failure."""

import os
from pathlib import Path


def make_folder(folder: Path) -> None:
    """Create a folder and its parents; their names are durable on return."""
    missing = [path for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for path in missing:
        sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Make creations, renames and removals in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
