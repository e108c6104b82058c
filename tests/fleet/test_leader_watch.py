"""Tests of the log lines of a member without a leader (paused clock).

Guards against a cluster without a majority of which no line says who is
missing.
"""

import asyncio
import json

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.leader_watch import (
    CHECK_INTERVAL_SECONDS,
    LEADERLESS_SECONDS,
    REPEAT_SECONDS,
    LeaderWatch,
)
from goldcrestyard.consensus.member_lines import short_id
from goldcrestyard.consensus.messages import Append, AppendReply
from goldcrestyard.core.ids import LogIndex, Term
from tests.fleet.test_assembly import FOUNDERS
from tests.fleet.test_cluster_health import ClusterTestCase

LEADERLESS = "control member knows of no leader"
OUTSIDE = "process that is no control member knows of no leader"
CONFIGURATION = "configuration of a member without a leader"
STARTED = "control member started"
LOADED = "control log loaded"
ENDED = "leadership ended"
UNREADY = "leader waits for its first entry to be committed"
CHANGED = "leadership changed"


class LeaderWatchTests(ClusterTestCase):
    """The lines of a member that starts or has no leader."""

    def watch(self, member: ControlMember) -> None:
        task = asyncio.create_task(LeaderWatch(member, self.network.clock).run())
        self.addCleanup(task.cancel)

    async def test_member_without_leader_names_the_voters(self) -> None:
        left = self.network.running[self.followers[0]]
        self.watch(left)
        ids = {member.member_id for member in self.network.running.values()}
        emptied_id = self.network.running[self.followers[1]].member_id
        for name in (str(self.leader.instance), self.followers[1]):
            await self.assembly.stop(name, lose_disk=True)
        await self.assembly.start(self.followers[1])
        emptied = self.network.running[self.followers[1]]
        self.watch(emptied)
        line = await self.wait_event(LEADERLESS)
        self.assertEqual("warning", line["log_level"])
        self.assertGreater(line["leaderless_seconds"], LEADERLESS_SECONDS)
        self.assertEqual(left.member_id, line["member"])
        self.assertGreater(line["last_index"], 0)
        silent = line["silent_seconds_by_voter"]
        self.assertEqual(ids, set(silent))
        self.assertEqual(0.0, silent[left.member_id])
        self.assertGreater(silent[self.leader_id], LEADERLESS_SECONDS)
        self.assertIsNone(silent[emptied_id], "another member answers there")
        self.assertEqual((emptied.member_id,), line["other_members"])
        outside = await self.wait_event(OUTSIDE)
        self.assertEqual("info", outside["log_level"], "it has no vote to miss")
        self.assertEqual(emptied.member_id, outside["member"])
        self.assertTrue(outside["disk_was_empty"])
        self.assertIn(left.member_id, outside["other_members"])
        await asyncio.sleep(REPEAT_SECONDS + 2 * CHECK_INTERVAL_SECONDS)
        self.assertEqual(2, len(self.of(LEADERLESS)), "repeated after a while")

    @parameterized.expand([("emptied",), ("suspended",), ("planned_end",)])
    async def test_lines_tell_why_nobody_is_elected(self, how: str) -> None:
        """Guards against a cut line without the reason.

        Readers may have its first 200 characters only.
        """
        lost, other = str(self.leader.instance), self.followers[1]
        left = self.network.running[self.followers[0]]
        other_id = self.network.running[other].member_id
        watching = asyncio.create_task(LeaderWatch(left, self.network.clock).run())
        self.addCleanup(watching.cancel)
        await self.assembly.stop(lost, lose_disk=True)
        match how:
            case "emptied":
                await self.assembly.stop(other, lose_disk=True)
                emptied = await self.assembly.start(other)
                self.watch(emptied)
                reason = f"emptied, now {short_id(emptied.member_id)[1:]}"
            case "suspended":
                files = self.network.files_by_instance[other]
                files.capacity = files.used
                reason = "the member's disk failed"
            case _:
                await self.assembly.stop(other)
                reason = "silent "
        await asyncio.sleep(3.5 if how == "planned_end" else 10.0)
        watching.cancel()
        await asyncio.sleep(0.1)
        line = self.of(LEADERLESS)[-1]
        text = json.dumps(line)[:200]
        self.assertIn('{"lacks": "1 of 2 votes: ', text)
        self.assertIn(f"{short_id(other_id)} {reason}", text)
        self.assertIn(f"{short_id(self.leader_id)} silent ", text)
        configuration = self.of(CONFIGURATION)[-1]
        for voter in (left.member_id, other_id, self.leader_id):
            self.assertIn(short_id(voter), configuration["voters"])
        if how == "emptied":
            outside = self.of(OUTSIDE)[-1]
            self.assertEqual(line["lacks"][:13], outside["lacks"][:13])
            self.assertIn(short_id(left.member_id), outside["answers"])
            known_by = {line["known_by"] for line in self.of(CONFIGURATION)}
            self.assertEqual({short_id(left.member_id)}, known_by)

    async def test_process_that_is_not_admitted_names_the_leader(self) -> None:
        """Guards against missing votes in the line where there is a leader."""
        outside = await self.network.start("d", FOUNDERS)
        self.watch(outside)
        line = await self.wait_event(OUTSIDE)
        self.assertRegex(line["lacks"], "^nothing, but this process is no member: ")
        leader_id = short_id(self.leader_id)
        for name in self.followers:
            follower = short_id(self.network.running[name].member_id)
            self.assertIn(f"{follower} follows {leader_id}", line["lacks"])

    async def test_leader_that_cannot_commit_names_who_lacks_entries(self) -> None:
        """Guards against a leader that serves nothing and does not say why."""
        left = [self.network.running[name] for name in self.followers]
        for member in left:
            self.watch(member)
            self._store_nothing(member)
        await self.assembly.stop(str(self.leader.instance), lose_disk=True)
        line = await self.wait_event(UNREADY)
        for member in left:
            self.assertIn(short_id(member.member_id), line["lacking_entries_by_voter"])
        self.assertGreater(max(line["lacking_entries_by_voter"].values()), 0)

    def _store_nothing(self, member: ControlMember) -> None:
        """Let a member answer that it lacks what it is sent."""
        core = member._core
        assert core is not None

        def answer(sender: MemberId, message: Append) -> None:
            core._send(
                sender,
                AppendReply(core.term, False, LogIndex(2), Term(0), message.sent_at),
            )

        core._handle_append = answer  # type: ignore[method-assign]

    @parameterized.expand([("cut_off",), ("suspended",)])
    async def test_ended_leadership_tells_its_cause(self, how: str) -> None:
        """Guards against a term of which no line tells how it ended."""
        name = str(self.leader.instance)
        if how == "cut_off":
            self.network.isolate(name)
            cause = "no quorum has answered in time"
        else:
            files = self.network.files_by_instance[name]
            files.capacity = files.used
            cause = "the member's disk failed"
        term = self.leader.term
        line = await self.wait_event(ENDED)
        self.assertEqual(term, line["term"])
        self.assertIn(cause, line["cause"])

    async def test_election_is_not_logged(self) -> None:
        left = self.network.running[self.followers[0]]
        self.watch(left)
        await self.assembly.stop(str(self.leader.instance), lose_disk=True)
        await self.network.leader(but=self.leader)
        await asyncio.sleep(10.0)
        self.assertEqual([], self.of(LEADERLESS))

    async def test_start_tells_an_empty_disk(self) -> None:
        name = self.followers[0]
        before = self.network.running[name].member_id
        for lose_disk in (False, True):
            await self.assembly.stop(name, lose_disk=lose_disk)
            self.watch(await self.assembly.start(name))
            await asyncio.sleep(1.0)
        loaded, empty = [line["entries"] for line in self.of(LOADED)[-2:]]
        self.assertGreater(loaded, 1)
        self.assertEqual(0, empty)
        kept, emptied = self.of(STARTED)
        self.assertEqual((before, False), (kept["member"], kept["disk_was_empty"]))
        self.assertEqual(3, len(kept["voters"]))
        self.assertGreater(kept["last_index"], 0)
        self.assertTrue(emptied["disk_was_empty"])
        self.assertNotEqual(before, emptied["member"])

    @parameterized.expand([("founder", False), ("emptied", True)])
    async def test_vote_is_logged(self, _: str, emptied: bool) -> None:
        """Guards against logs that don't tell when a member got its vote."""
        name = self.followers[0]
        if emptied:
            await self.assembly.stop(name, lose_disk=True)
            self.lines.clear()
            await self.assembly.start(name)
            await self.assembly.wait_voters(*FOUNDERS)
        await asyncio.sleep(1.0)
        changes = [list(line.items())[:3] for line in self.of(CHANGED)]
        followed = ("leader", self.leader.instance), ("term", self.leader.term)
        self.assertIn([("role", "follower"), *followed], changes)
