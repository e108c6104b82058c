"""Tests of control members on an in-memory network with a simulated clock.

They guard against wrong results of proposals, against a member that
continues after its disk failed or was lost, and against a replacement of a
member that loses entries of the log.
"""

import asyncio
import errno
import math
from dataclasses import replace

import cbor2
import structlog
from parameterized import parameterized

from goldcrestyard.consensus.configuration import Configuration, MemberId
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.messages import (
    Append,
    Entry,
    EntryKind,
    InstallSnapshot,
)
from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex, Revision, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.state.commands import Rejected
from tests.fakes.files import Fault
from tests.fakes.hanging_executor import HangingExecutor
from tests.fakes.member_network import MemberNetwork, organisation_ids, put_organisation
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

INSTANCES = ["a", "b", "c"]


def skip_time(seconds: float) -> None:
    """Advance the clock without running any task, as a process pause does."""
    loop = asyncio.get_running_loop()
    loop._advancing.now += seconds  # type: ignore[attr-defined]


class NetworkTestCase(PausedClockTestCase):
    """Base class: starts three members and waits for a leader."""

    snapshot_entries = 1000

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.wall = EPOCH
        self.network = MemberNetwork(
            INSTANCES,
            Clock(lambda: self.wall + asyncio.get_running_loop().time()),
            snapshot_entries=self.snapshot_entries,
        )
        self.addAsyncCleanup(self.network.close)
        await self.network.start_all()
        self.leader = await self.network.leader()

    @property
    def followers(self) -> list[ControlMember]:
        running = self.network.running.values()
        return [member for member in running if member is not self.leader]

    async def settle(self, seconds: float = 5.0) -> None:
        await asyncio.sleep(seconds)


class TransferLogTests(NetworkTestCase):
    """Log lines on the transfer of a snapshot."""

    @parameterized.expand(
        [
            ("sent_again", [(2, 9, 0), (2, 9, 4), (2, 9, 0), (2, 9, 0)], [(9, 0)]),
            ("goes_on_from_another_leader", [(2, 9, 4), (2, 9, 8)], [(9, 4)]),
            ("newer_snapshot", [(2, 9, 0), (2, 12, 0), (2, 12, 4)], [(9, 0), (12, 0)]),
            ("next_term", [(2, 9, 0), (4, 9, 4), (4, 9, 0)], [(9, 0), (9, 4)]),
        ]
    )
    async def test_start_of_a_transfer_is_logged_once(
        self,
        _: str,
        chunks: list[tuple[int, int, int]],
        expected: list[tuple[int, int]],
    ) -> None:
        """Guards against lines that look like several transfers."""
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(0))
        with structlog.testing.capture_logs() as lines:
            for term, index, offset in chunks:
                for data in (b"data", b""):
                    message = InstallSnapshot(
                        Term(term),
                        LogIndex(index),
                        Term(1),
                        Configuration(()),
                        offset,
                        12,
                        data,
                        0.0,
                    )
                    self.leader._send(MemberId("b#1"), message)
        started = [x for x in lines if x["event"] == "snapshot transfer started"]
        self.assertEqual(expected, [(x["index"], x["offset"]) for x in started])


class TornWriteTests(NetworkTestCase):
    """Start of a member after a power failure during a write."""

    @parameterized.expand([("torn", b"0123456", [7]), ("whole", b"", [])])
    async def test_cut_of_the_log_is_a_warning(
        self, _: str, torn: bytes, expected: list[int]
    ) -> None:
        """Guards against a lost write that no line above ``info`` tells of."""
        name = self.followers[0].instance
        await self.network.stop(name)
        files = self.network.files_by_instance[name]
        log = [path for path in files.paths() if path.suffix == ".log"]
        files.append(log[-1], torn)
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(0))
        with structlog.testing.capture_logs() as lines:
            await self.network.start(name)
        warned = [line for line in lines if line["log_level"] == "warning"]
        self.assertEqual(expected, [line.get("cut_bytes") for line in warned])


