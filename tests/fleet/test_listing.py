"""Tests of the list of entries that only control members keep.

Pattern: hundreds of entries start at once.  They guard against a message to
every entry for every other one, and against entries that are left out.
"""

import asyncio
import hashlib
from dataclasses import asdict, dataclass, field, replace

import cbor2

from goldcrestyard.consensus.results import NotProposed, ProposalResult
from goldcrestyard.core.ids import DataCentre, InstanceId, Region, Revision
from goldcrestyard.fleet.directory.apps import DirectoryConfig
from goldcrestyard.fleet.directory.listing import (
    REDUCED_REPLIES,
    DirectorySlice,
    ListedEntryChannel,
    ListedEntryMerger,
    digest_of,
)
from goldcrestyard.fleet.member_lists.channel import (
    MemberList,
    MemberListChannel,
    MemberListMerger,
)
from goldcrestyard.fleet.serving.apps import ServingPluginConfig
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.announcing import EntryAnnouncer
from goldcrestyard.plugins.addresses.commands import Entry, PutEntry, RemoveEntry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.state.commands import AppliedEntry, Change, Command
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.messages import SnapshotPush
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

ENTRIES = 160


def entry(number: int) -> Entry:
    name = InstanceId(f"front-{number}")
    return Entry(name, f"{name}:80", "", DataCentre("dc"), Region("r"))


@dataclass
class FakeLink:
    """Passes an entry's commands to the leader, and counts them."""

    member: FakeMember
    proposed: list[Command] = field(default_factory=list)
    cut: bool = False
    drops_capacity: bool = False
    """Whether the leader knows of no capacities, as an earlier release."""

    async def propose(
        self, command: Command, timeout: float | None = None
    ) -> ProposalResult:
        if self.cut:
            return NotProposed("no leader")
        self.proposed.append(command)
        if self.drops_capacity:
            assert isinstance(command, PutEntry)
            command = PutEntry(replace(command.entry, capacity=None))
        return await self.member.propose(command)


