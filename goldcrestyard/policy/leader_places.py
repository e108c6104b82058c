"""Where the leader of the replicated log should run."""

from collections import Counter
from collections.abc import Mapping

from goldcrestyard.core.ids import DataCentre, Region

OTHER_REGION_SECONDS = 0.3
"""How much later a member outside the preferred region stands for election:
longer than the spread of the timers, so that it leads only if no other can."""


def election_delay(
    region: Region, regions_by_data_centre: Mapping[DataCentre, Region]
) -> float:
    """Return by how many seconds a member's election timer is longer.

    The region with the most data centres has the most callers, targets and
    members; a leader elsewhere would send all of their traffic over the link
    between regions.
    """
    counts = Counter(regions_by_data_centre.values())
    most = max(counts.values(), default=0)
    return 0.0 if counts[region] >= most else OTHER_REGION_SECONDS
