"""The file that holds a member's identity, term and vote."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from goldcrestyard.storage.atomic_file import AtomicFile
from goldcrestyard.storage.files import Files


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """What a member must never forget.

    ``cluster`` is empty until the member belongs to a cluster.
    """

    member: str
    cluster: str = ""
    term: int = 0
    voted_for: str | None = None


class VoteFile:
    """Reads and replaces the vote record."""

    def __init__(self, folder: Path, files: Files) -> None:
        self._file = AtomicFile(folder / "vote", files)

    def read(self) -> VoteRecord | None:
        """Return the record, or None on a disk that has none."""
        content = self._file.read()
        if content is None:
            return None
        return msgspec.json.decode(content, type=VoteRecord)

    def write(self, record: VoteRecord) -> None:
        """Replace the record; it is durable on return."""
        self._file.write(msgspec.json.encode(record))
