"""Which homes of targets are lost."""

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
    """Return the homes that have been without a lease for too long.

    An entry that has not renewed since the leadership began may hold a lease
    of the leader before.
    """
    earlier_grant = granted_until(leadership_started_at, lease_seconds)

    def expires_at(home: InstanceId) -> float:
        lease = leases_by_entry.get(home)
        return lease.expires_at if lease is not None else earlier_grant

    return sorted(home for home in homes if now >= expires_at(home) + lost_seconds)