class ProposalTests(NetworkTestCase):
    """Results of proposals."""

    async def test_applied_everywhere(self) -> None:
        self.assertIsInstance(await put_organisation(self.leader, "tejo"), Applied)
        await self.network.wait_until_converged()
        self.assertEqual(organisation_ids(self.followers[0]), ("tejo",))

    async def test_follower_names_the_leader(self) -> None:
        self.assertEqual(
            await put_organisation(self.followers[0], "tejo"),
            NotProposed("this member does not lead", self.leader.instance),
        )

    async def test_waiting_proposals_share_a_sync(self) -> None:
        files = self.network.files_by_instance[self.leader.instance]
        before = files.operations.count("sync")
        results = await asyncio.gather(
            *(put_organisation(self.leader, f"o{number}") for number in range(200))
        )
        self.assertTrue(all(isinstance(result, Applied) for result in results))
        self.assertLess(files.operations.count("sync") - before, 5)

    async def test_lost_lead_leaves_waiting_proposals_in_doubt(self) -> None:
        self.network.isolate(self.leader.instance)
        waiting = asyncio.create_task(put_organisation(self.leader, "doubtful"))
        other = await self.network.leader(but=self.leader)
        self.assertIsInstance(await waiting, InDoubt)
        self.assertFalse(self.leader.is_leader)
        self.assertIsInstance(await put_organisation(self.leader, "late"), NotProposed)
        self.assertIsInstance(await put_organisation(other, "kept"), Applied)
        self.network.heal()
        await self.network.wait_until_converged()
        self.assertEqual(organisation_ids(self.leader), ("kept",))

    @parameterized.expand([(0,), (1,), (5,)])
    async def test_entry_of_the_next_leader_is_no_result(self, commands: int) -> None:
        """Guards against the result of another command at the same index.

        The disk hangs until the next leader has committed entries there; the
        member then learns of them before it notices that it has lost the lead.
        """
        self.leader._disk_executor = disk = HangingExecutor()
        disk.hang()
        waiting = asyncio.create_task(put_organisation(self.leader, "doubtful"))
        other = await self.network.leader(but=self.leader)
        for number in range(commands):
            await put_organisation(other, f"kept{number}")
        await self.settle(1.0)
        disk.release()
        self.assertIsInstance(await waiting, InDoubt)
        await self.network.wait_until_converged()
        self.assertNotIn("doubtful", organisation_ids(self.leader))

    async def test_paused_leader_neither_leads_nor_holds_the_lease(self) -> None:
        """Guards against a paused leader that acts before its next tick."""
        self.assertTrue(self.leader.holds_lease())
        skip_time(1.5)
        self.assertFalse(self.leader.holds_lease())
        self.assertTrue(self.leader.is_leader)
        skip_time(1.0)
        self.assertFalse(self.leader.is_leader)
        self.assertIsInstance(await put_organisation(self.leader, "late"), NotProposed)

    async def test_time_never_decreases(self) -> None:
        times: list[float] = []
        follower, _ = self.followers
        follower.machine.listen(lambda entry: times.append(entry.envelope.time))
        await put_organisation(self.leader, "first")
        self.wall -= 1000.0
        await put_organisation(self.leader, "second")
        await self.network.stop(self.leader.instance)
        self.leader = await self.network.leader(but=self.leader)
        await put_organisation(self.leader, "third")
        await self.network.wait_until_converged()
        self.assertEqual(len(times), 3)
        self.assertEqual(times, sorted(times))

    async def test_waiting_for_a_change_of_leadership(self) -> None:
        changed = asyncio.create_task(self.followers[0].wait_leadership_change())
        await self.settle()
        self.assertFalse(changed.done())
        await self.network.stop(self.leader.instance)
        await asyncio.wait_for(changed, 30.0)

    @parameterized.expand([("full", errno.ENOSPC), ("failed", errno.EIO)])
    async def test_disk_failure_suspends_the_member(self, _: str, number: int) -> None:
        """Guards against acting on state that the disk does not hold."""
        files = self.network.files_by_instance[self.leader.instance]
        files.fault = Fault(len(files.operations) + 2, error=number, lasting=True)
        self.assertIsInstance(await put_organisation(self.leader, "doubtful"), InDoubt)
        self.assertTrue(self.leader.is_suspended)
        self.assertFalse(self.leader.is_leader)
        self.assertFalse(self.leader.holds_lease())
        self.assertIsInstance(await put_organisation(self.leader, "late"), NotProposed)
        other = await self.network.leader(but=self.leader)
        self.assertIsInstance(await put_organisation(other, "kept"), Applied)
        await self.settle(60.0)
        (silent,) = [
            status
            for status in other.member_statuses()
            if status.instance == self.leader.instance
        ]
        self.assertLess(silent.matched_index or 0, other.machine.applied_index)
        self.assertNotIn("kept", organisation_ids(self.leader))


