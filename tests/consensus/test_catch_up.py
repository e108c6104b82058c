"""Tests of members that catch up while the log grows.

They guard against a member that gets its vote long after it has joined: until
then a lost member is not replaced, and the next loss may leave no majority.
"""

import zlib
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.consensus.compression import COMPRESSION_LEVEL
from goldcrestyard.consensus.results import Applied
from tests.fakes.joining_members import REPAIR_SECONDS, JoiningMemberTestCase


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


class CatchUpTests(JoiningMemberTestCase):
    """A member with an empty disk that joins a cluster with a long log."""

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
        await self.start_members()
        await self.fill_log(case.entries, case.entry_bytes)
        self.network.latency_seconds = case.latency
        self.network.bytes_per_second = case.bytes_per_second
        self.keep_proposing(case.entry_bytes, case.proposers)
        result, seconds, sent = await self.replace_wiped_member()
        self.assertIsInstance(result, Applied)
        self.assertLess(seconds, REPAIR_SECONDS)
        log = b"".join(e.payload for e in self.network.log_entries(self.leader))
        log_bytes = len(zlib.compress(log, COMPRESSION_LEVEL))
        self.assertLess(sent / log_bytes, 1.25)
