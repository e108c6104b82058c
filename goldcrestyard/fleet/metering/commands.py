"""Commands, digest and snapshot of the metering slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.policy.usage_numbers import WindowNumber


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Requests that began in one window, by organisation."""

    window: WindowNumber
    counts_by_organisation: dict[OrganisationId, int]


@dataclass(frozen=True, slots=True)
class UsageCounts:
    """What one entry has counted in the latest windows.

    ``run`` tells the counts of a process from those of the one before it.
    """

    run: str
    windows: tuple[WindowCounts, ...]


@dataclass(frozen=True, slots=True)
class NoReply:
    """The leader has nothing to say on a digest."""


@dataclass(frozen=True, slots=True)
class CloseUsage:
    """The counts of a window are final, and are to be reported."""

    counts: WindowCounts


@dataclass(frozen=True, slots=True)
class UsageReported:
    """A window's report has been accepted."""

    window: WindowNumber


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """The whole slice."""

    last_closed: WindowNumber | None
    unreported: tuple[WindowCounts, ...]
