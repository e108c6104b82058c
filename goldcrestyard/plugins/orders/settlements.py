"""Batching of order outcomes, several to one log entry."""

import asyncio

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.plugins.orders.commands import Settlement, SettleOrders

MAX_SETTLEMENTS_PER_ENTRY = 256
PROPOSAL_RETRY_INTERVAL_SECONDS = 0.1


class SettlementBatcher:
    """Collects outcomes while a commit is in progress.

    Activating a version on 930 engines settles 930 orders within a few
    seconds; a log entry for each would need a disk sync for each.
    """

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._queue: asyncio.Queue[tuple[Settlement, asyncio.Future[None]]] = (
            asyncio.Queue()
        )

    async def settle(self, settlement: Settlement) -> None:
        """Queue an outcome and wait until it is committed."""
        settled: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((settlement, settled))
        await settled

    async def run(self) -> None:
        """Commit queued outcomes until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < MAX_SETTLEMENTS_PER_ENTRY:
                batch.append(self._queue.get_nowait())
            waiting = [pair for pair in batch if not pair[1].cancelled()]
            if not waiting:
                continue
            command = SettleOrders(tuple(settlement for settlement, _ in waiting))
            await self._commit(command)
            for _, settled in waiting:
                if not settled.done():
                    settled.set_result(None)

    async def _commit(self, command: SettleOrders) -> None:
        while True:
            result = await self._member.propose(command)
            if isinstance(result, Applied):
                return
            await asyncio.sleep(PROPOSAL_RETRY_INTERVAL_SECONDS)
