"""Tests of bootstrapping and repairing the control cluster (paused clock).

Guards against founding two clusters, counting the vote of a member whose disk
was lost, and losing the majority when a second machine fails.
"""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest.mock import AsyncMock

import cbor2
import structlog
from parameterized import parameterized

from goldcrestyard.consensus.bootstrap import FoundingRule
from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, NotProposed
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.status import MemberStatus
from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, Term
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.fleet.assembly.commands import (
    CompleteRetirement,
    JoinCluster,
    JoinNoted,
    MachinesSnapshot,
    NameMachine,
    RetireMachine,
)
from goldcrestyard.fleet.assembly.joining import ClusterJoiner
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.policy.membership import GONE_SECONDS, LOST_LEARNER_SECONDS
from goldcrestyard.state.commands import Accepted, CommandContext, Envelope
from goldcrestyard.wire.codec import Codec
from tests.fakes.member_network import (
    MemberNetwork,
    _Dialer,
    organisation_ids,
    put_organisation,
)
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

FOUNDERS = ["a", "b", "c"]

FOUNDING_SEEDS = 8

CATCH_UP_SECONDS = 4.8
"""Time after its successor has started from which a lost machine no longer
counts, so that another disk may be lost."""


class Assembly:
    """Members with managers, and joiners that use the founders as seeds."""

    def __init__(self, network: MemberNetwork) -> None:
        self.network = network
        self.managers: dict[str, MembershipManager] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}

    async def start(self, name: str, *, first_start: bool = False) -> ControlMember:
        network = self.network
        member = await network.start(name, FOUNDERS if first_start else [])
        manager = MembershipManager(member, 3, network.clock)
        manager.register(network.handlers_by_instance[name])
        self.managers[name] = manager
        joiner = ClusterJoiner(
            member,
            f"{name}:1",
            f"machine-{name}",
            ControlAddresses({InstanceId(n): f"{n}:1" for n in FOUNDERS}),
            _Dialer(network, name),  # type: ignore[arg-type]
            manager.record_join,
        )
        self._tasks[name] = [
            asyncio.create_task(while_leading(member, "keep", manager.run)),
            asyncio.create_task(joiner.run()),
        ]
        return member

    async def stop(self, name: str, *, lose_disk: bool = False) -> None:
        for task in self._tasks.pop(name):
            task.cancel()
        await self.network.stop(name, lose_disk=lose_disk)

    async def close(self) -> None:
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()
        await self.network.close()

    def voters(self) -> set[str]:
        """Return the voters on which all running voters agree, else nothing.

        A configuration that only the leader stores may be lost with it.
        """
        leaders = self.network.leaders
        if not leaders:
            return set()
        voters = voters_of(leaders[0])
        known = [
            voters_of(self.network.running[name])
            for name in voters
            if name in self.network.running
        ]
        return voters if all(seen == voters for seen in known) else set()

    async def wait_voters(self, *names: str) -> None:
        await self.network.wait(
            lambda: self.voters() == set(names), f"the voters {names}"
        )


def voters_of(member: ControlMember) -> set[str]:
    """Return the voters in a member's latest configuration."""
    return {
        str(status.instance)
        for status in member.member_statuses()
        if status.role is not Role.LEARNER
    }


