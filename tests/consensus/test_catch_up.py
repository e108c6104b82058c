"""Tests of members that catch up while the log grows.

They guard against a member that gets its vote long after it has joined: until
then a lost member is not replaced, and the next loss may leave no majority.
"""

import asyncio
import random
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, ProposalResult
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from tests.fakes.member_network import MemberNetwork, put_organisation
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

INSTANCES = ["a", "b", "c"]

PROPOSAL_INTERVAL_SECONDS = 0.1

REPAIR_SECONDS = 4.8
"""Time after a member's start from which another one may be lost."""


TIMING = Timing(0.1, 0.5, 0.62, 0.95, 0.05, 0.53)
"""Timing of the members of a self-assembling deployment."""


@dataclass(frozen=True)
class GrowingLog:
    """A log of entries of one size, to which tasks add more meanwhile."""

    name: str
    entries: int
    entry_bytes: int
    proposers: int
    latency: float = 0.025
    """Latency and throughput of a connection between two regions."""
    bytes_per_second: float = 5_000_000


class CatchUpTests(PausedClockTestCase):
    """A member with an empty disk that joins a cluster with a long log."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.network = MemberNetwork(
            INSTANCES,
            Clock(lambda: EPOCH + asyncio.get_running_loop().time()),
            timing=TIMING,
        )
        self.addAsyncCleanup(self.network.close)
        await self.network.start_all()
        self.leader = await self.network.leader()
        self._random = random.Random(29)

    async def _propose(self, size: int) -> ProposalResult:
        name = self._random.randbytes(size // 2).hex()
        return await put_organisation(self.leader, name)

    async def _propose_repeatedly(self, size: int) -> None:
        while True:
            await self._propose(size)
            await asyncio.sleep(PROPOSAL_INTERVAL_SECONDS)

    async def _wipe_a_follower(self) -> ControlMember:
        name = next(n for n in INSTANCES if n != self.leader.instance)
        await self.network.stop(name, lose_disk=True)
        return await self.network.start(name)

    @parameterized.expand(
        [
            (case.name, case)
            for case in [
                GrowingLog("few_proposals", 600, 7_000, 1),
                GrowingLog("many_proposals", 600, 7_000, 6),
                GrowingLog("long_log", 900, 7_000, 3),
                GrowingLog("busy_long_log", 1_500, 7_000, 6),
                GrowingLog("small_entries", 4_000, 200, 6),
                GrowingLog("same_region", 900, 7_000, 6, 0.001),
            ]
        ]
    )
    async def test_sends_the_log_once_and_in_time(
        self, _: str, case: GrowingLog
    ) -> None:
        """Guards against entries sent again for each rejected message."""
        for _count in range(case.entries // 100):
            await asyncio.gather(*(self._propose(case.entry_bytes) for _ in range(100)))
        self.network.latency_seconds = case.latency
        self.network.bytes_per_second = case.bytes_per_second
        for _proposer in range(case.proposers):
            proposing = asyncio.create_task(self._propose_repeatedly(case.entry_bytes))
            self.addCleanup(proposing.cancel)
        joined = await self._wipe_a_follower()
        self.network.bytes_by_receiver.clear()
        started_at = self.network.clock.monotonic()
        result = await self.leader.replace_member(
            joined.instance, InstanceId(joined.instance), f"{joined.instance}:1", 20.0
        )
        seconds = self.network.clock.monotonic() - started_at
        self.assertIsInstance(result, Applied)
        self.assertLess(seconds, REPAIR_SECONDS)
        log_bytes = sum(
            len(entry.payload) for entry in self.network.log_entries(self.leader)
        )
        sent = self.network.bytes_by_receiver[joined.instance]
        self.assertLess(sent / log_bytes, 1.1)
