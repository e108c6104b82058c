"""The preferred region of the replicated log's leader."""

from collections import Counter
from collections.abc import Mapping

from goldcrestyard.core.ids import DataCentre, Region

OTHER_REGION_DELAY_SECONDS = 0.3
"""Extra election timeout of a member outside the preferred region.  It exceeds
the random spread of the timeouts, so that such a member becomes leader only if
no other can."""


def election_delay(
    region: Region, regions_by_data_centre: Mapping[DataCentre, Region]
) -> float:
    """Return the extra election timeout of a member in a region, in seconds.

    The region with the most data centres is preferred, since it has the most
    callers, targets and members.  A leader elsewhere would send all of their
    traffic over the link between regions.
    """
    counts = Counter(regions_by_data_centre.values())
    most = max(counts.values(), default=0)
    return 0.0 if counts[region] >= most else OTHER_REGION_DELAY_SECONDS
