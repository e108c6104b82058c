"""The choice of a target for a request."""

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

from goldcrestyard.core.ids import Region, TargetId
from goldcrestyard.core.records import Target

REMOTE_REGION_COST = 4.0
"""In requests in flight: a call to the other region uses the paid link."""


def choose_target(
    candidates: Sequence[Target],
    in_flight_by_target: Mapping[TargetId, int],
    region: Region,
    tried: AbstractSet[TargetId],
) -> Target | None:
    """Return the least loaded target that has room, or None."""
    free = [
        target
        for target in candidates
        if target.id not in tried
        and in_flight_by_target.get(target.id, 0) < target.max_concurrency
    ]

    def cost(target: Target) -> tuple[float, TargetId]:
        load = in_flight_by_target.get(target.id, 0) / target.max_concurrency
        remote = REMOTE_REGION_COST if target.region != region else 0.0
        return load + remote, target.id

    return min(free, key=cost, default=None)
