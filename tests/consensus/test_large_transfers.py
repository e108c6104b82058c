"""Tests of transfers to a member that take longer than a time-out or interval.

They guard against a transfer that starts anew on each interruption: it ends
late or never, and until then a lost member is not replaced.
"""

import asyncio
import random
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.consensus.results import Applied
from goldcrestyard.kernel.clock import Clock
from tests.fakes.joining_members import REPAIR_SECONDS, JoiningMemberTestCase
from tests.fakes.member_network import MemberNetwork, put_organisation
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs


@dataclass(frozen=True)
class Transfer:
    """A log to be sent to a new member, while tasks add entries to it."""

    name: str
    entries: int
    entry_bytes: int
    bytes_per_second: float
    proposers: int = 0
    snapshot_entries: int = 10_000
    seconds: float = REPAIR_SECONDS
    """Time within which the new member must have its vote."""


MAX_LOG_BYTES = 128_000_000
"""Memory that control may use on an instance."""


class LargeTransferTests(JoiningMemberTestCase):
    """A member with an empty disk that joins over a slow link."""

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
        await self.start_members(case.snapshot_entries)
        await self.fill_log(case.entries, case.entry_bytes)
        # A member that lacks only a few entries gets its vote at once.
        await self.fill_log(100, 100)
        await self.network.wait_until_converged()
        self.network.latency_seconds = 0.025
        self.network.bytes_per_second = case.bytes_per_second
        self.keep_proposing(case.entry_bytes, case.proposers)
        result, seconds, sent = await self.replace_wiped_member()
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
