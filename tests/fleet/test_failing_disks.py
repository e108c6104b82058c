"""Tests of a cluster whose machines' disks fail in turn (paused clock).

They guard against changes that are refused for good after the last disk has
room again, and against a machine that stays out of the cluster although its
process runs.
"""

import asyncio
import errno
import random

import structlog
from parameterized import parameterized

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.leader_watch import LeaderWatch
from goldcrestyard.consensus.results import Applied
from tests.fakes.files import Fault, MemoryFiles
from tests.fakes.hanging_executor import HangingExecutor
from tests.fakes.member_network import organisation_ids, put_organisation
from tests.fleet.test_assembly import FOUNDERS, AssemblyTestCase

ACKNOWLEDGEMENT_SECONDS = 5.0
"""Bound on the wait for an acknowledgement while all members run."""

FAILED = "disk write failed, control member suspended"
RESUMED = "disk accepts writes again, control member resumed"
HANGS = "disk does not answer, control member cannot vote"
ENDED = "disk operation ended, control member can vote again"


class FailingDisksTestCase(AssemblyTestCase):
    """Starts the founders and has helpers for their disks."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.executors: dict[str, HangingExecutor] = {}

    async def start(self, name: str, *, first_start: bool = False) -> ControlMember:
        member = await self.assembly.start(name, first_start=first_start)
        member._disk_executor = self.executors[name] = HangingExecutor()
        return member

    async def start_founders(self) -> ControlMember:
        for name in FOUNDERS:
            await self.start(name, first_start=True)
        return await self.network.leader()

    def files(self, name: str) -> MemoryFiles:
        return self.network.files_by_instance[name]

    def fill(self, name: str) -> None:
        """Leave no room on a disk."""
        self.files(name).capacity = self.files(name).used

    def repair(self, name: str) -> None:
        """Let a disk work again."""
        self.files(name).capacity = None
        self.files(name).fault = None
        self.executors[name].release()

    def members(self) -> set[str]:
        """Return the members that the leader knows, voters or not."""
        leaders = self.network.leaders
        return {s.instance for m in leaders[:1] for s in m.member_statuses()}

    async def wait_members(self, *names: str) -> None:
        await self.network.wait(lambda: self.members() == set(names), f"{names}")


class RejoiningTests(FailingDisksTestCase):
    """Machines that were removed while they were away."""

    @parameterized.expand([("cut_off",), ("full",), ("hangs",)])
    async def test_removed_learner_joins_again(self, how: str) -> None:
        """Guards against a learner that keeps a leader it has lost.

        It learns of its removal from nobody.
        """
        await self.start_founders()
        learner = await self.start("d")
        await self.wait_members(*FOUNDERS, "d")
        await self.network.wait(lambda: learner.is_member, "the configuration")
        match how:
            case "cut_off":
                self.network.isolate("d")
            case "full":
                self.fill("d")
            case _:
                self.executors["d"].hang()
        leader = await self.network.leader()
        await put_organisation(leader, "meanwhile")
        await self.wait_members(*FOUNDERS)
        self.network.heal()
        self.repair("d")
        await self.wait_members(*FOUNDERS, "d")
        await self.network.wait_until_converged()


class StartTests(FailingDisksTestCase):
    """Disks that are full when a process starts or joins."""

    @parameterized.expand([("a",), ("c",)])
    async def test_founder_on_a_full_disk(self, name: str) -> None:
        """Guards against a process that ends because its new disk is full."""
        files = self.network.files_by_instance[name] = MemoryFiles()
        files.capacity = 0
        for founder in FOUNDERS:
            await self.start(founder, first_start=True)
        await asyncio.sleep(5.0)
        (leader,) = self.network.leaders
        self.assertNotEqual(leader.instance, name)
        self.repair(name)
        await self.assembly.wait_voters(*FOUNDERS)
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "first"), Applied)
        await self.network.wait_until_converged()

    async def test_restart_on_a_full_disk(self) -> None:
        """Guards against a member that needs room to load its state."""
        leader = await self.start_founders()
        await put_organisation(leader, "first")
        name = next(n for n in FOUNDERS if n != leader.instance)
        await self.assembly.stop(name)
        self.fill(name)
        await self.start(name)
        await put_organisation(leader, "second")
        await asyncio.sleep(2.0)
        self.repair(name)
        await self.network.wait_until_converged()
        self.assertEqual(organisation_ids(leader), ("first", "second"))

    @parameterized.expand([(0,), (50,), (100,), (150,), (200,), (400,)])
    async def test_disk_full_while_joining(self, room: int) -> None:
        """Guards against a machine that is full before it is a member."""
        await self.start_founders()
        files = self.network.files_by_instance["d"] = MemoryFiles()
        files.capacity = room
        await self.start("d")
        await asyncio.sleep(4.0)
        self.repair("d")
        await self.wait_members(*FOUNDERS, "d")
        leader = await self.network.leader()
        self.assertIsInstance(await put_organisation(leader, "first"), Applied)
        await self.network.wait_until_converged()


class DisksInTurnTests(FailingDisksTestCase):
    """Each disk fails for some seconds, never two at once."""

    @parameterized.expand(
        [(f"{n}_spare_seed_{seed}", n, seed) for n in range(3) for seed in range(2)]
    )
    async def test_changes_go_on_after_the_last_disk(
        self, _: str, spares: int, seed: int
    ) -> None:
        rng = random.Random(seed)
        names = [*FOUNDERS, *"de"[:spares]]
        await self.start_founders()
        for name in names[3:]:
            await self.start(name)
        await self.wait_members(*names)
        acknowledged: set[str] = set()

        async def propose_all() -> None:
            number = 0
            while True:
                number += 1
                for leader in self.network.leaders[:1]:
                    name = f"o{number}"
                    result = await put_organisation(leader, name)
                    if isinstance(result, Applied):
                        acknowledged.add(name)
                await asyncio.sleep(rng.uniform(0.0, 0.4))

        proposing = asyncio.create_task(propose_all())
        for _ in range(10):
            leaders = self.network.leaders
            if leaders and rng.random() < 0.5:
                name = str(leaders[0].instance)
            else:
                name = rng.choice(names)
            self._fail(name, rng)
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            self.repair(name)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
        async with asyncio.timeout(ACKNOWLEDGEMENT_SECONDS):
            while "last" not in acknowledged:
                leader = await self.network.leader()
                if isinstance(await put_organisation(leader, "last"), Applied):
                    acknowledged.add("last")
        proposing.cancel()
        await self.wait_members(*names)
        await self.network.wait(lambda: len(self.assembly.voters()) == 3, "voters")
        await self.network.wait_until_converged()
        for name in names:
            known = set(organisation_ids(self.network.running[name]))
            self.assertEqual(acknowledged - known, set())

    def _fail(self, name: str, rng: random.Random) -> None:
        files = self.files(name)
        match rng.choice(["full", "fails", "hangs"]):
            case "full":
                files.capacity = files.used + rng.choice([0, 10, 100, 1000])
            case "fails":
                start = len(files.operations) + rng.randrange(1, 9)
                files.fault = Fault(start, error=errno.EIO, lasting=True)
            case _:
                self.executors[name].hang()


class OutageLinesTests(FailingDisksTestCase):
    """Disks that keep a member from voting while its process answers.

    Guards against a cluster without a majority of which no log tells that a
    disk fails or hangs.
    """

    @parameterized.expand(
        [
            ("full", FAILED, "suspended_seconds", RESUMED),
            ("hangs", HANGS, "waited_seconds", ENDED),
        ]
    )
    async def test_outage_is_logged_and_counted(
        self, how: str, event: str, field: str, end: str
    ) -> None:
        leader = await self.start_founders()
        name = next(n for n in FOUNDERS if n != leader.instance)
        member = self.network.running[name]
        structlog.reset_defaults()
        lines = self.enterContext(structlog.testing.capture_logs())
        watching = asyncio.create_task(LeaderWatch(member, self.network.clock).run())
        self.addCleanup(watching.cancel)
        if how == "full":
            self.fill(name)
        else:
            self.executors[name].hang()
        await put_organisation(leader, "first")
        await asyncio.sleep(70.0)
        self.assertEqual(1, member.disk_outages.count)
        self.assertAlmostEqual(70.0, member.disk_outages.seconds, delta=1.0)
        self.repair(name)
        await asyncio.sleep(2.0)
        self.assertEqual(0.0, member.disk_outages.seconds)
        logged = [line for line in lines if line["event"] in (event, end)]
        self.assertEqual([event] * 3 + [end], [line["event"] for line in logged])
        self.assertEqual([field] * 4, [next(iter(line)) for line in logged])
        for line, seconds in zip(logged, (0.0, 30.0, 60.0, 70.0), strict=True):
            self.assertAlmostEqual(seconds, line[field], delta=3.0)
