"""Tasks that wait for a place, in an order that they give."""

import asyncio
import heapq
import itertools

from goldcrestyard.kernel.waiting import wait_at_most

Order = tuple[float, ...]
"""Tasks with a lower order come first."""


class WaitingLine:
    """Wakes one waiting task for each place that becomes free."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._heap: list[tuple[Order, int, asyncio.Event]] = []

    async def wait(self, order: Order, timeout_seconds: float) -> None:
        """Wait until this task is woken, or for a bounded time."""
        woken = asyncio.Event()
        entry = (order, next(self._numbers), woken)
        heapq.heappush(self._heap, entry)
        try:
            await wait_at_most(timeout_seconds, woken.wait())
        finally:
            # One that is no longer waiting is passed over when its turn comes.
            woken.set()

    def wake_first(self) -> None:
        """Wake the task with the lowest order, if one waits."""
        while self._heap:
            _, _, woken = heapq.heappop(self._heap)
            if not woken.is_set():
                woken.set()
                return