class AssemblyTestCase(PausedClockTestCase):
    """Starts the founders."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        network = MemberNetwork(
            FOUNDERS,
            self.clock(),
            founding_rule=FoundingRule.MAJORITY,
            slices=(OrganisationsSlice, MachinesSlice),
            messages=(
                JoinCluster,
                JoinNoted,
                NameMachine,
                RetireMachine,
                CompleteRetirement,
                MachinesSnapshot,
            ),
        )
        self.network = network
        self.assembly = Assembly(network)
        self.addAsyncCleanup(self.assembly.close)


class JoinRequestLogTests(AssemblyTestCase):
    """The line that a process logs when its join request is acknowledged."""

    async def test_one_line_names_the_member_that_answered(self) -> None:
        """Guards against lines that name a member which did not lead.

        A process that waits for its addition repeats its request only.
        """
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        leader = await self.network.leader()
        await asyncio.sleep(2.0)
        manager = self.assembly.managers[leader.instance]
        manager._apply_change = AsyncMock(  # type: ignore[method-assign]
            return_value=NotProposed("no change is made")
        )
        # Loggers of the members are set to critical events only.
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(0))
        with structlog.testing.capture_logs() as lines:
            for name in ("d", "e", "f"):
                await self.assembly.start(name)
            await asyncio.sleep(2.0)
        named = [
            line["leader"]
            for line in lines
            if line["event"] == "join request acknowledged by the leader"
        ]
        self.assertEqual(named, [leader.instance] * 3)


class JoiningTests(AssemblyTestCase):
    """How soon a new process becomes a learner."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        self.leader = await self.network.leader()
        await asyncio.sleep(2.0)

    async def _wait_member(self, *names: str) -> None:
        def are_members() -> bool:
            statuses = self.leader.member_statuses()
            known = {str(s.instance) for s in statuses} | {s.id for s in statuses}
            return known.issuperset(names)

        await self.network.wait(are_members, f"the members {names}", 0.005)

    @parameterized.expand([("one", 1), ("both", 2)])
    async def test_silent_members_do_not_delay_a_request(
        self, _: str, silent: int
    ) -> None:
        """Guards against a request that waits for one to a silent member."""
        followers = [n for n in FOUNDERS if n != self.leader.instance]
        names = ["d", "e", "f", "g"]
        random.seed(29)
        self.network.cut_links |= {
            (name, follower) for name in names for follower in followers[:silent]
        }
        async with asyncio.timeout(1.0):
            for name in names:
                await self.assembly.start(name)
            await self._wait_member(*names)

    @parameterized.expand(
        [
            ("no_cluster", "", 0.0, "d", "d"),
            ("no_cluster_after_a_check", "", 0.1, "d", "d"),
            ("no_cluster_long_after_a_check", "", 0.15, "d", "d"),
            ("another_cluster", "another", 0.0, "", ""),
            ("earlier_release", None, 0.0, "", "d"),
        ]
    )
    async def test_request_is_enough(
        self, _: str, cluster: str | None, after: float, at_once: str, over_link: str
    ) -> None:
        """Guards against an addition that waits for a link or for a check.

        A request of the earlier release names no cluster, and has to wait.
        """
        leader = str(self.leader.instance)
        self.network.cut_links.add((leader, "d"))
        new = await self.network.start("d", [])
        request = JoinCluster(new.member_id, new.instance, "d:1", "d", cluster)
        await asyncio.sleep(after)
        for added, seconds in ((at_once, 0.1), (over_link, 2.5)):
            await self.assembly.managers[leader].record_join(request)
            await asyncio.sleep(seconds)
            known = {str(s.instance) for s in self.leader.member_statuses()}
            self.assertEqual("".join(known - set(FOUNDERS)), added)
            self.network.heal()

    async def test_lost_disk_is_known_without_a_request(self) -> None:
        """Guards against a learner that waits for a request that was lost.

        The leader's link reaches the process on the empty disk.
        """
        lost = next(n for n in FOUNDERS if n != self.leader.instance)
        await self.assembly.stop(lost, lose_disk=True)
        await asyncio.sleep(1.0)
        new = await self.network.start(lost, [])
        await self._wait_member(new.member_id)

    @parameterized.expand([(0.0,), (0.05,), (0.1,), (0.15,), (0.2,)])
    async def test_vote_follows_as_soon_as_a_learner_has_caught_up(
        self, after: float
    ) -> None:
        """Guards against a vote that waits for a periodic check."""
        random.seed(29)
        lost = next(n for n in FOUNDERS if n != self.leader.instance)
        await self.assembly.stop(lost, lose_disk=True)
        await asyncio.sleep(1.0 + after)
        new = (await self.assembly.start(lost)).member_id
        await self.network.wait(
            lambda: self.leader.has_caught_up(new), "a learner", 0.001
        )
        # The new configuration makes it lag until it stores that one.
        await asyncio.sleep(0.05)
        voters = {
            s.id for s in self.leader.member_statuses() if s.role is not Role.LEARNER
        }
        self.assertIn(new, voters)


