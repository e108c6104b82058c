"""Tests of transfers to a member that take longer than a time-out or interval.

They guard against a transfer that starts anew on each interruption: it ends
late or never, and until then a lost member is not replaced.
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

TIMING = Timing(0.1, 0.5, 0.62, 0.95, 0.05, 0.53)
"""Timing of the members of a self-assembling deployment."""

PROPOSAL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True)
class Transfer:
    """A log to be sent to a new member, while tasks add entries to it."""

    name: str
    entries: int
    entry_bytes: int
    bytes_per_second: float
    proposers: int = 0
    snapshot_entries: int = 10_000
    seconds: float = 4.8
    """Time within which the new member must have its vote."""


MAX_LOG_BYTES = 128_000_000
"""Memory that control may use on an instance."""


class LargeTransferTests(PausedClockTestCase):
    """A member with an empty disk that joins over a slow link."""

    async def _start(self, snapshot_entries: int) -> None:
        quiet_logs(self)
        self.network = MemberNetwork(
            INSTANCES,
            Clock(lambda: EPOCH + asyncio.get_running_loop().time()),
            timing=TIMING,
            snapshot_entries=snapshot_entries,
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
                Transfer("snapshot", 600, 7_000, 2_000_000, 1, 500),
                Transfer("large_batches", 600, 7_000, 1_500_000, 6),
                Transfer("snapshots_meanwhile", 600, 7_000, 2_000_000, 6, 100),
                Transfer("large_entry", 1, 8_000_000, 5_000_000),
            ]
        ]
    )
    async def test_ends_in_time(self, _: str, case: Transfer) -> None:
        """Guards against chunks, entries or batches that are sent for ever."""
        await self._start(case.snapshot_entries)
        at_once = min(case.entries, 100)
        for _count in range(case.entries // at_once):
            await asyncio.gather(
                *(self._propose(case.entry_bytes) for _ in range(at_once))
            )
        # A member that lacks only a few entries gets its vote at once.
        await asyncio.gather(*(self._propose(100) for _ in range(100)))
        await self.network.wait_until_converged()
        self.network.latency_seconds = 0.025
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
        sent = self.network.bytes_by_receiver[joined.instance]
        self.assertIsInstance(result, Applied, f"{sent} bytes in {seconds:.1f} s")
        self.assertLess(seconds, case.seconds, f"{sent} bytes")


class LogSizeTests(PausedClockTestCase):
    """A log whose entries are few and large."""

    async def test_snapshot_is_taken_before_the_log_fills_the_memory(self) -> None:
        """Guards against a log that is kept whole because its entries are few.

        A new member is sent all of it.
        """
        quiet_logs(self)
        network = MemberNetwork(
            ["a"], Clock(lambda: EPOCH + asyncio.get_running_loop().time())
        )
        self.addAsyncCleanup(network.close)
        await network.start_all()
        leader = await network.leader()
        source = random.Random(29)
        for _count in range(1_300):
            await put_organisation(leader, source.randbytes(50_000).hex())
        kept = sum(len(entry.payload) for entry in network.log_entries(leader))
        self.assertLess(kept, MAX_LOG_BYTES)
