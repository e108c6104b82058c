"""Commits the outcomes of orders, several in one log entry."""

import asyncio

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.plugins.orders.commands import Settlement, SettleOrders

MAX_SETTLEMENTS = 256
RETRY_SECONDS = 0.1


class Settler:
    """Collects outcomes while a commit is under way.

    An activation on 930 engines settles as many orders in a few seconds; one
    log entry for each would be as many syncs of the disk.
    """

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._queue: asyncio.Queue[tuple[Settlement, asyncio.Future[None]]] = (
            asyncio.Queue()
        )

    async def settle(self, settlement: Settlement) -> None:
        """Return when an outcome is committed."""
        settled: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((settlement, settled))
        await settled

    async def run(self) -> None:
        """Commit what is queued until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < MAX_SETTLEMENTS:
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
            await asyncio.sleep(RETRY_SECONDS)
