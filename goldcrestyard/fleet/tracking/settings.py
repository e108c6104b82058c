"""Settings for tracking targets by their heartbeats."""

from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, Region
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class TrackingSettings:
    """Heartbeat interval, and the region of each data centre."""

    heartbeat_seconds: float = setting("Interval of the targets' heartbeats.")
    regions_by_data_centre: dict[DataCentre, Region] = setting(
        "Region of each data centre."
    )

    @property
    def regions(self) -> frozenset[Region]:
        """All regions of the deployment."""
        return frozenset(self.regions_by_data_centre.values())