class FoundingTests(AssemblyTestCase):
    """The first start of a deployment."""

    async def test_founders_find_each_other(self) -> None:
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        await self.assembly.wait_voters(*FOUNDERS)

    async def test_others_join_without_a_vote(self) -> None:
        for name in [*FOUNDERS, "d"]:
            await self.assembly.start(name, first_start=True)
        await self.assembly.wait_voters(*FOUNDERS)
        leader = await self.network.leader()
        await self.network.wait(
            lambda: len(leader.member_statuses()) == 4, "the learner"
        )
        self.assertEqual(self.assembly.voters(), set(FOUNDERS))

    @parameterized.expand([(0.0,), (0.02,), (0.1,), (0.3,), (1.0,), (2.5,)])
    async def test_founded_once_despite_restarts(self, after: float) -> None:
        """Restarts of the founders in turn must not found a second cluster."""
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        await asyncio.sleep(after)
        for name in FOUNDERS:
            await self.assembly.stop(name)
            await self.assembly.start(name, first_start=True)
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "kept"), Applied)
        await self.network.wait_until_converged()
        self.assertEqual(
            {m._disk.cluster for m in self.network.running.values()},
            {leader._disk.cluster},
        )

    @parameterized.expand([(name,) for name in FOUNDERS])
    async def test_minority_founds_nothing(self, name: str) -> None:
        """Guards against two clusters of founders that do not meet."""
        await self.assembly.start(name, first_start=True)
        await asyncio.sleep(10.0)
        self.assertEqual(self.network.leaders, [])

    @parameterized.expand(
        [
            (f"{name}_{how}", name, how)
            for name in FOUNDERS
            for how in ("late", "wiped", "cut_off")
        ]
    )
    async def test_majority_founds_without_one_founder(
        self, _: str, name: str, how: str
    ) -> None:
        """Guards against a system that never starts without one machine."""
        others = [founder for founder in FOUNDERS if founder != name]
        for founder in others:
            await self.assembly.start(founder, first_start=True)
        match how:
            case "wiped":
                await self.assembly.start(name, first_start=True)
                await self.assembly.stop(name, lose_disk=True)
            case "cut_off":
                self.network.isolate(name)
                await self.assembly.start(name, first_start=True)
        leader = await self.network.leader()
        self.assertIn(leader.instance, others)
        self.assertIsInstance(await put_organisation(leader, "kept"), Applied)
        await asyncio.sleep(3.0)
        self.network.heal()
        if how != "cut_off":
            await self.assembly.start(name, first_start=how == "late")
        await self.assembly.wait_voters(*FOUNDERS)
        await self.network.wait_until_converged()
        self.assertEqual(organisation_ids(leader), ("kept",))

    @parameterized.expand([(seed,) for seed in range(FOUNDING_SEEDS)])
    async def test_disturbed_first_seconds(self, seed: int) -> None:
        """Guards against two clusters, or none, after kills, cuts, a loss."""
        source = random.Random(seed)
        wiped = source.choice([None, *FOUNDERS])
        founders = set(FOUNDERS)
        for name in source.sample(FOUNDERS, 3):
            await self.assembly.start(name, first_start=True)
            await asyncio.sleep(source.choice([0.0, 0.1, 1.0]))
        for _ in range(source.randrange(1, 8)):
            await asyncio.sleep(source.uniform(0.0, 1.5))
            name = source.choice(FOUNDERS)
            match source.randrange(3):
                case 0:
                    self.network.isolate(name)
                case 1:
                    self.network.heal()
                case _:
                    lose_disk = name == wiped and name in founders
                    await self.assembly.stop(name, lose_disk=lose_disk)
                    if lose_disk:
                        founders.remove(name)
                    await asyncio.sleep(source.uniform(0.0, 0.5))
                    await self.assembly.start(name, first_start=name in founders)
        self.network.heal()
        await self.assembly.wait_voters(*FOUNDERS)
        leader = self.network.leaders[0]
        self.assertIsInstance(await put_organisation(leader, "kept"), Applied)
        await self.network.wait_until_converged()
        clusters = {m._disk.cluster for m in self.network.running.values()}
        self.assertEqual(len(clusters), 1)

    async def test_founder_without_its_disk_founds_nothing(self) -> None:
        """Guards against a second vote of a founder that lost its disk."""
        for name in ("a", "b"):
            await self.assembly.start(name, first_start=True)
            await self.assembly.stop(name, lose_disk=True)
        for name in ("a", "b"):
            await self.assembly.start(name)
        await self.assembly.start("c", first_start=True)
        await asyncio.sleep(10.0)
        self.assertEqual(self.network.leaders, [])

    async def test_all_machines_are_known_by_name(self) -> None:
        # A leader that recorded no name for its own machine would refuse to
        # retire that machine as unknown.
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        leader = await self.network.leader()
        names = leader.machine.get(MachinesSlice).names_by_instance
        await self.network.wait(lambda: len(names) == 3, "the founders' names")
        self.assertEqual([leader], self.network.leaders, "the first leader still")
        self.assertEqual(f"machine-{leader.instance}", names[leader.instance])


