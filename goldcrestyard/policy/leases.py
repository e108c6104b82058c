"""Entry leases: when a change is in force on every entry."""

from collections.abc import Mapping
from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, Revision

CLOCK_DRIFT = 0.05
"""Bound on how much faster or slower two instances' clocks may run."""

MAX_LAG_SECONDS = 2.0
"""An entry that has missed a change for longer gets no further lease, so
that a stalled feed cannot keep a change from being in force."""


@dataclass(frozen=True, slots=True)
class EntryLease:
    """What the leader knows of one entry."""

    applied: Revision
    expires_at: float
    """Time on the leader's clock after which the entry has surely stopped
    serving keyed requests."""


def seconds_granted(lag_seconds: float, lease_seconds: float) -> float:
    """Return the lease to grant an entry with a given lag."""
    return lease_seconds if lag_seconds <= MAX_LAG_SECONDS else 0.0


def granted_until(now: float, lease_seconds: float) -> float:
    """Return when a lease granted now has run out on any entry's clock."""
    return now + lease_seconds * (1 + CLOCK_DRIFT)


def entries_behind(
    revision: Revision,
    leases_by_entry: Mapping[InstanceId, EntryLease],
    now: float,
) -> list[InstanceId]:
    """Return the entries that may still act on an older revision."""
    return sorted(
        entry
        for entry, lease in leases_by_entry.items()
        if lease.applied < revision and now < lease.expires_at
    )


def earlier_grants_expired(
    now: float, leadership_started_at: float, lease_seconds: float
) -> bool:
    """Return whether leases that an earlier leader granted have run out.

    A new leader does not know them, so it waits for the longest.
    """
    return now >= granted_until(leadership_started_at, lease_seconds)
