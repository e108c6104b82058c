"""Whether callers should still be sent to an entry, from its lease renewals.

Pattern: many entries freeze or lose power at once.  Callers choose at random
among the addresses that they were given, so each address of an entry that no
longer answers costs some of them a time-out, until the list lacks it.
"""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.policy.leases import EntryLease

SILENT_SECONDS = 2.0
"""Time in seconds without a renewal after which an entry counts as silent.
Entries renew every half second and wait 0.6 s for the reply, so that a lost
renewal and a new connection are tolerated.  An
entry that is listed again too early costs a log entry; one that is listed too
long costs each of its callers a time-out."""

FIRST_CONTACT_SECONDS = 2.0
"""Time in seconds after an election in which entries must find the new leader
and renew."""

WITHOUT_LEASE_SECONDS = 2.0
"""Time in seconds for which an entry that renews, but applies changes too late
to get a lease, stays listed."""


class Contact(Enum):
    """What the leader knows of an entry's ability to serve callers."""

    GOOD = "good"
    SILENT = "silent"
    """It has not renewed its lease for a while."""
    WITHOUT_LEASE = "without lease"
    """It renews, but is too far behind for a lease."""


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """The leader's record of one entry; times in monotonic seconds."""

    renewed_at: float | None
    """Time of the latest renewal; None if this leader has had none."""
    lease: EntryLease | None


def contact(record: EntryRecord, leading_since: float, now: float) -> Contact:
    """Return whether an entry is in contact with the leader."""
    silent_from = leading_since + FIRST_CONTACT_SECONDS
    if record.renewed_at is not None:
        silent_from = max(silent_from, record.renewed_at + SILENT_SECONDS)
    if now > silent_from:
        return Contact.SILENT
    lease_ended_at = leading_since
    if record.lease is not None:
        lease_ended_at = max(lease_ended_at, record.lease.expires_at)
    if now > lease_ended_at + WITHOUT_LEASE_SECONDS:
        return Contact.WITHOUT_LEASE
    return Contact.GOOD
