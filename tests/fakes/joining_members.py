"""Test case for a member with an empty disk that joins while the log grows."""

import asyncio
import random
from typing import Any

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import ProposalResult
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from tests.fakes.member_network import MemberNetwork, put_organisation
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

INSTANCES = ["a", "b", "c"]

TIMING = Timing(0.1, 0.5, 0.62, 0.95, 0.05, 0.53)
"""Timing of the members of a self-assembling deployment."""

PROPOSAL_INTERVAL_SECONDS = 0.1

REPAIR_SECONDS = 4.8
"""Time after a member's start from which another one may be lost."""


class JoiningMemberTestCase(PausedClockTestCase):
    """Three members, one of which loses its disk and is replaced."""

    async def start_members(
        self, snapshot_entries: int = 10_000, **options: Any
    ) -> None:
        quiet_logs(self)
        self.network = MemberNetwork(
            INSTANCES,
            Clock(lambda: EPOCH + asyncio.get_running_loop().time()),
            timing=TIMING,
            snapshot_entries=snapshot_entries,
            **options,
        )
        self.addAsyncCleanup(self.network.close)
        await self.network.start_all()
        self.leader = await self.network.leader()
        self._random = random.Random(29)

    async def propose(self, size: int) -> ProposalResult:
        name = self._random.randbytes(size // 2).hex()
        return await put_organisation(self.leader, name)

    async def fill_log(self, entries: int, size: int) -> None:
        """Append entries of a size in bytes."""
        at_once = min(entries, 100)
        for _ in range(entries // at_once):
            await asyncio.gather(*(self.propose(size) for _ in range(at_once)))

    def keep_proposing(self, size: int, tasks: int) -> None:
        """Start tasks that propose entries until the test ends."""

        async def run() -> None:
            while True:
                await self.propose(size)
                await asyncio.sleep(PROPOSAL_INTERVAL_SECONDS)

        for _ in range(tasks):
            self.addCleanup(asyncio.create_task(run()).cancel)

    async def replace_wiped_member(self) -> tuple[ProposalResult, float, int]:
        """Wipe a follower and replace it, within 20 s at most.

        Return the result, the time in seconds from the member's start to its
        vote, and the number of bytes that it was sent.
        """
        name = next(n for n in INSTANCES if n != self.leader.instance)
        await self.network.stop(name, lose_disk=True)
        joined: ControlMember = await self.network.start(name)
        self.network.bytes_by_receiver.clear()
        started_at = self.network.clock.monotonic()
        result = await self.leader.replace_member(
            joined.instance, InstanceId(name), f"{name}:1", 20.0
        )
        seconds = self.network.clock.monotonic() - started_at
        return result, seconds, self.network.bytes_by_receiver[name]
