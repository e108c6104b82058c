"""Messages from entries to the leader about targets that leave."""

from dataclasses import dataclass

from goldcrestyard.core.ids import TargetId


@dataclass(frozen=True, slots=True)
class LeavingRecord:
    """A run of a target that has said that it leaves."""

    target: TargetId
    incarnation: str


@dataclass(frozen=True, slots=True)
class LeavingRecords:
    """Digest of an entry."""

    records: tuple[LeavingRecord, ...]


MESSAGES = (LeavingRecord, LeavingRecords)
