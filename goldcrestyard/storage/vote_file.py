"""File that stores a member's identity, cluster, term and vote."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.storage.atomic_file import AtomicFile
from goldcrestyard.storage.exceptions import CorruptFileError
from goldcrestyard.storage.files import Files


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """Identity and Raft vote of a member.

    Losing the record would allow a second vote in a term.  ``cluster`` is
    empty until the member belongs to a cluster; ``voted_for`` is None if it
    has not voted in ``term``.
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
        """Return the record, or None if there is no file."""
        content = self._file.read()
        if content is None:
            return None
        record = decode_json(bytes(content), VoteRecord)
        if isinstance(record, Malformed):
            raise CorruptFileError(
                f"The vote file cannot be decoded: {record.detail}. Move the data "
                "folder aside and replace this member from the others."
            )
        return record

    def write(self, record: VoteRecord) -> None:
        """Replace the record; it is durable on return."""
        self._file.write(msgspec.json.encode(record))

    def discard_failed_write(self) -> None:
        """Remove what a write that did not end has left behind."""
        self._file.discard_failed_write()
