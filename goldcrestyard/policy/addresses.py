"""The order in which a caller tries the entries, nearest ones first."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, InstanceId, Region


@dataclass(frozen=True, slots=True)
class EntryLocation:
    """The location of an entry."""

    id: InstanceId
    data_centre: DataCentre
    region: Region


def order_entries(
    locations: Iterable[EntryLocation],
    caller: str,
    data_centre: str,
    region: str,
    cut_off: Region | None = None,
) -> list[InstanceId]:
    """Return the entries in the order in which a caller should try them.

    Entries of the caller's data centre come first, then those of its region,
    then the others.  Entries of the ``cut_off`` region, which may have lost
    the leader, come last, since they refuse callers with a key.

    Within each group the order is given by a hash of caller and entry
    (rendezvous hashing), so that callers are spread over the entries, and each
    caller keeps its choice when other entries are added or removed.
    """

    def rank(location: EntryLocation) -> tuple[bool, bool, bool, bytes]:
        digest = hashlib.sha256(f"{caller}\0{location.id}".encode()).digest()
        return (
            location.region == cut_off,
            location.data_centre != data_centre,
            location.region != region,
            digest,
        )

    return [location.id for location in sorted(locations, key=rank)]