class RepairTests(AssemblyTestCase):
    """Replacement of lost members without an operator."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        self.leader = await self.network.leader()
        await put_organisation(self.leader, "first")

    def _follower(self) -> str:
        return next(n for n in FOUNDERS if n != self.leader.instance)

    async def _assert_data_is_kept(self) -> None:
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "second"), Applied)
        await self.network.wait_until_converged()
        self.assertEqual(organisation_ids(leader), ("first", "second"))

    @parameterized.expand([("follower", False), ("leader", True)])
    async def test_wiped_disk_at_its_old_address(self, _: str, leads: bool) -> None:
        lost = str(self.leader.instance) if leads else self._follower()
        await self.assembly.stop(lost, lose_disk=True)
        await self.assembly.start(lost)
        await self.network.leader()
        await self.network.wait(
            lambda: (
                len(self.network.leaders) == 1
                and len(self.network.leaders[0].member_statuses()) == 3
                and self.assembly.voters() == set(FOUNDERS)
            ),
            "three members",
        )
        await self._assert_data_is_kept()

    @parameterized.expand([("follower", False), ("leader", True)])
    async def test_new_machine_in_place_of_a_lost_one(
        self, _: str, leads: bool
    ) -> None:
        lost = str(self.leader.instance) if leads else self._follower()
        await self.assembly.stop(lost, lose_disk=True)
        await asyncio.sleep(1.0)
        await self.assembly.start("d")
        await self.assembly.wait_voters(*({*FOUNDERS, "d"} - {lost}))
        await self._assert_data_is_kept()

    async def test_second_loss_right_after_a_repair(self) -> None:
        first = self._follower()
        await self.assembly.stop(first, lose_disk=True)
        await self.assembly.start("d")
        await self.assembly.wait_voters(*({*FOUNDERS, "d"} - {first}))
        second = str(self.leader.instance)
        await self.assembly.stop(second, lose_disk=True)
        await self.assembly.start("e")
        await self.assembly.wait_voters(*({*FOUNDERS, "d", "e"} - {first, second}))
        await self._assert_data_is_kept()

    @parameterized.expand([("follower", False), ("leader", True)])
    async def test_next_disk_is_lost_while_the_log_is_copied(
        self, _: str, leads: bool
    ) -> None:
        """Guards against a vote that stays with a lost disk during a copy."""
        for number in range(300):
            name = f"{number}-{random.Random(number).randbytes(15_000).hex()}"
            await put_organisation(self.leader, name)
        kept = organisation_ids(self.leader)
        first, other = (n for n in FOUNDERS if n != self.leader.instance)
        await self.assembly.stop(first, lose_disk=True)
        self.network.throughput_by_receiver[first] = 100_000
        newcomer = await self.assembly.start(first)
        await asyncio.sleep(CATCH_UP_SECONDS)
        self.assertFalse(self.leader.has_caught_up(newcomer.member_id))
        second = str(self.leader.instance) if leads else other
        await self.assembly.stop(second, lose_disk=True)
        await self.assembly.start(second)
        await self.assembly.wait_voters(*FOUNDERS)
        self.assertEqual(organisation_ids(self.network.leaders[0])[-300:], kept[-300:])

    @parameterized.expand([("voter_comes_back", True), ("another_machine", False)])
    async def test_copying_voter_leaves_the_vote_to_a_member_that_has_the_log(
        self, _: str, comes_back: bool
    ) -> None:
        """Guards against commits that wait for a copy beside a whole learner.

        The vote of a silent voter went to a machine behind a slow link.  With
        the next disk lost, its copy was needed for each commit, also for the
        one that replaces a voter by the learner.
        """
        for number in range(300):
            name = f"{number}-{random.Random(number).randbytes(15_000).hex()}"
            await put_organisation(self.leader, name)
        silent, second = (n for n in FOUNDERS if n != self.leader.instance)
        self.network.throughput_by_receiver["d"] = 120_000
        if comes_back:
            self.network.isolate(silent)
        else:
            await self.assembly.stop(silent, lose_disk=True)
        slow = await self.assembly.start("d")
        await self.network.wait(lambda: "d" in voters_of(self.leader), "the new voter")
        if comes_back:
            self.network.heal()
        else:
            await self.assembly.start("e")
        await asyncio.sleep(CATCH_UP_SECONDS)
        self.assertFalse(self.leader.has_caught_up(slow.member_id))
        await self.assembly.stop(second, lose_disk=True)
        leader = await self.network.leader()
        async with asyncio.timeout(5.0):
            result = await put_organisation(leader, "second")
        self.assertIsInstance(result, Applied)

    @parameterized.expand(
        [
            ("restart_during_a_snapshot", "restart", 100),
            ("disk_lost_during_a_log", "disk_lost", 10_000),
            ("cut_during_a_snapshot", "cut", 100),
            ("leader_restart_during_a_log", "leader_restart", 10_000),
        ]
    )
    async def test_copy_is_disturbed_before_the_next_disk_is_lost(
        self, _: str, event: str, snapshot_entries: int
    ) -> None:
        """Guards against a copy whose vote is missing when it is needed."""
        for member in self.network.running.values():
            member._snapshot_entries = snapshot_entries
        for number in range(300):
            name = f"{number}-{random.Random(number).randbytes(15_000).hex()}"
            await put_organisation(self.leader, name)
        kept = organisation_ids(self.leader)
        first, second = (n for n in FOUNDERS if n != self.leader.instance)
        await self.assembly.stop(first, lose_disk=True)
        self.network.throughput_by_receiver[first] = 600_000
        await self.assembly.start(first)
        await asyncio.sleep(CATCH_UP_SECONDS / 2)
        match event:
            case "restart" | "disk_lost":
                await self.assembly.stop(first, lose_disk=event == "disk_lost")
                await asyncio.sleep(0.5)
                await self.assembly.start(first)
            case "cut":
                self.network.isolate(first)
                await asyncio.sleep(1.2)
                self.network.heal()
            case _:
                leader = str(self.leader.instance)
                await self.assembly.stop(leader)
                await self.assembly.start(leader)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await self.assembly.stop(second, lose_disk=True)
        await self.assembly.start(second)
        await self.assembly.wait_voters(*FOUNDERS)
        self.assertEqual(organisation_ids(self.network.leaders[0])[-300:], kept[-300:])

    @parameterized.expand([(f"{s}_s", s) for s in (1.6, 1.7, 1.8, 1.9)])
    async def test_silence_of_the_leader_itself_moves_no_vote(
        self, _: str, seconds: float
    ) -> None:
        """Guards against a sound voter replaced by the first one that answers.

        After a cut or a pause of the leader all others have been silent.  A
        learner that answered before them took the vote of one of them.
        """
        await self.assembly.start("d")
        await self.network.wait(
            lambda: len(self.leader.member_statuses()) == 4, "the learner"
        )
        others = voters_of(self.leader) - {str(self.leader.instance)}
        self.leader.replace = AsyncMock(  # type: ignore[method-assign]
            return_value=NotProposed("no change is made")
        )
        leader = str(self.leader.instance)
        self.network.cut_links |= {(leader, other) for other in others}
        self.network.cut_links |= {(other, leader) for other in others}
        await asyncio.sleep(seconds)
        self.network.heal()
        await asyncio.sleep(5.0)
        self.leader.replace.assert_not_awaited()

    async def test_join_through_the_only_running_seed(self) -> None:
        """A new machine joins through the only seed that still runs."""
        followers = [n for n in FOUNDERS if n != self.leader.instance]
        for lost, new in zip(followers, ("d", "e"), strict=True):
            await self.assembly.stop(lost, lose_disk=True)
            await self.assembly.start(new)
            await self.network.wait(lambda n=new: n in self.assembly.voters(), new)
        await self.assembly.wait_voters(str(self.leader.instance), "d", "e")
        await self._assert_data_is_kept()

    async def test_cut_off_leader_is_replaced_and_comes_back(self) -> None:
        cut = str(self.leader.instance)
        self.network.isolate(cut)
        await self.network.leader(but=self.leader)
        await self.assembly.start("d")
        await self.network.wait(
            lambda: any("d" in voters_of(m) for m in self.network.leaders),
            "the new voter",
        )
        self.network.heal()
        await self.network.wait(
            lambda: (
                all(
                    cut in {s.instance for s in m.member_statuses()}
                    for m in self.network.leaders
                )
                and bool(self.network.leaders)
            ),
            "the old leader as a member again",
        )
        await self._assert_data_is_kept()

    async def test_cut_off_learner_is_removed_and_comes_back(self) -> None:
        """Guards against a learner that does not notice its removal.

        It would not ask to join again, and could not replace a lost voter.
        """
        await self.assembly.start("d")

        def has_learner() -> bool:
            return any(
                "d" in {status.instance for status in m.member_statuses()}
                for m in self.network.leaders
            )

        await self.network.wait(has_learner, "the learner")
        await self.network.wait(lambda: self.network.running["d"].is_member, "d")
        self.network.isolate("d")
        await self.network.wait(lambda: not has_learner(), "its removal")
        self.network.heal()
        await self.network.wait(has_learner, "the learner as a member again")
        await self.assembly.stop(self._follower(), lose_disk=True)
        await self.network.wait(lambda: "d" in self.assembly.voters(), "its vote")
        await self._assert_data_is_kept()

    async def test_removal_that_is_not_committed_is_not_told(self) -> None:
        """Guards against a disk that is taken away while it is needed."""
        leader, retired = self.leader, self._follower()
        names = leader.machine.get(MachinesSlice).names_by_instance
        await self.assembly.start("d")
        await self.network.wait(lambda: len(names) == 4, "the machines' names")
        manager = self.assembly.managers[leader.instance]
        self.assertIsNone(await manager.retire(f"machine-{retired}"))
        told_early = False
        cut = False

        def watch() -> bool:
            nonlocal told_early, cut
            latest = {status.instance for status in leader.member_statuses()}
            if retired not in latest and not cut:
                # The leader has just appended the removal.
                self.network.isolate(leader.instance)
                cut = True
            if cut:
                told_early |= bool(manager.is_retired(f"machine-{retired}"))
            return cut and not leader.is_leader

        await self.network.wait(watch, "a leader that is cut off", 0.001)
        self.assertFalse(told_early)
        self.network.heal()
        await self.network.wait(
            lambda: any(
                self.assembly.managers[member.instance].is_retired(f"machine-{retired}")
                for member in self.network.leaders
            ),
            "the committed removal",
        )

    async def test_retirement_needs_a_machine_in_its_place(self) -> None:
        retiring = self._follower()
        machine = f"machine-{retiring}"
        manager = self.assembly.managers[self.leader.instance]
        names = self.leader.machine.get(MachinesSlice).names_by_instance
        await self.network.wait(lambda: len(names) == 3, "the founders' names")
        refusal = await manager.retire(machine)
        assert refusal is not None
        self.assertIs(refusal.reason, RefusalReason.CONFLICT)
        await self.assembly.start("d")
        await self.network.wait(
            lambda: len(self.leader.member_statuses()) == 4, "the learner"
        )
        unknown = await manager.retire("machine-nobody")
        assert unknown is not None
        self.assertIs(unknown.reason, RefusalReason.NOT_FOUND)
        self.assertIsNone(await manager.retire(machine))
        self.assertIs(manager.is_retired(machine), False)
        await self.network.wait(lambda: bool(manager.is_retired(machine)), "empty")
        await self.assembly.wait_voters(*({*FOUNDERS, "d"} - {retiring}))
        self.assertIsNone(await manager.retire(machine), "a repeated order")

    async def test_machine_that_moved_is_not_told_empty_while_it_votes(self) -> None:
        """Guards against a disk that is taken away while it is needed.

        The instance at the machine's former address is no member; the one at
        its present address is.
        """
        former = NameMachine(InstanceId("d-before"), "machine-d")
        self.assertIsInstance(await self.leader.propose(former), Applied)
        lost = self._follower()
        await self.assembly.start("d")
        await self.assembly.stop(lost, lose_disk=True)
        await self.assembly.wait_voters(*({*FOUNDERS, "d"} - {lost}))
        manager = self.assembly.managers[self.leader.instance]
        self.assertIsNone(await manager.retire("machine-d"))
        await asyncio.sleep(3.0)
        self.assertIn("d", self.assembly.voters())
        self.assertIs(manager.is_retired("machine-d"), False)
        await self.assembly.start("e")
        await self.network.wait(lambda: bool(manager.is_retired("machine-d")), "empty")
        self.assertNotIn("d", self.assembly.voters())


class EmptyingTests(AssemblyTestCase):
    """Machines that are emptied and taken away while others are lost."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        self.leader = await self.network.leader()
        self.manager = self.assembly.managers[self.leader.instance]
        names = self.leader.machine.get(MachinesSlice).names_by_instance
        await self.assembly.start("d")
        await self.network.wait(lambda: len(names) == 4, "the machines' names")
        await self.assembly.stop("d", lose_disk=True)

    async def _empty_without_a_spare_machine(self, name: str) -> None:
        """Order a machine to be emptied, which waits for one in its place.

        The order is accepted since a fourth machine was heard of lately; that
        one is lost for good.
        """
        await asyncio.sleep(1.5)
        self.assertIsNone(await self.manager.retire(f"machine-{name}"))
        await self.network.wait(
            lambda: len(self.leader.member_statuses()) == 3, "the removal of d"
        )
        await asyncio.sleep(3.0)
        self.assertFalse(self._is_told_empty(name))

    async def _lose_the_leaders_disk(self) -> None:
        """Wipe the leader, and expect the others to go on."""
        wiped = str(self.leader.instance)
        await self.assembly.stop(wiped, lose_disk=True)
        await self.assembly.start(wiped)
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "after"), Applied)

    def _is_told_empty(self, name: str) -> bool:
        return any(
            self.assembly.managers[member.instance].is_retired(f"machine-{name}")
            for member in self.network.leaders
        )

    @parameterized.expand(
        [
            ("at_once", 0.2),
            ("after_1_second", 1.0),
            ("before_the_loss_is_known", 1.6),
            ("as_the_loss_is_known", 2.2),
            ("after_the_loss_is_known", 3.0),
        ]
    )
    async def test_lost_machine_does_not_count_as_one_that_remains(
        self, _: str, successor_after: float
    ) -> None:
        """Guards against a majority lost with the disk of one machine.

        A machine was emptied while another one was lost but not known to be:
        the successor of the lost one took the place of the emptied one, and
        two sound voters of three were left.
        """
        emptied, lost = (n for n in FOUNDERS if n != self.leader.instance)
        await self._empty_without_a_spare_machine(emptied)
        await self.assembly.stop(lost, lose_disk=True)
        await asyncio.sleep(successor_after)
        await self.assembly.start("e")
        await asyncio.sleep(CATCH_UP_SECONDS)
        if self._is_told_empty(emptied):
            await self.assembly.stop(emptied, lose_disk=True)
        await self._lose_the_leaders_disk()

    async def test_machine_that_waits_to_be_emptied_loses_its_disk(self) -> None:
        """Guards against a machine that is not admitted again while it counts.

        Its member on the lost disk stayed a voter, and the machine could not
        join with its empty disk: two sound voters of three were left.
        """
        emptied = next(n for n in FOUNDERS if n != self.leader.instance)
        await self._empty_without_a_spare_machine(emptied)
        await self.assembly.stop(emptied, lose_disk=True)
        await self.assembly.start(emptied)
        await asyncio.sleep(CATCH_UP_SECONDS)
        self.assertFalse(self._is_told_empty(emptied))
        await self._lose_the_leaders_disk()

    async def test_machine_that_is_gone_does_not_count_as_one_that_remains(
        self,
    ) -> None:
        """Guards against an order that waits for a machine that never comes.

        It took the next one, which had come in place of another machine.
        """
        await asyncio.sleep(GONE_SECONDS + 1.0)
        emptied = next(n for n in FOUNDERS if n != self.leader.instance)
        refusal = await self.manager.retire(f"machine-{emptied}")
        assert refusal is not None
        self.assertIs(refusal.reason, RefusalReason.CONFLICT)
        self.assertIsNone(self.manager.is_retired(f"machine-{emptied}"))

    async def test_lost_learner_does_not_take_the_place_of_an_emptied_machine(
        self,
    ) -> None:
        """Guards against a vote for a machine that was lost a moment ago."""
        emptied = next(n for n in FOUNDERS if n != self.leader.instance)
        await self.assembly.start("e")
        await self.network.wait(
            lambda: any(
                status.instance == "e" and self.leader.has_caught_up(status.id)
                for status in self.leader.member_statuses()
            ),
            "the learner",
        )
        await self.assembly.stop("e", lose_disk=True)
        await asyncio.sleep(1.0)
        self.assertIsNone(await self.manager.retire(f"machine-{emptied}"))
        await asyncio.sleep(3.0)
        self.assertFalse(self._is_told_empty(emptied))


