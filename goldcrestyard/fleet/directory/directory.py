"""Selection of the entries whose addresses a caller receives."""

from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.directory.settings import LISTED_ENTRIES
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.addresses.commands import Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.policy.addresses import entries_by_capacity, known_capacities
from goldcrestyard.policy.residency import HostHomes, nameable_entries
from goldcrestyard.policy.serving import ServingTable

MIN_NEARBY_ENTRIES = 2
"""Minimum number of entries in the caller's area; if it has fewer, the answer
contains the entries of a wider area.  Callers choose at random among the
addresses that they receive."""

ANSWER_TTL_SECONDS = 1.0
"""Time in seconds for which callers may cache an answer, some of them three
times as long.  It is shorter than the drain time of an entry, so that they
stop using an entry before it ends, and as short as the detection of entries
that do not answer.  Callers ask only before they open a connection."""


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Addresses of entries, and how long the caller may cache them."""

    addresses: tuple[str, ...]
    ttl_seconds: float


MIN_LISTED_ENTRIES = 3
"""Minimum length of a caller's list.  A shorter one is lost as a whole too
often."""

MAX_KEPT_LISTS = 4096
"""Maximum number of callers' lists that are kept until the next change."""


@dataclass(frozen=True, slots=True)
class _AreaKey:
    """What decides which entries are near a caller of a host.

    None stands for a name that no entry has, so that callers cannot make up
    keys without end.
    """

    data_centre: str | None
    region: str | None
    homes: HostHomes | None


@dataclass(frozen=True, slots=True)
class _Area:
    """The entries near a caller."""

    entries_by_id: dict[InstanceId, Entry]
    capacities: dict[InstanceId, float] | None
    """Capacity in cores of each entry; None if each caller gets all."""


class Directory:
    """Answers look-ups from the replicated list of entries.

    What it derives from the entries and the configuration is kept until one
    of them changes.
    """

    def __init__(
        self, member: ControlMember, listed_entries: int = LISTED_ENTRIES
    ) -> None:
        """Create the directory.

        A caller gets ``listed_entries`` if the capacities of the entries near
        it differ, but no fewer than ``MIN_LISTED_ENTRIES``; 0 names all.
        """
        self._member = member
        self._listed_entries = (
            max(MIN_LISTED_ENTRIES, listed_entries) if listed_entries else 0
        )
        self._entries = member.machine.get(EntriesSlice)
        self._serving = member.machine.get(ServingSlice)
        self._derived_from: tuple[int, ServingTable | None] = (-1, None)
        self._available: list[Entry] = []
        self._names: frozenset[str] = frozenset()
        self._areas_by_key: dict[_AreaKey, _Area] = {}
        self._lists_by_caller: dict[tuple[str, _AreaKey], tuple[str, ...]] = {}

    def look_up(
        self,
        data_centre: str,
        region: str,
        max_addresses: int,
        host: str = "",
        caller: str = "",
    ) -> DirectoryAnswer | None:
        """Return the entries near a caller of a host.

        ``caller`` is the caller's network address, empty if it is not known.
        None means that this member has no leader or that no entry is
        available.
        """
        if self._member.leader is None:
            return None
        table = self._serving.table
        if self._derived_from != (self._entries.changes, table):
            self._derive(table)
        if not self._available:
            return None
        key = _AreaKey(
            data_centre if data_centre in self._names else None,
            region if region in self._names else None,
            table.homes_of_host(host) if table is not None else None,
        )
        area = self._areas_by_key.get(key)
        if area is None:
            area = self._areas_by_key[key] = self._area(key)
        addresses = self._addresses(key, area, caller)
        return DirectoryAnswer(addresses[:max_addresses], ANSWER_TTL_SECONDS)

    def _derive(self, table: ServingTable | None) -> None:
        self._derived_from = (self._entries.changes, table)
        self._available = [
            entry
            for entry in self._entries.entries_by_id.values()
            if not entry.draining
        ]
        self._names = frozenset(
            name
            for entry in self._available
            for name in (entry.data_centre, entry.region)
        )
        self._areas_by_key.clear()
        self._lists_by_caller.clear()

    def _area(self, key: _AreaKey) -> _Area:
        near = select_nearest_entries(
            nameable_entries(self._available, key.homes, key.region),
            key.data_centre,
            key.region,
        )
        entries_by_id = {entry.id: entry for entry in near}
        capacities = known_capacities({entry.id: entry.capacity for entry in near})
        by_capacity = (
            0 < self._listed_entries < len(near) and len(set(capacities.values())) > 1
        )
        return _Area(entries_by_id, capacities if by_capacity else None)

    def _addresses(self, key: _AreaKey, area: _Area, caller: str) -> tuple[str, ...]:
        if not caller or area.capacities is None:
            return tuple(entry.public_address for entry in area.entries_by_id.values())
        known = self._lists_by_caller.get((caller, key))
        if known is None:
            listed = entries_by_capacity(area.capacities, caller, self._listed_entries)
            known = tuple(area.entries_by_id[id_].public_address for id_ in listed)
            if len(self._lists_by_caller) >= MAX_KEPT_LISTS:
                self._lists_by_caller.clear()
            self._lists_by_caller[caller, key] = known
        return known


def select_nearest_entries(
    entries: Sequence[Entry], data_centre: str | None, region: str | None
) -> Sequence[Entry]:
    """Return the entries of the smallest area that has enough of them.

    The areas are the caller's data centre, its region, and all regions.
    """
    same_data_centre = [entry for entry in entries if entry.data_centre == data_centre]
    if len(same_data_centre) >= MIN_NEARBY_ENTRIES:
        return same_data_centre
    same_region = [entry for entry in entries if entry.region == region]
    if len(same_region) >= MIN_NEARBY_ENTRIES:
        return same_region
    return entries
