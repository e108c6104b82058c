"""Tests of the leader's side of the entries.

They guard against the answer "in force" while an entry may still act on an
older revision.
"""

from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, Revision
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.membership.digests import LeaderDigests
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.policy.leases import EntryLease
from goldcrestyard.wire.codec import Codec
from tests.fakes.paused_clock import PausedClockTestCase

LEASE_SECONDS = 5.0
ENTRY = InstanceId("lisboa-a-1")


@dataclass
class Leader:
    """Stands in for a control member."""

    lease: bool = True
    leadership_started_at: float = -100.0

    def holds_lease(self) -> bool:
        return self.lease


@dataclass(frozen=True)
class Case:
    """What the leader knows, and whether revision 7 is in force."""

    name: str
    applied: int
    expires_in: float
    in_force: bool
    lease: bool = True
    leads_since: float = 100.0


CASES = [
    Case("applied", 7, 5.0, True),
    Case("lease_has_run_out", 6, -1.0, True),
    Case("lease_runs_out_in_time", 6, 1.0, True),
    Case("not_applied", 6, 5.0, False),
    Case("previous_leader_granted", 7, 5.0, False, leads_since=1.0),
    # The next leader may have renewed the entry's lease at an older revision.
    Case("leader_without_its_lease", 6, -1.0, False, lease=False),
]


class InForceTests(PausedClockTestCase):
    """When a change is in force on every entry."""

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_in_force(self, _: str, case: Case) -> None:
        clock = self.clock()
        codec = Codec()
        now = clock.monotonic()
        leader = Leader(case.lease, now - case.leads_since)
        sessions = EntrySessions(
            leader,  # type: ignore[arg-type]
            ChangeFeed(codec, clock),
            codec,
            clock,
            LEASE_SECONDS,
            LeaderDigests(),
        )
        sessions.leases_by_entry[ENTRY] = EntryLease(
            Revision(case.applied), now + case.expires_in
        )
        behind = await sessions.wait_in_force(Revision(7), 2.0)
        self.assertEqual(behind == [], case.in_force)