class ReplacementTests(AssemblyTestCase):
    """A silent voter is replaced while its disk is still needed."""

    async def test_leader_loses_its_disk_during_a_replacement(self) -> None:
        """Guards against a replacement that needs each disk for a moment.

        A voter that had been cut off was removed before its successor voted.
        The leader lost its disk in between, and the one voter left could not
        go on, though the removed one came back whole.
        """
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        leader = await self.network.leader()
        await self.assembly.start("d")
        await self.network.wait(lambda: len(leader.member_statuses()) == 4, "d")
        cut = next(n for n in FOUNDERS if n != leader.instance)
        other = next(n for n in FOUNDERS if n not in (cut, leader.instance))
        self.network.isolate(cut)
        before = voters_of(leader)
        await self.network.wait(
            lambda: voters_of(self.network.running[other]) != before,
            "the first change that the other voter stores",
            0.001,
        )
        await self.assembly.stop(str(leader.instance), lose_disk=True)
        self.network.heal()
        await self.assembly.start(str(leader.instance))
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "after"), Applied)


class MachinesSliceTests(unittest.TestCase):
    """Snapshots of the machines.

    Guards against a retired machine that joins again, or is no longer told as
    retired, after a snapshot.
    """

    def test_snapshot_has_the_retired_machines(self) -> None:
        before, after = MachinesSlice(), MachinesSlice()
        for command in (
            NameMachine(InstanceId("d"), "machine-d"),
            RetireMachine("machine-d"),
            CompleteRetirement("machine-d"),
        ):
            envelope = Envelope(command, "a", CorrelationId(""), 0.0)
            before.apply(command, CommandContext(LogIndex(1), Term(1), envelope))
        after.load_snapshot(before.to_snapshot())
        self.assertEqual(after.retired_instances(), {"d"})
        self.assertEqual(after.retiring_instances(), {"d"})

    def test_snapshot_of_an_earlier_release(self) -> None:
        codec = Codec()
        codec.register(MachinesSnapshot)
        fields = {"names_by_instance": {"d": "machine-d"}, "retiring": ["machine-d"]}
        snapshot = codec.decode(cbor2.dumps(["MachinesSnapshot", fields]))
        machines = MachinesSlice()
        machines.load_snapshot(snapshot)
        self.assertEqual(machines.retiring_instances(), {"d"})
        self.assertEqual(machines.retired_instances(), frozenset())


