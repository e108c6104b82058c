"""Tests of the detection of lost homes.

They guard against removing targets whose home is only slow, or whose home has
a lease that a new leader does not know.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, Revision
from goldcrestyard.policy.homes import lost_homes
from goldcrestyard.policy.leases import EntryLease

HOME = InstanceId("e1")


@dataclass(frozen=True)
class Case:
    """The end of the home's lease, the time, and whether it is lost."""

    name: str
    expires_at: float | None
    now: float
    lost: bool


CASES = [
    Case("holds_its_lease", 120.0, 110.0, False),
    Case("lease_just_over", 100.0, 109.9, False),
    Case("lease_long_over", 100.0, 110.0, True),
    Case("unknown_to_a_new_leader", None, 65.2, False),
    Case("never_renewed_at_this_leader", None, 65.25, True),
]


class LostHomeTests(unittest.TestCase):
    """Leadership since 50 s, leases of 5 s, lost after 10 s more."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_lost(self, _: str, case: Case) -> None:
        leases = {InstanceId("other"): EntryLease(Revision(1), 1000.0)}
        if case.expires_at is not None:
            leases[HOME] = EntryLease(Revision(1), case.expires_at)
        lost = lost_homes([HOME], leases, case.now, 50.0, 5.0, 10.0)
        self.assertEqual(lost, [HOME] if case.lost else [])