def vote(term: int) -> bytes:
    fields = {"term": term, "last_index": 1, "last_term": 1}
    return cbor2.dumps(["Vote", fields])


def reply(**changes: float) -> bytes:
    fields = {"term": 1, "match_index": 1, "conflict_term": 0, "sent_at": 0.0}
    return cbor2.dumps(["AppendReply", {**fields, "accepted": True, **changes}])


class MalformedMessageTests(NetworkTestCase):
    """Messages that a member must drop, and commands that it must reject."""

    @parameterized.expand(
        [
            ("no_encoding", b"\xff\x00"),
            ("unknown_class", cbor2.dumps(["Nobody", {}])),
            ("wrong_type", cbor2.dumps(["Vote", {"term": "x"}])),
            ("nested_deeply", b"\x81" * 100_000 + b"\x00"),
            ("refers_to_itself", b"\x82\x64Vote\xd8\x1c\x81\xd8\x1d\x00"),
            ("term_of_a_vote", vote(2**64)),
            ("term_that_no_record_holds", reply(term=2**64)),
            ("term_too_large", reply(term=10**400)),
            ("time_that_is_no_number", reply(sent_at=math.nan)),
            ("time_too_late", reply(sent_at=math.inf)),
            ("not_between_members", cbor2.dumps(["NotLeader", {"leader": None}])),
        ]
    )
    async def test_message_ends_no_member(self, _: str, data: bytes) -> None:
        for member in self.network.running.values():
            member._on_messages(MemberId("b#1"), (data,))
        gap = Append(
            Term(9),
            LogIndex(1),
            Term(1),
            (Entry(Term(9), LogIndex(7), EntryKind.NO_OP),),
            LogIndex(1),
            0.0,
        )
        encoded = self.network.codec.encode(gap)
        for member in self.network.running.values():
            member._on_messages(MemberId("b#1"), (encoded,))
        await self.settle()
        self.leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(self.leader, "tejo"), Applied)
        await self.network.wait_until_converged()

    async def test_command_that_a_slice_cannot_apply_is_rejected(self) -> None:
        """Guards against a committed command that ends all members."""

        def fail(*_: object) -> object:
            raise KeyError("unexpected")

        for member in self.network.running.values():
            member.machine.get(OrganisationsSlice).apply = fail  # type: ignore
        result = await put_organisation(self.leader, "tejo")
        assert isinstance(result, Applied)
        self.assertIsInstance(result.outcome, Rejected)
        await self.settle()
        for member in self.network.running.values():
            del member.machine.get(OrganisationsSlice).apply
        self.assertIsInstance(await put_organisation(self.leader, "bien"), Applied)
        await self.network.wait_until_converged()


class FullDiskTests(NetworkTestCase):
    """A disk that refuses writes for a time, at any operation."""

    snapshot_entries = 5

    @parameterized.expand(
        [(f"operation_{operation}", operation) for operation in range(1, 9)]
    )
    async def test_member_resumes_when_its_disk_has_room(
        self, _: str, operation: int
    ) -> None:
        """Guards against a full disk that ends a member for good.

        A snapshot is due every few entries, so the failing operation lies in
        the log, in the snapshot or in the removal of old segments.
        """
        for round_number in range(4):
            leader = await self.network.leader()
            files = self.network.files_by_instance[leader.instance]
            files.fault = Fault(
                len(files.operations) + operation + round_number,
                error=errno.ENOSPC,
                lasting=True,
            )
            for number in range(9):
                name = f"o{round_number}-{number}"
                if isinstance(await put_organisation(leader, name), Applied):
                    continue
                await self.network.leader(but=leader)
                break
            await self.settle(3.0)
            files.fault = None
            await self.network.wait(lambda: not leader.is_suspended, "the disk")  # noqa: B023
            after = f"after{round_number}"
            current = await self.network.leader()
            self.assertIsInstance(await put_organisation(current, after), Applied)
            await self.network.wait_until_converged()
            self.assertIn(after, organisation_ids(leader))


