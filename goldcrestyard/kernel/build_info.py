"""Commit of the code that runs, for the first log line of a process."""

import re
from pathlib import Path

REPOSITORY = Path(__file__).parent.parent.parent

_COMMIT = re.compile(r"[0-9a-f]{40}")
_REFERENCE_PREFIX = "ref: "
_SHORT_CHARACTERS = 12


def read_commit(repository: Path = REPOSITORY) -> str | None:
    """Return the short id of the commit that is checked out.

    None stands for a package that is not in a checkout.  Changes in the
    working tree are not looked for.  Git itself need not be installed.
    """
    folder = repository / ".git"
    try:
        head = (folder / "HEAD").read_text().strip()
        if head.startswith(_REFERENCE_PREFIX):
            head = _read_reference(folder, head.removeprefix(_REFERENCE_PREFIX))
    except (OSError, UnicodeDecodeError):
        return None
    return head[:_SHORT_CHARACTERS] if _COMMIT.fullmatch(head) else None


def _read_reference(folder: Path, name: str) -> str:
    loose = folder / name
    if loose.exists():
        return loose.read_text().strip()
    for line in (folder / "packed-refs").read_text().splitlines():
        commit, _, packed_name = line.partition(" ")
        if packed_name == name:
            return commit
    return ""
