"""Tests of control members whose disks fail for a time, one after another.

They guard against a cluster that stops taking changes once every disk has
failed, although all accept writes again, and against a member that ends for
good because its disk was full for a moment.
"""

import asyncio
import errno
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from parameterized import parameterized

from tests.consensus.test_driver import NetworkTestCase
from tests.fakes.files import Fault
from tests.fakes.member_network import organisation_ids, put_organisation


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
