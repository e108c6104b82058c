"""Detection of home entries that are lost.

The home of a target is the entry that tracks its heartbeats.
"""

from collections.abc import Iterable, Mapping

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.leases import EntryLease, granted_until


def lost_homes(
    homes: Iterable[InstanceId],
    leases_by_entry: Mapping[InstanceId, EntryLease],
    now: float,
    leadership_started_at: float,
    lease_seconds: float,
    lost_seconds: float,
) -> list[InstanceId]:
    """Return the homes whose leases expired at least ``lost_seconds`` ago.

    An entry that has not renewed its lease since the leadership began may
    still hold one from the previous leader.
    """
    earlier_grant_expires_at = granted_until(leadership_started_at, lease_seconds)

    def expires_at(home: InstanceId) -> float:
        lease = leases_by_entry.get(home)
        return lease.expires_at if lease is not None else earlier_grant_expires_at

    return sorted(home for home in homes if now >= expires_at(home) + lost_seconds)