class RestartTests(NetworkTestCase):
    """Restarted, lagging and reconnected members."""

    snapshot_entries = 50

    async def test_state_and_floor_of_the_feed_are_restored(self) -> None:
        # Bootstrap and election add two entries, so the last command is the
        # 200th entry and completes a snapshot.  The log after it is empty,
        # and the latest command time can only come from the snapshot.
        for number in range(198):
            await put_organisation(self.leader, f"o{number}")
        await self.network.wait_until_converged()
        await self.settle(1.0)
        expected = organisation_ids(self.leader)
        before = self.clock().wall()
        for name in INSTANCES:
            await self.network.stop(name)
        self.wall -= 1000.0
        await self.network.start_all()
        leader = await self.network.leader()
        await self.network.wait_until_converged()
        self.assertEqual(organisation_ids(leader), expected)
        feed = self.network.feeds_by_instance[leader.instance]
        self.assertIsNone(feed.since(Revision(1)))
        times: list[float] = []
        leader.machine.listen(lambda entry: times.append(entry.envelope.time))
        self.assertIsInstance(await put_organisation(leader, "after"), Applied)
        self.assertGreater(times[0], before - 100.0)

    async def test_member_far_behind_gets_a_snapshot(self) -> None:
        behind = self.followers[0]
        self.network.isolate(behind.instance)
        for number in range(300):
            await put_organisation(self.leader, f"o{number}")
        self.network.heal()
        await self.network.wait_until_converged()
        self.assertEqual(len(organisation_ids(behind)), 300)
        feed = self.network.feeds_by_instance[behind.instance]
        self.assertIsNone(feed.since(Revision(1)))

    async def test_member_back_after_a_long_cut_does_not_disturb(self) -> None:
        isolated = self.followers[0]
        self.network.isolate(isolated.instance)
        await self.settle(60.0)
        term = self.leader.term
        self.network.heal()
        await self.settle()
        self.assertEqual(self.leader.term, term)
        self.assertTrue(self.leader.holds_lease())
        self.assertEqual(isolated.leader, self.leader.instance)

    async def test_silent_connections_are_replaced_within_the_lease(self) -> None:
        """Guards against a wait on a connection that has silently failed."""
        term = self.leader.term
        self.network.silence_open()
        waiting = asyncio.create_task(put_organisation(self.leader, "tejo"))
        for _ in range(100):
            await asyncio.sleep(0.05)
            self.assertTrue(self.leader.holds_lease())
        self.assertIsInstance(await waiting, Applied)
        self.assertEqual(self.leader.term, term)


