"""Tests of the contact of entries, from their renewals.

They guard against sending callers to entries that have frozen or lost power,
and against dropping sound entries from the list after an election.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import Revision
from goldcrestyard.policy.entry_contact import (
    FIRST_CONTACT_SECONDS,
    SILENT_SECONDS,
    WITHOUT_LEASE_SECONDS,
    Contact,
    EntryRecord,
    contact,
)
from goldcrestyard.policy.leases import EntryLease

NOW = 100.0
LEASE_SECONDS = 3.75


@dataclass(frozen=True)
class Case:
    """Seconds since an entry's events, and its contact."""

    name: str
    since_renewal: float | None
    expected: Contact
    leading: float = 50.0
    since_lease_end: float | None = -LEASE_SECONDS


CASES = [
    Case("just_renewed", 0.1, Contact.GOOD),
    Case("a_renewal_lost_and_a_new_connection", 1.9, Contact.GOOD),
    Case("frozen_long_before_its_lease_ends", SILENT_SECONDS + 0.1, Contact.SILENT),
    Case("never_renewed", None, Contact.SILENT, since_lease_end=None),
    Case("not_heard_since_the_election", None, Contact.GOOD, 1.9, since_lease_end=None),
    Case(
        "silent_since_the_election",
        None,
        Contact.SILENT,
        FIRST_CONTACT_SECONDS + 0.1,
        since_lease_end=None,
    ),
    Case("renewed_with_an_earlier_term_of_this_leader", 30.0, Contact.GOOD, 1.0),
    Case(
        "lags_too_far_for_a_lease",
        0.1,
        Contact.WITHOUT_LEASE,
        since_lease_end=WITHOUT_LEASE_SECONDS + 0.1,
    ),
    Case("lags_for_a_moment", 0.1, Contact.GOOD, since_lease_end=1.0),
]


class EntryContactTests(unittest.TestCase):
    """Whether callers should still be sent to an entry."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_contact(self, _: str, case: Case) -> None:
        renewed_at = None if case.since_renewal is None else NOW - case.since_renewal
        lease = (
            None
            if case.since_lease_end is None
            else EntryLease(Revision(1), NOW - case.since_lease_end)
        )
        found = contact(EntryRecord(renewed_at, lease), NOW - case.leading, NOW)
        self.assertIs(found, case.expected)


if __name__ == "__main__":
    unittest.main()
