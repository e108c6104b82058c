"""Tests of the leader's sessions with entries.

They guard against reporting a revision as in force while an entry may still
act on an older one.
"""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import ConfigVersion, InstanceId, Revision
from goldcrestyard.fleet.serving.apps import ServingPluginConfig
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.membership.change_feed import (
    MAX_RETAINED_BYTES,
    ChangeFeed,
    size_of,
)
from goldcrestyard.membership.digests import LeaderDigests
from goldcrestyard.membership.entry_sessions import (
    ELECTION_WAIT_SECONDS,
    MAX_CHANGES_BYTES,
    MAX_CONCURRENT_SNAPSHOTS,
    SNAPSHOT_TIMEOUT_SECONDS,
    EntrySessions,
)
from goldcrestyard.policy.leases import EntryLease
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.messages import MESSAGES, NotLeader, Subscribe
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG

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


@dataclass
class ReadingConnection:
    """Connection of an entry that takes ``seconds`` to read a frame."""

    network: "EntryNetwork"
    peer: InstanceId
    seconds: float
    closed: bool = False
    frames: list[bytes] = field(default_factory=list)
    tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    def spawn(self, coroutine: Any) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    async def push_frame(self, frame: bytes) -> bool:
        self.network.reading += 1
        self.network.most_reading = max(self.network.most_reading, self.network.reading)
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.network.reading -= 1
        self.frames.append(frame)
        return True

    async def close(self) -> None:
        self.closed = True


@dataclass
class EntryNetwork:
    """Counts the entries that receive a frame at the same time."""

    reading: int = 0
    most_reading: int = 0


class HerdTests(PausedClockTestCase):
    """Pattern: all entries of a large deployment subscribe to a new leader.

    Guards against a leader that holds a copy of the state, or of all changes
    since its start, for each of them, and is killed for its memory.
    """

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(ServingSlice)
        codec = Codec()
        codec.register(*MESSAGES, *ServingPluginConfig.messages)
        clock = self.clock()
        feed = ChangeFeed(codec, clock)
        self.machine.listen(feed.add)
        member = FakeMember(self.machine, clock)
        self.sessions = EntrySessions(
            member,  # type: ignore[arg-type]
            feed,
            codec,
            clock,
            LEASE_SECONDS,
            LeaderDigests(),
        )
        self.network = EntryNetwork()

    def change_config(self, versions: range, size: int) -> None:
        for version in versions:
            config = replace(CONFIG, version=ConfigVersion(version))
            apply(self.machine, PutServing(config, bytes(size)))

    async def subscribe(
        self, count: int, revision: int = 0, seconds: float = 0.01
    ) -> list[ReadingConnection]:
        connections = [
            ReadingConnection(self.network, InstanceId(f"front-{number}"), seconds)
            for number in range(count)
        ]
        for connection in connections:
            await self.sessions._on_subscribe(
                Subscribe(Revision(revision)),
                connection,  # type: ignore[arg-type]
            )
            self.addCleanup(lambda c=connection: [t.cancel() for t in c.tasks])
        return connections

    async def test_entries_share_one_snapshot_in_turns(self) -> None:
        self.change_config(range(1, 40), 60_000)
        connections = await self.subscribe(161)
        await asyncio.sleep(1.0)
        self.assertLessEqual(self.network.most_reading, MAX_CONCURRENT_SNAPSHOTS)
        frames = {id(frame) for c in connections for frame in c.frames}
        self.assertEqual(len(frames), 1)
        self.assertTrue(all(len(c.frames) == 1 for c in connections))
        self.assertLess(len(connections[0].frames[0]), 2 * 60_000)

    async def test_large_change_waits_for_no_snapshot(self) -> None:
        """Guards against changes that come late since others start."""
        self.change_config(range(1, 40), 60_000)
        current = self.machine.revision
        (entry,) = await self.subscribe(1, current)
        await self.subscribe(MAX_CONCURRENT_SNAPSHOTS, seconds=1000.0)
        await asyncio.sleep(0.1)
        self.change_config(range(40, 41), 2 * MAX_CHANGES_BYTES)
        await asyncio.sleep(0.1)
        self.assertEqual(len(entry.frames), 1)

    async def test_entries_share_the_frame_of_a_change(self) -> None:
        self.change_config(range(1, 3), 1000)
        current = self.machine.revision
        connections = await self.subscribe(161, current)
        await asyncio.sleep(0.1)
        self.change_config(range(3, 4), 1000)
        await asyncio.sleep(0.1)
        frames = {id(frame) for c in connections for frame in c.frames}
        self.assertEqual(len(frames), 1)
        self.assertTrue(all(len(c.frames) == 1 for c in connections))

    async def test_entries_that_do_not_read_delay_nobody_for_long(self) -> None:
        self.change_config(range(1, 40), 60_000)
        stalled = await self.subscribe(MAX_CONCURRENT_SNAPSHOTS, seconds=1000.0)
        await asyncio.sleep(0.1)
        (entry,) = await self.subscribe(1)
        await asyncio.sleep(SNAPSHOT_TIMEOUT_SECONDS + 0.5)
        self.assertEqual(len(entry.frames), 1)
        self.assertTrue(all(connection.closed for connection in stalled))

    async def test_retained_changes_are_bounded(self) -> None:
        self.change_config(range(1, 200), 60_000)
        feed = self.sessions._feed
        retained = feed.since(feed._base_revision)
        assert retained is not None
        self.assertLessEqual(sum(map(size_of, retained)), MAX_RETAINED_BYTES)
        self.assertIsNone(feed.since(Revision(0)))