class FormationTests(PausedClockTestCase):
    """Bootstrap of a new cluster."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.network = MemberNetwork(INSTANCES, self.clock())
        self.addAsyncCleanup(self.network.close)

    async def test_waits_for_every_named_member(self) -> None:
        await self.network.start("a")
        await self.network.start("b")
        await asyncio.sleep(20.0)
        self.assertEqual(self.network.leaders, [])
        await self.network.start("c")
        await self.network.leader()

    async def test_members_that_disagree_form_no_cluster(self) -> None:
        await self.network.start("a")
        await self.network.start("b")
        await self.network.start("c", configured_members=["b", "c", "d"])
        await asyncio.sleep(20.0)
        self.assertEqual(self.network.leaders, [])

    async def test_single_member_leads_at_once(self) -> None:
        member = await self.network.start("a", configured_members=["a"])
        await asyncio.sleep(0.1)
        self.assertTrue(member.holds_lease())
        self.assertIsInstance(await put_organisation(member, "tejo"), Applied)


class RepairTests(NetworkTestCase):
    """Lost disks and replacement of members."""

    snapshot_entries = 20

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(50):
            await put_organisation(self.leader, f"o{number}")

    async def _lose_disk(self, member: ControlMember) -> ControlMember:
        await self.network.stop(member.instance, lose_disk=True)
        return await self.network.start(member.instance)

    def _voters(self) -> set[str]:
        return {
            status.instance
            for status in self.leader.member_statuses()
            if status.role is not Role.LEARNER
        }

    async def test_member_without_its_disk_does_not_vote(self) -> None:
        without_disk, other = self.followers
        await self._lose_disk(without_disk)
        await self.settle()
        await self.network.stop(other.instance)
        await self.settle(20.0)
        self.assertEqual(self.network.leaders, [])
        await self.network.start(other.instance)
        await self.network.leader()

    async def test_majority_without_disks_forms_no_second_cluster(self) -> None:
        for member in self.followers:
            await self._lose_disk(member)
        await self.settle(20.0)
        self.assertEqual(self.network.leaders, [])

    async def test_first_member_without_its_disk_founds_no_cluster(self) -> None:
        await self._lose_disk(self.network.running["a"])
        await self.settle(20.0)
        self.assertEqual(organisation_ids(self.network.running["a"]), ())
        (self.leader,) = self.network.leaders
        first = InstanceId("a")
        result = await self.leader.replace_member(first, first, "a:1")
        self.assertIsInstance(result, Applied)

    async def test_emptied_member_is_readmitted(self) -> None:
        without_disk = await self._lose_disk(self.followers[0])
        name = without_disk.instance
        result = await self.leader.replace_member(name, name, f"{name}:1")
        self.assertIsInstance(result, Applied)
        await self.network.wait_until_converged()
        self.assertEqual(len(self.leader.member_statuses()), 3)
        self.assertEqual(self._voters(), set(INSTANCES))

    @parameterized.expand([("running", False), ("lost", True)])
    async def test_second_loss_right_after_a_repair(self, _: str, lost: bool) -> None:
        old, other = self.followers
        if lost:
            await self.network.stop(old.instance)
            await self.settle(5.0)
        await self.network.start("d", configured_members=["d", *INSTANCES])
        result = await self.leader.replace_member(old.instance, InstanceId("d"), "d:1")
        self.assertIsInstance(result, Applied)
        await self.network.stop(other.instance)
        if not lost:
            await self.network.stop(old.instance)
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "after"), Applied)
        await self.network.wait_until_converged()
        self.assertEqual(len(organisation_ids(self.network.running["d"])), 51)

    async def test_voter_is_not_replaced_by_another_voter(self) -> None:
        """Guards against two voters where each disk is needed."""
        old, other = (member.instance for member in self.followers)
        result = await self.leader.replace_member(old, other, f"{other}:1")
        self.assertIsInstance(result, NotProposed)
        self.assertEqual(self._voters(), set(INSTANCES))

    async def test_replacement_cut_off_half_way_is_resumed(self) -> None:
        old = self.followers[0].instance
        new = await self.network.start("d", configured_members=["d", *INSTANCES])
        replacing = asyncio.create_task(
            self.leader.replace_member(old, new.instance, "d:1", timeout=5.0)
        )
        # Catching up takes two round trips of 10 ms, so the learner, polled
        # every millisecond, is seen before it has caught up.
        await self.network.wait(
            lambda: len(self.leader.member_statuses()) == 4, "the learner", 0.001
        )
        self.network.isolate("d")
        self.assertIsInstance(await replacing, InDoubt)
        self.assertEqual(self._voters(), set(INSTANCES))
        self.assertIsInstance(await put_organisation(self.leader, "meanwhile"), Applied)
        self.network.heal()
        result = await self.leader.replace_member(old, new.instance, "d:1")
        self.assertIsInstance(result, Applied)
        self.assertEqual(self._voters(), {"d", *INSTANCES} - {old})

    async def test_removed_member_does_not_disturb(self) -> None:
        old = self.followers[0]
        await self.network.start("d", configured_members=["d", *INSTANCES])
        await self.leader.replace_member(old.instance, InstanceId("d"), "d:1")
        term = self.leader.term
        await self.settle(30.0)
        self.assertEqual(self.leader.term, term)
        self.assertTrue(self.leader.holds_lease())

    async def test_status_of_members(self) -> None:
        await self.settle(1.0)
        statuses = {status.instance: status for status in self.leader.member_statuses()}
        leader = statuses[self.leader.instance]
        self.assertIs(leader.role, Role.LEADER)
        for follower in self.followers:
            status = statuses[follower.instance]
            self.assertEqual(
                replace(status, last_contact_seconds=0.0),
                replace(
                    status,
                    role=Role.FOLLOWER,
                    matched_index=leader.matched_index,
                    last_contact_seconds=0.0,
                ),
            )
