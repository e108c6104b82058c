"""The order in which callers should try the entries."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, InstanceId, Region


@dataclass(frozen=True, slots=True)
class Place:
    """Where an entry runs, as far as the order depends on it."""

    id: InstanceId
    data_centre: DataCentre
    region: Region


def order_for(
    places: Iterable[Place],
    asker: str,
    data_centre: str,
    region: str,
    cut_off: Region | None = None,
) -> list[InstanceId]:
    """Order entries for an asker: its data centre, its region, the rest.

    Entries of a region that may be cut off come last, since they refuse
    callers with a key.

    Within each, the order is a hash of asker and entry (rendezvous hashing),
    so that askers spread over the entries and each keeps its choice when
    others come and go.
    """

    def rank(place: Place) -> tuple[bool, bool, bool, bytes]:
        digest = hashlib.sha256(f"{asker}\0{place.id}".encode()).digest()
        return (
            place.region == cut_off,
            place.data_centre != data_centre,
            place.region != region,
            digest,
        )

    return [place.id for place in sorted(places, key=rank)]
