"""Entry leases, which show when a change is in force on every entry.

An entry may serve keyed requests only while it holds a lease from the leader,
so a change is in force once each entry has applied it or lost its lease.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, Revision

MAX_CLOCK_DRIFT = 0.05
"""Largest relative difference in speed between the clocks of two instances."""

MAX_LEASE_LAG_SECONDS = 2.0
"""Maximum time in seconds for which an entry may lag behind a change and still
renew its lease, so that a stalled feed cannot delay a change indefinitely."""


@dataclass(frozen=True, slots=True)
class EntryLease:
    """The leader's record of one entry's lease."""

    applied: Revision
    """Latest revision that the entry has applied."""
    expires_at: float
    """Time on the leader's clock from which the entry serves no keyed
    requests, whatever the clock drift."""


def seconds_granted(lag_seconds: float, lease_seconds: float) -> float:
    """Return the duration of the lease for an entry, 0 if it lags too far."""
    return lease_seconds if lag_seconds <= MAX_LEASE_LAG_SECONDS else 0.0


def granted_until(now: float, lease_seconds: float) -> float:
    """Return the time by which a lease granted now has expired everywhere.

    The time allows for the drift between clocks.
    """
    return now + lease_seconds * (1 + MAX_CLOCK_DRIFT)


def entries_behind(
    revision: Revision,
    leases_by_entry: Mapping[InstanceId, EntryLease],
    now: float,
) -> list[InstanceId]:
    """Return the entries that may still serve under an older revision."""
    return sorted(
        entry
        for entry, lease in leases_by_entry.items()
        if lease.applied < revision and now < lease.expires_at
    )


def earlier_grants_expired(
    now: float, leadership_started_at: float, lease_seconds: float
) -> bool:
    """Return whether all leases of earlier leaders have expired.

    A new leader has no record of these leases, so it waits for the longest
    time that one of them can still be valid.
    """
    return now >= granted_until(leadership_started_at, lease_seconds)
