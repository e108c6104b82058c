"""Tests of the bounds on the proposals and the log that a member keeps."""

import asyncio
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.consensus.results import Applied, NotProposed
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.policy.memory import ControlShares
from tests.fakes.joining_members import JoiningMemberTestCase

SHARES = ControlShares(
    jobs=10_000_000,
    large_jobs=10_000_000,
    log=400_000,
    proposals=200_000,
    bodies=0,
    texts=0,
)
ENTRY_BYTES = 10_000
IN_FLIGHT_BYTES = 2 * SHARES.proposals
"""Entries that are appended while a snapshot is encoded and stored."""


@dataclass(frozen=True)
class LaggingMember:
    """A member that lacks entries, by the throughput of its links."""

    name: str
    bytes_per_second: float = float("inf")
    wiped: bool = False
    """Whether it receives a snapshot instead of entries."""


class LogRoomTests(JoiningMemberTestCase):
    """The log of a leader while another member is behind."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                LaggingMember("unreachable"),
                LaggingMember("slow_snapshot", 300_000, wiped=True),
                LaggingMember("very_slow_snapshot", 150_000, wiped=True),
            )
        ]
    )
    async def test_kept_entries_fit_their_share(
        self, _: str, case: LaggingMember
    ) -> None:
        """Guards against entries that are kept without end."""
        await self.start_members(shares=SHARES)
        await self._propose_in_turn(200)
        lagging = next(n for n in self.network.names if n != self.leader.instance)
        self.network.throughput_by_receiver[lagging] = case.bytes_per_second
        if case.wiped:
            joining = asyncio.create_task(self.replace_wiped_member())
            self.addCleanup(joining.cancel)
            await self.network.wait(self._sends_snapshot, "a snapshot's transfer")
        else:
            self.network.isolate(lagging)
        largest = await self._propose_in_turn(600)
        self.assertLess(largest, 2 * SHARES.log + IN_FLIGHT_BYTES)

    async def _propose_in_turn(self, count: int) -> int:
        """Commit entries; return the largest size of the leader's log."""
        largest = 0
        for _ in range(count):
            self.assertIsInstance(await self.propose(ENTRY_BYTES), Applied)
            entries = self.network.log_entries(self.leader)
            largest = max(largest, sum(len(entry.payload) for entry in entries))
        return largest

    def _sends_snapshot(self) -> bool:
        core = self.leader._core
        assert core is not None
        return any(progress.transfer for progress in core.progress_by_id.values())


class ProposalRoomTests(JoiningMemberTestCase):
    """Proposals that wait for a quorum."""

    async def test_proposals_beyond_their_share_are_refused_at_once(self) -> None:
        """Guards against proposals that fill the memory while none commits."""
        await self.start_members(shares=SHARES)
        for name in self.network.names:
            if name != self.leader.instance:
                self.network.isolate(name)
        fitting = SHARES.proposals // (ENTRY_BYTES + 200)
        waiting = [
            asyncio.create_task(self.propose(ENTRY_BYTES)) for _ in range(2 * fitting)
        ]
        await asyncio.sleep(0)
        refused = [task.result() for task in waiting if task.done()]
        self.assertGreaterEqual(len(refused), fitting - 1)
        for result in refused:
            assert isinstance(result, NotProposed)
            self.assertEqual(result.reason, RefusalReason.NO_ROOM)
        self.network.heal()
        accepted = [task for task in waiting if not task.done()]
        self.assertTrue(all(await asyncio.gather(*accepted)))
        leader = self.leader = await self.network.leader()
        self.assertIsInstance(await self.propose(ENTRY_BYTES), Applied)
        self.assertEqual(leader._proposals.held_bytes, 0)