class FakeLeader:
    """Leads three voters and a learner; they answer when a test says so."""

    is_leader = True

    def __init__(self) -> None:
        self.machine = self
        self.leadership_started_at = 0.0
        self.silent_seconds: dict[str, float] = dict.fromkeys("abcd", 0.0)
        self.replaced: list[MemberId] = []
        self.removed: list[MemberId] = []
        self.proposed: list[object] = []
        self.machines = MachinesSlice()

    def get(self, _: type[MachinesSlice]) -> MachinesSlice:
        return self.machines

    def holds_lease(self) -> bool:
        return True

    def log_facts(self) -> None:
        return None

    def add_membership_listener(self, listener: Callable[[], None]) -> None:
        """Do nothing: the tests wait for the periodic checks."""

    def newcomers(self) -> list[object]:
        return []

    def settled_instances(self) -> frozenset[InstanceId]:
        return frozenset(map(InstanceId, self.silent_seconds))

    async def remove(self, member_id: MemberId) -> Applied:
        self.removed.append(member_id)
        await asyncio.sleep(0.1)
        return Applied(LogIndex(1), Accepted())

    async def propose(self, command: object) -> Applied:
        self.proposed.append(command)
        return Applied(LogIndex(1), Accepted())

    def member_statuses(self) -> list[MemberStatus]:
        roles = {"a": Role.LEADER, "d": Role.LEARNER, "e": Role.LEARNER}
        return [
            MemberStatus(
                MemberId(f"{name}#1"),
                InstanceId(name),
                f"{name}:1",
                roles.get(name, Role.FOLLOWER),
                None,
                silent,
            )
            for name, silent in self.silent_seconds.items()
        ]

    def has_answered(self, member_id: MemberId) -> bool:
        return self.has_caught_up(member_id)

    def has_caught_up(self, member_id: MemberId) -> bool:
        return self.silent_seconds[member_id[0]] < 0.75

    async def replace(self, voter: MemberId, learner: MemberId) -> Applied:
        self.replaced.append(voter)
        await asyncio.sleep(0.1)
        return Applied(LogIndex(1), Accepted())


