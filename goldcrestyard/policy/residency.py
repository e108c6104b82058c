"""Home regions: where requests may be served, stored and directed.

A route or an organisation with home regions is served only there.  An empty
list of homes means that there are none.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from goldcrestyard.core.ids import Region


class Located(Protocol):
    """Something that has a region."""

    @property
    def region(self) -> Region:
        """The region in which it is."""
        ...


EntryT = TypeVar("EntryT", bound=Located)


def allowed_regions(*homes: Collection[Region]) -> frozenset[Region] | None:
    """Return the regions that all given lists of homes allow.

    Empty lists allow every region; None means that all lists are empty.  An
    empty set means that the lists have no region in common, so that a request
    can be served nowhere.
    """
    lists = [frozenset(regions) for regions in homes if regions]
    return frozenset.intersection(*lists) if lists else None


def is_allowed(region: Region, allowed: frozenset[Region] | None) -> bool:
    """Return whether a request may be served in a region."""
    return allowed is None or region in allowed


def may_be_stored(
    allowed: frozenset[Region] | None, member_regions: Collection[Region]
) -> bool:
    """Return whether control members in the given regions may store a body."""
    return allowed is None or allowed.issuperset(member_regions)


@dataclass(frozen=True, slots=True)
class HostHomes:
    """Home regions of the routes of a host that have some."""

    common: frozenset[Region]
    """Regions that are homes of each of these routes."""
    any: frozenset[Region]
    """Regions that are homes of at least one of them."""


def homes_by_host(
    homes: Iterable[tuple[str, Collection[Region]]],
) -> dict[str, HostHomes]:
    """Return the homes of each host that has a route with homes.

    ``homes`` are the host and the homes of each route.
    """
    found: dict[str, HostHomes] = {}
    for host, regions in homes:
        if not regions:
            continue
        known = found.get(host)
        new = frozenset(regions)
        found[host] = (
            HostHomes(new, new)
            if known is None
            else HostHomes(known.common & new, known.any | new)
        )
    return found


def nameable_entries(
    entries: Sequence[EntryT], homes: HostHomes | None, caller_region: str | None
) -> Sequence[EntryT]:
    """Return the entries that the directory may name to a caller of a host.

    A look-up does not tell the path, so entries that suit each route of the
    host come first, then those that suit one of them.  If no entry does, all
    are named: the machine to which a caller connects may be anywhere.
    """
    if homes is None:
        return entries
    for regions in (homes.common, homes.any):
        suited = [
            entry
            for entry in entries
            if entry.region in regions or entry.region == caller_region
        ]
        if suited:
            return suited
    return entries
