"""Tests of the leader's sessions with entries.

They guard against reporting a revision as in force while an entry may still
act on an older one.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, Revision
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.membership.digests import LeaderDigests
from goldcrestyard.membership.entry_sessions import (
    ELECTION_WAIT_SECONDS,
    EntrySessions,
)
from goldcrestyard.policy.leases import EntryLease
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.messages import NotLeader, Subscribe
from tests.fakes.paused_clock import PausedClockTestCase

LEASE_SECONDS = 5.0
ENTRY = InstanceId("lisboa-a-1")


@dataclass
class FakeLeader:
    """Fake control member that leads."""

    lease: bool = True
    leadership_started_at: float = -100.0

    def holds_lease(self) -> bool:
        return self.lease


@dataclass(frozen=True)
class Case:
    """State of the leader, and whether revision 7 is in force."""

    name: str
    applied: int
    expires_in_seconds: float
    in_force: bool
    lease: bool = True
    leading_seconds: float = 100.0


CASES = [
    Case("applied", 7, 5.0, True),
    Case("lease_has_run_out", 6, -1.0, True),
    Case("lease_runs_out_in_time", 6, 1.0, True),
    Case("not_applied", 6, 5.0, False),
    Case("previous_leader_granted", 7, 5.0, False, leading_seconds=1.0),
    # The next leader may have renewed the entry's lease at an older revision.
    Case("leader_without_its_lease", 6, -1.0, False, lease=False),
]


class InForceTests(PausedClockTestCase):
    """When the leader may report a revision as in force on every entry."""

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_in_force(self, _: str, case: Case) -> None:
        clock = self.clock()
        codec = Codec()
        now = clock.monotonic()
        leader = FakeLeader(case.lease, now - case.leading_seconds)
        sessions = EntrySessions(
            leader,  # type: ignore[arg-type]
            ChangeFeed(codec, clock),
            codec,
            clock,
            LEASE_SECONDS,
            LeaderDigests(),
        )
        sessions.leases_by_entry[ENTRY] = EntryLease(
            Revision(case.applied), now + case.expires_in_seconds
        )
        behind = await sessions.wait_in_force(Revision(7), 2.0)
        self.assertEqual(behind == [], case.in_force)


@dataclass(frozen=True)
class SubscribeCase:
    """Outcome of an election, and how long the subscriber waits."""

    name: str
    leader: str | None
    elected_after_seconds: float
    wait_seconds: float


OWN = InstanceId("store-a")

SUBSCRIBE_CASES = [
    SubscribeCase("leads_already", OWN, 0.0, 0.0),
    SubscribeCase("another_leads", "store-b", 0.0, 0.0),
    SubscribeCase("is_elected", OWN, 0.1, 0.1),
    SubscribeCase("another_is_elected", "store-b", 0.1, 0.1),
    SubscribeCase("nobody_is_elected", None, 0.0, ELECTION_WAIT_SECONDS),
]


@dataclass
class FakeElectingMember:
    """Fake control member during an election."""

    instance: InstanceId = OWN
    leader: str | None = None
    change: asyncio.Event = field(default_factory=asyncio.Event)

    def holds_lease(self) -> bool:
        return self.leader == OWN

    async def wait_leadership_change(self) -> None:
        await self.change.wait()

    def make_not_leader_reply(self) -> NotLeader:
        leader = InstanceId(self.leader) if self.leader is not None else None
        return NotLeader(leader, "")

    @property
    def machine(self) -> Any:
        return type("Machine", (), {"revision": Revision(1)})


class _Connection:
    def spawn(self, coroutine: Any) -> None:
        coroutine.close()


class SubscribeTests(PausedClockTestCase):
    """Guards against entries that poll during an election.

    The member holds the request until the leader is known instead.
    """

    @parameterized.expand([(case.name, case) for case in SUBSCRIBE_CASES])
    async def test_subscribe(self, _: str, case: SubscribeCase) -> None:
        clock, codec, member = self.clock(), Codec(), FakeElectingMember()
        handlers = Handlers()
        EntrySessions(
            member,  # type: ignore[arg-type]
            ChangeFeed(codec, clock),
            codec,
            clock,
            LEASE_SECONDS,
            LeaderDigests(),
        ).register(handlers)

        def elect() -> None:
            member.leader = case.leader
            member.change.set()

        if case.elected_after_seconds:
            asyncio.get_running_loop().call_later(case.elected_after_seconds, elect)
        else:
            member.leader = case.leader
        began = clock.monotonic()
        message = Subscribe(Revision(0))
        handle = handlers.find(message)
        assert handle is not None
        reply = await handle(message, _Connection())  # type: ignore[arg-type]
        self.assertAlmostEqual(case.wait_seconds, clock.monotonic() - began)
        self.assertEqual(case.leader != OWN, isinstance(reply, NotLeader))
