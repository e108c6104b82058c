"""Commands and snapshot of the replicated address list."""

from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, InstanceId, Region


@dataclass(frozen=True, slots=True)
class Entry:
    """An instance that serves callers, with its addresses and location."""

    id: InstanceId
    public_address: str
    admin_address: str
    data_centre: DataCentre
    region: Region
    draining: bool = False
    peer_address: str = ""
    capacity: float | None = None
    """Processor time in cores; None if it is not known, as in the record of a
    release that does not announce it."""


@dataclass(frozen=True, slots=True)
class PutEntry:
    """Adds an entry, or replaces it after a change of address or state."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class RemoveEntry:
    """Removes an entry that has stopped or is lost."""

    id: InstanceId


@dataclass(frozen=True, slots=True)
class EntriesSnapshot:
    """Snapshot of ``EntriesSlice``."""

    entries: tuple[Entry, ...]
