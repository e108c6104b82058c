"""Number of targets to rent in each data centre.

The number of targets for a service depends on its largest burst of items.  The
targets are spread over the data centres, within the bounds of each.
"""

import math
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.serving import RentalBounds

SLOTS_PER_ITEM = 2.0
"""Slots to provide for each item of the largest burst.  Items arrive in bursts
of whole training steps, and a trainer waits for the slowest item.  An extra
target costs little compared with a late step, and the spare half of the slots
also covers the loss of a data centre."""


@dataclass(frozen=True, slots=True)
class EngineCounts:
    """Number of a service's targets in a data centre that take new work."""

    on_demand: int = 0
    reclaimable: int = 0


def wanted_targets(most_items: int, slots: int) -> int:
    """Return the number of targets for the largest burst of items.

    ``slots`` is the number of items that a target runs at a time.
    """
    return math.ceil(most_items * SLOTS_PER_ITEM / max(1, slots))


def spread_targets(
    wanted: int,
    bounds: RentalBounds,
    counts_by_data_centre: Mapping[DataCentre, EngineCounts],
    exhausted: AbstractSet[DataCentre],
) -> dict[DataCentre, int]:
    """Return the number of on-demand targets to rent in each data centre.

    They are spread evenly, so that the loss of a data centre removes as few as
    possible, and cheaper data centres come first.  Existing targets are kept,
    and reclaimable ones count towards ``wanted``.  ``exhausted`` data centres
    recently had no free machines.
    """
    counts: dict[DataCentre, int] = {}
    headroom_by_data_centre: dict[DataCentre, int] = {}
    for data_centre in bounds.prices_by_data_centre:
        present = counts_by_data_centre.get(data_centre, EngineCounts())
        counts[data_centre] = max(bounds.least, present.on_demand)
        is_exhausted = data_centre in exhausted
        headroom_by_data_centre[data_centre] = (
            0
            if is_exhausted
            else max(0, bounds.most - present.reclaimable - counts[data_centre])
        )
    total = sum(counts.values()) + sum(
        present.reclaimable for present in counts_by_data_centre.values()
    )
    while total < wanted and any(headroom_by_data_centre.values()):
        data_centre = min(
            (
                name
                for name, headroom in headroom_by_data_centre.items()
                if headroom > 0
            ),
            key=lambda name: (
                counts[name],
                bounds.prices_by_data_centre[name],
                name,
            ),
        )
        counts[data_centre] += 1
        headroom_by_data_centre[data_centre] -= 1
        total += 1
    return counts
