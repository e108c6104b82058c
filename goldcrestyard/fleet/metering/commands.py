"""Commands and snapshot of the metering slice, and the entries' digests."""

from dataclasses import dataclass

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.policy.usage_numbers import WindowNumber


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Number of requests that began in one window, by organisation."""

    window: WindowNumber
    counts_by_organisation: dict[OrganisationId, int]


@dataclass(frozen=True, slots=True)
class UsageCounts:
    """Digest of an entry: its counts for the latest windows.

    ``run`` identifies the process, so that a restarted entry does not replace
    the counts of its earlier process.
    """

    run: str
    windows: tuple[WindowCounts, ...]


@dataclass(frozen=True, slots=True)
class NoReply:
    """Empty reply of the leader to a digest."""


@dataclass(frozen=True, slots=True)
class CloseUsage:
    """Closes a window, whose counts are then final and have to be reported."""

    counts: WindowCounts


@dataclass(frozen=True, slots=True)
class UsageReported:
    """Marks a window as reported after its report was accepted or refused."""

    window: WindowNumber


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """Snapshot of the metering slice.

    ``last_closed`` is None before the first window is closed.
    """

    last_closed: WindowNumber | None
    unreported: tuple[WindowCounts, ...]
