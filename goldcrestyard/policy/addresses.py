"""The entries that a caller tries, and their order, nearest ones first."""

import hashlib
import heapq
import math
import statistics
from collections.abc import Iterable, Mapping
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


def known_capacities(
    capacities: Mapping[InstanceId, float | None],
) -> dict[InstanceId, float]:
    """Return capacities in which an unknown one is the median of the rest."""
    known = [capacity for capacity in capacities.values() if capacity is not None]
    median = statistics.median(known) if known else 1.0
    return {
        entry: median if capacity is None else capacity
        for entry, capacity in capacities.items()
    }


def entries_by_capacity(
    capacities: Mapping[InstanceId, float], caller: str, count: int
) -> list[InstanceId]:
    """Return the ``count`` entries that a caller should use.

    Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
    distributed hash tables", SPAA 2005): the entries with the highest
    ``-capacity / ln(h)``, where ``h`` in (0, 1) is a hash of caller and entry.
    An entry is first with a probability in proportion to its capacity.  One
    that is removed moves only its own callers; one that is added moves only
    those that get it.

    Load: callers that choose at random among their entries, which differ in
    processor time.
    """

    def score(entry: InstanceId) -> float:
        digest = hashlib.blake2b(f"{caller}\0{entry}".encode(), digest_size=7).digest()
        # With 52 of the 56 bits the quotient is exact, so it is never 0 or 1.
        numerator = (int.from_bytes(digest) >> 4) + 0.5
        return -capacities[entry] / math.log(numerator / 2**52)

    return heapq.nlargest(count, capacities, key=score)