async def lead(manager: MembershipManager, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await manager.run()


class CompletionTests(PausedClockTestCase):
    """When a retirement is told as complete."""

    @parameterized.expand(
        [
            ("member_has_left", "e", 0.1, True),
            ("member_is_needed", "d", 0.1, False),
            ("one_voter_is_silent_for_a_moment", "e", 1.0, False),
        ]
    )
    async def test_completion(
        self, _: str, instance: str, silent_seconds: float, completes: bool
    ) -> None:
        """Guards against a disk that is taken away beside a lost voter.

        That the machine's member has left is not enough: a voter that has not
        just answered may be lost, and the machine is then needed again.
        """
        quiet_logs(self)
        leader = FakeLeader()
        leader.machines.names_by_instance[InstanceId(instance)] = "machine"
        leader.machines.retiring.add("machine")
        leader.silent_seconds["c"] = silent_seconds
        manager = MembershipManager(
            leader,  # type: ignore[arg-type]
            3,
            self.clock(),
        )
        manager._apply_change = AsyncMock(  # type: ignore[method-assign]
            return_value=NotProposed("no change is made")
        )
        await lead(manager, 1.0)
        expected = [CompleteRetirement("machine")] if completes else []
        self.assertEqual(leader.proposed[:1], expected)

    async def test_retired_machine_gets_no_vote(self) -> None:
        """Guards against a vote for a machine that is being taken away."""
        quiet_logs(self)
        leader = FakeLeader()
        leader.machines.names_by_instance[InstanceId("d")] = "machine"
        leader.machines.retiring.add("machine")
        leader.machines.retired.add("machine")
        leader.silent_seconds["c"] = float("inf")
        manager = MembershipManager(
            leader,  # type: ignore[arg-type]
            3,
            self.clock(),
        )
        await lead(manager, 5.0)
        self.assertEqual(leader.replaced, [])
        self.assertEqual(leader.removed[:1], [MemberId("d#1")])


class BusyLeader(FakeLeader):
    """Appends 2,000 entries a second; ``c`` lacks the latest ones."""

    def __init__(self, entries_lacked: float) -> None:
        super().__init__()
        self._entries_lacked = entries_lacked

    def member_statuses(self) -> list[MemberStatus]:
        last_index = 2_000 * asyncio.get_running_loop().time()
        lacked = {MemberId("c#1"): self._entries_lacked}
        return [
            replace(
                status,
                matched_index=LogIndex(int(last_index - lacked.get(status.id, 0.0))),
            )
            for status in super().member_statuses()
        ]

    def has_answered(self, member_id: MemberId) -> bool:
        return super().has_caught_up(member_id)

    def has_caught_up(self, member_id: MemberId) -> bool:
        return member_id != "c#1"


class BusyLeaderTests(PausedClockTestCase):
    """Voters that lack entries while a learner has them."""

    @parameterized.expand([("far_away", 400, 0), ("copies_the_log", 8_000, 1)])
    async def test_vote_of_a_member_that_lacks_entries(
        self, _: str, entries_lacked: int, replacements: int
    ) -> None:
        """Guards against votes that move to machines near the leader.

        A member on a long link lacks many entries all the time under load.
        """
        quiet_logs(self)
        leader = BusyLeader(entries_lacked)
        manager = MembershipManager(
            leader,  # type: ignore[arg-type]
            3,
            self.clock(),
        )
        await lead(manager, 5.0)
        self.assertEqual(leader.replaced[:1], [MemberId("c#1")] * replacements)


class SecondLeadershipTests(PausedClockTestCase):
    """A member leads again after another leader."""

    @parameterized.expand([("answers_late", 1.0, 0), ("lost", 10.0, 1)])
    async def test_silence_is_counted_from_the_leadership(
        self, _: str, silent_seconds: float, replacements: int
    ) -> None:
        """Guards against a sound voter that is replaced as lost.

        The new leader had not yet heard it, and counted its silence from the
        first time that it was seen, in an earlier leadership.
        """
        quiet_logs(self)
        leader = FakeLeader()
        manager = MembershipManager(
            leader,  # type: ignore[arg-type]
            3,
            self.clock(),
        )
        await lead(manager, 1.0)
        await asyncio.sleep(60.0)
        leader.leadership_started_at = self.clock().monotonic()
        leader.silent_seconds["c"] = float("inf")
        await lead(manager, silent_seconds)
        self.assertEqual(leader.replaced[:1], [MemberId("c#1")] * replacements)

    async def test_silence_of_a_new_member_is_counted_from_its_addition(self) -> None:
        """Guards against a learner that is removed before it can answer."""
        quiet_logs(self)
        leader = FakeLeader()
        manager = MembershipManager(
            leader,  # type: ignore[arg-type]
            3,
            self.clock(),
        )
        await lead(manager, 60.0)
        leader.silent_seconds["e"] = float("inf")
        await lead(manager, LOST_LEARNER_SECONDS)
        self.assertEqual(leader.removed, [])
        await lead(manager, 1.0)
        self.assertEqual(leader.removed[:1], [MemberId("e#1")])