class ListingTests(PausedClockTestCase):
    """Entries that announce themselves through their lease renewals."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.codec = Codec()
        self.codec.register(*DirectoryConfig.messages, *ServingPluginConfig.messages)
        self.machine = machine_of(DirectorySlice, ServingSlice)
        self.fanned_out: list[AppliedEntry] = []
        self.machine.listen(self._on_applied)
        self.member = FakeMember(self.machine, self.clock())
        self.leader_digests = LeaderDigests()
        self.leader_digests.add(ListedEntryMerger(self.member, self.codec))  # type: ignore[arg-type]
        self.listed = self.machine.get(EntriesSlice).entries_by_id
        self.link = FakeLink(self.member)

    def _on_applied(self, applied: AppliedEntry) -> None:
        if applied.fanned_out:
            self.fanned_out.append(applied)

    def start(self, number: int, capacity: float | None = None) -> EntryAnnouncer:
        """Start an entry that announces itself and renews its lease."""
        view = EntryView(StateMachine([ServingSlice()]), self.codec, self.clock())
        view.grant(self.clock().monotonic(), 1000.0)
        channel = ListedEntryChannel(self.codec)
        digests = EntryDigests()
        digests.add(channel)
        announced = replace(entry(number), capacity=capacity)
        announcer = EntryAnnouncer(announced, view, self.link, channel)  # type: ignore[arg-type]

        async def renew() -> None:
            while True:
                await asyncio.sleep(1.0)
                digests.receive(
                    self.leader_digests.exchange(entry(number).id, digests.collect())
                )

        for task in (announcer.run(), renew()):
            self.addCleanup(asyncio.create_task(task).cancel)
        return announcer

    async def test_each_entry_costs_one_command_and_no_message(self) -> None:
        for number in range(ENTRIES):
            self.start(number)
        await asyncio.sleep(30.0)
        self.assertEqual(len(self.listed), ENTRIES)
        self.assertEqual(len(self.link.proposed), ENTRIES)
        self.assertEqual(self.fanned_out, [])
        self.assertEqual(
            self.machine.to_snapshots(fan_out_only=True).keys(), {"serving"}
        )

    async def test_entry_that_was_removed_announces_itself_again(self) -> None:
        self.start(1)
        await asyncio.sleep(5.0)
        await self.member.propose(RemoveEntry(entry(1).id))
        await asyncio.sleep(5.0)
        self.assertIn(entry(1).id, self.listed)

    async def test_announcement_that_failed_is_repeated(self) -> None:
        self.link.cut = True
        self.start(1)
        await asyncio.sleep(5.0)
        self.link.cut = False
        await asyncio.sleep(5.0)
        self.assertIn(entry(1).id, self.listed)

    async def test_leader_that_does_not_tell(self) -> None:
        """Guards against entries that an earlier release never lists."""
        self.leader_digests = LeaderDigests()
        self.start(1)
        await asyncio.sleep(30.0)
        self.assertIn(entry(1).id, self.listed)
        self.assertEqual(len(self.link.proposed), 1)

    async def test_draining_entry_stays_marked(self) -> None:
        announcer = self.start(1)
        await asyncio.sleep(5.0)
        await announcer.mark_draining()
        await asyncio.sleep(5.0)
        self.assertTrue(self.listed[entry(1).id].draining)

    async def test_capacity_is_listed(self) -> None:
        self.start(1, capacity=0.5)
        await asyncio.sleep(30.0)
        self.assertEqual(self.listed[entry(1).id].capacity, 0.5)
        self.assertEqual(len(self.link.proposed), 1)

    async def test_leader_of_an_earlier_release_drops_the_capacity(self) -> None:
        """Guards against announcements without end during an upgrade."""
        self.link.drops_capacity = True
        self.start(1, capacity=0.5)
        await asyncio.sleep(50.0)
        self.assertEqual(len(self.link.proposed), 1)
        self.assertIsNone(self.listed[entry(1).id].capacity)
        self.link.drops_capacity = False
        await asyncio.sleep(2.0 * REDUCED_REPLIES)
        self.assertEqual(self.listed[entry(1).id].capacity, 0.5)
        self.assertEqual(len(self.link.proposed), 2)

    async def test_digest_is_that_of_a_release_without_capacities(self) -> None:
        """Guards against entries of that release that are never settled."""
        known = entry(1)
        fields = asdict(known)
        del fields["capacity"]
        earlier = hashlib.blake2b(cbor2.dumps(["Entry", fields]), digest_size=8)
        self.assertEqual(digest_of(self.codec, known), earlier.digest())
        larger = replace(known, capacity=1.0)
        self.assertNotEqual(digest_of(self.codec, larger), earlier.digest())

    async def test_leader_of_an_earlier_release_sends_the_list(self) -> None:
        """Guards against entries that stop at a command they do not keep."""
        view = EntryView(StateMachine([ServingSlice()]), self.codec, self.clock())
        encoded = self.codec.encode(PutEntry(entry(1)))
        view.apply_changes((Change(Revision(7), 0.0, "old", (encoded,)),))
        self.assertEqual(view.revision, 7)
        list_slice = machine_of(EntriesSlice).get(EntriesSlice)
        snapshot = self.codec.encode(replace(list_slice.to_snapshot()))
        view.load(SnapshotPush(Revision(9), {"entries": snapshot}))
        self.assertEqual(view.revision, 9)


@dataclass
class FakeStatus:
    """A control member as the leader knows it."""

    instance: InstanceId
    address: str


class MemberListTests(PausedClockTestCase):
    """Guards against sending each entry the same list every second."""

    async def test_list_is_sent_when_it_changes(self) -> None:
        codec = Codec()
        codec.register(MemberList)
        statuses = [FakeStatus(InstanceId("a"), "a:1")]
        member = type("Member", (), {"member_statuses": lambda _: statuses})()
        addresses = ControlAddresses({})
        channel = MemberListChannel(addresses, codec)
        entry_id = InstanceId("front-1")
        sizes = []
        for change in (None, None, FakeStatus(InstanceId("b"), "b:1"), None):
            if change is not None:
                statuses.append(change)
            # Each renewal goes to another leader.
            merger = MemberListMerger(member, codec)
            merger.merge(entry_id, channel.collect())
            summary = merger.summary(entry_id)
            channel.receive(summary)
            sizes.append(len(summary))
        self.assertEqual([size > 0 for size in sizes], [True, False, True, False])
        self.assertEqual(set(addresses), {"a", "b"})
