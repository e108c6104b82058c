"""Commands and snapshot of the entries slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, InstanceId, Region


@dataclass(frozen=True, slots=True)
class Entry:
    """An instance that accepts callers."""

    id: InstanceId
    public_address: str
    admin_address: str
    data_centre: DataCentre
    region: Region
    draining: bool = False
    peer_address: str = ""


@dataclass(frozen=True, slots=True)
class PutEntry:
    """An entry is there, or its place or state has changed."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class RemoveEntry:
    """An entry has stopped or is lost."""

    id: InstanceId


@dataclass(frozen=True, slots=True)
class EntriesSnapshot:
    """The whole slice."""

    entries: tuple[Entry, ...]
