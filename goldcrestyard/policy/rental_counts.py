"""How many targets of a service to rent in each data centre."""

import math
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.serving import RentalBounds

SLOTS_FOR_EACH_ITEM = 2.0
"""Slots to have for each item of the largest wave.  Items come in waves of
whole steps and a trainer waits for the slowest of them, while a target costs
little against a late step; the spare half also bears the loss of a zone."""


@dataclass(frozen=True, slots=True)
class Present:
    """Targets of a service in one data centre that take new work."""

    on_demand: int = 0
    reclaimable: int = 0


def wanted_targets(most_items: int, slots: int) -> int:
    """Return the number of targets for the largest wave of items."""
    return math.ceil(most_items * SLOTS_FOR_EACH_ITEM / max(1, slots))


def spread(
    wanted: int,
    bounds: RentalBounds,
    present_by_data_centre: Mapping[DataCentre, Present],
    exhausted: AbstractSet[DataCentre],
) -> dict[DataCentre, int]:
    """Return the on-demand targets to have in each data centre.

    They are spread evenly, so that the loss of a data centre takes few, and
    go to the cheaper ones first.  What is there is kept.
    """
    counts: dict[DataCentre, int] = {}
    rooms: dict[DataCentre, int] = {}
    for data_centre in bounds.prices_by_data_centre:
        present = present_by_data_centre.get(data_centre, Present())
        counts[data_centre] = max(bounds.least, present.on_demand)
        full = data_centre in exhausted
        rooms[data_centre] = (
            0
            if full
            else max(0, bounds.most - present.reclaimable - counts[data_centre])
        )
    total = sum(counts.values()) + sum(
        present.reclaimable for present in present_by_data_centre.values()
    )
    while total < wanted and any(rooms.values()):
        data_centre = min(
            (name for name, room in rooms.items() if room > 0),
            key=lambda name: (
                counts[name],
                bounds.prices_by_data_centre[name],
                name,
            ),
        )
        counts[data_centre] += 1
        rooms[data_centre] -= 1
        total += 1
    return counts
