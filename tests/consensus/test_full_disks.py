"""Tests of control members whose disks fail for a time, one after another.

They guard against a cluster that stops taking changes once every disk has
failed, although all accept writes again, and against a member that ends for
good because its disk was full for a moment.
"""

import asyncio
import errno
import random
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from parameterized import parameterized

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from tests.consensus.test_driver import NetworkTestCase
from tests.fakes.files import Fault
from tests.fakes.member_network import organisation_ids, put_organisation

ACKNOWLEDGEMENT_SECONDS = 5.0
"""Bound on the wait for an acknowledgement while all members run."""


class DelayedExecutor(Executor):
    """Runs work in the calling thread and delivers its result later."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Any:
        future: Future[Any] = Future()
        result = fn(*args, **kwargs)
        loop = asyncio.get_running_loop()
        loop.call_later(self._seconds, future.set_result, result)
        return future


class SnapshotDuringFailureTests(NetworkTestCase):
    """A disk that fails while a snapshot is encoded."""

    snapshot_entries = 5

    @parameterized.expand([("before", 0.1), ("after", 2.0), ("long_after", 5.0)])
    async def test_snapshot_of_a_resumed_member(self, _: str, seconds: float) -> None:
        """Guards against a snapshot of entries not yet known as committed.

        A resumed member learns only from the next leader which of its entries
        are committed, and its state machine has applied them already.
        """
        follower = self.followers[0]
        follower._snapshot_executor = DelayedExecutor(seconds)
        for number in range(8):
            await put_organisation(self.leader, f"o{number}")
        await self.network.wait_until_converged()
        files = self.network.files_by_instance[follower.instance]
        files.fault = Fault(len(files.operations) + 1, error=errno.ENOSPC, lasting=True)
        await put_organisation(self.leader, "meanwhile")
        await self.network.wait(lambda: follower.is_suspended, "the full disk")
        self.network.isolate(follower.instance)
        files.fault = None
        await self.settle(10.0)
        self.assertFalse(follower.is_suspended)
        self.network.heal()
        await self.network.wait_until_converged()
        self.assertIn("meanwhile", organisation_ids(follower))


class ResumptionTests(NetworkTestCase):
    """The time from which a repaired disk counts again."""

    @parameterized.expand([(1.0,), (2.0,), (4.0,), (6.0,), (10.0,), (15.0,)])
    async def test_member_is_back_within_a_second(self, seconds: float) -> None:
        """Guards against two members away at once, though one disk is full."""
        follower = self.followers[0]
        files = self.network.files_by_instance[follower.instance]
        files.capacity = files.used
        await put_organisation(self.leader, "meanwhile")
        await self.network.wait(lambda: follower.is_suspended, "the full disk")
        await asyncio.sleep(seconds)
        files.capacity = None
        await asyncio.sleep(1.0)
        self.assertFalse(follower.is_suspended)


class OwnUseTests(NetworkTestCase):
    """A disk that the member's own files fill."""

    snapshot_entries = 20

    async def test_snapshot_larger_than_the_room(self) -> None:
        """Guards against a partial snapshot that keeps the disk full.

        Without it the disk has room for the vote and for the log.
        """
        follower = self.followers[0]
        files = self.network.files_by_instance[follower.instance]
        for number in range(15):
            await put_organisation(self.leader, f"{number}-{'x' * 400}")
        await self.network.wait_until_converged()
        files.capacity = files.used + 5_000
        for number in range(15, 24):
            await put_organisation(self.leader, f"{number}-{'x' * 20}")
        await self.network.wait(lambda: follower.is_suspended, "the full disk")
        await self.settle(10.0)
        self.assertFalse(follower.is_suspended)
        await put_organisation(self.leader, "after")
        await self.network.wait_until_converged()


class DisksInTurnTests(NetworkTestCase):
    """Each disk fails at some operation for some seconds, one after another.

    Snapshots are due in between.
    """

    snapshot_entries = 7

    @parameterized.expand([(f"seed_{seed}", seed) for seed in range(4)])
    async def test_changes_go_on_after_the_last_disk(self, _: str, seed: int) -> None:
        rng = random.Random(seed)
        acknowledged: set[str] = set()

        async def propose_all() -> None:
            number = 0
            while True:
                number += 1
                name = f"o{number}"
                for leader in self.network.leaders[:1]:
                    if isinstance(await put_organisation(leader, name), Applied):
                        acknowledged.add(name)
                await asyncio.sleep(rng.uniform(0.0, 0.4))

        proposing = asyncio.create_task(propose_all())
        for _ in range(9):
            files = self.network.files_by_instance[self._choose(rng).instance]
            files.fault = Fault(
                len(files.operations) + rng.randrange(1, 9),
                error=errno.ENOSPC,
                lasting=True,
                only=rng.choice(
                    [(), ("append",), ("sync",), ("replace",), ("sync_folder",)]
                ),
            )
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            files.fault = None
            await asyncio.sleep(rng.uniform(0.0, 1.0))
        await self._assert_acknowledged(acknowledged)
        proposing.cancel()
        await self._assert_known_everywhere(acknowledged)

    async def test_all_disks_full_at_once(self) -> None:
        """The cluster goes on by itself once the disks have room."""
        for files in self.network.files_by_instance.values():
            files.capacity = files.used
        await put_organisation(self.leader, "refused")
        await self.settle(10.0)
        for files in self.network.files_by_instance.values():
            files.capacity = None
        acknowledged: set[str] = set()
        await self._assert_acknowledged(acknowledged)
        await self._assert_known_everywhere(acknowledged)

    def _choose(self, rng: random.Random) -> ControlMember:
        leaders = self.network.leaders
        if leaders and rng.random() < 0.5:
            return leaders[0]
        return rng.choice([*self.network.running.values()])

    async def _assert_acknowledged(self, acknowledged: set[str]) -> None:
        async with asyncio.timeout(ACKNOWLEDGEMENT_SECONDS):
            while "last" not in acknowledged:
                leader = await self.network.leader()
                if isinstance(await put_organisation(leader, "last"), Applied):
                    acknowledged.add("last")

    async def _assert_known_everywhere(self, acknowledged: set[str]) -> None:
        await self.network.wait_until_converged()
        for member in self.network.running.values():
            self.assertEqual(acknowledged - set(organisation_ids(member)), set())
