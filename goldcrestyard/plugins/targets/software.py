"""The software versions whose targets have left a service lately."""

from collections.abc import Iterable

from goldcrestyard.core.ids import SoftwareVersion
from goldcrestyard.core.records import Target
from goldcrestyard.plugins.targets.commands import LeftSoftware

KEPT_SECONDS = 120.0
"""Time in seconds for which a departure is kept, twice the time for which
callers may take up a stream of the version that left."""

MAX_LEFT = 4096
"""Maximum number of recorded departures of versions from services.  Beyond it
the oldest one is forgotten, and the record counts as new."""


class LeftVersions:
    """When the latest target of each version left each service."""

    def __init__(
        self,
        left: Iterable[LeftSoftware] = (),
        known_since: float | None = 0.0,
    ) -> None:
        """Create a record that is complete since a Unix time, if known."""
        self.known_since = known_since
        self._left_by_version = {(one.service, one.software): one for one in left}

    def note(self, target: Target, time: float) -> None:
        """Record that a run of a target has ended or has other software."""
        for service in target.serves:
            key = (service, target.software)
            self._left_by_version.pop(key, None)
            self._left_by_version[key] = LeftSoftware(service, target.software, time)
        while self._left_by_version:
            oldest = next(iter(self._left_by_version.values()))
            if len(self._left_by_version) > MAX_LEFT:
                self.known_since = time
            elif time - oldest.at <= KEPT_SECONDS:
                return
            del self._left_by_version[oldest.service, oldest.software]

    def since(self, service: str, time: float) -> frozenset[SoftwareVersion] | None:
        """Return the versions that left a service since a Unix time.

        Returns None if that is not known.
        """
        if self.known_since is None or self.known_since > time:
            return None
        return frozenset(
            one.software
            for one in self._left_by_version.values()
            if one.service == service and one.at >= time
        )

    def to_snapshot(self) -> tuple[LeftSoftware, ...]:
        """Return the departures, the oldest first."""
        return tuple(self._left_by_version.values())
