"""Selection of the entries whose addresses a caller receives."""

from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.addresses.commands import Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.policy.home_regions import nameable_entries

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


class Directory:
    """Answers look-ups from the replicated list of entries."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._entries = member.machine.get(EntriesSlice)
        self._serving = member.machine.get(ServingSlice)

    def look_up(
        self, data_centre: str, region: str, max_addresses: int, host: str = ""
    ) -> DirectoryAnswer | None:
        """Return the entries near a caller of a host.

        None means that this member has no leader or that no entry is
        available.
        """
        if self._member.leader is None:
            return None
        entries = [
            entry
            for entry in self._entries.entries_by_id.values()
            if not entry.draining
        ]
        if not entries:
            return None
        table = self._serving.table
        homes = table.homes_of_host(host) if table is not None else None
        near = select_nearest_entries(
            nameable_entries(entries, homes, region), data_centre, region
        )
        return DirectoryAnswer(
            tuple(entry.public_address for entry in near[:max_addresses]),
            ANSWER_TTL_SECONDS,
        )


def select_nearest_entries(
    entries: Sequence[Entry], data_centre: str, region: str
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
