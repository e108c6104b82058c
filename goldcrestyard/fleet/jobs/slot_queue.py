"""Queue of tasks that wait for a free slot, served by rank."""

import asyncio
import heapq
import itertools

from goldcrestyard.kernel.waiting import wait_at_most

Rank = tuple[float, ...]
"""Sort key of a waiting task.  The task with the lowest rank is woken first;
tasks of equal rank are woken in order of arrival."""


class SlotWaitQueue:
    """Wakes one waiting task for each slot that is released."""

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._heap: list[tuple[Rank, int, asyncio.Event]] = []

    async def wait(self, rank: Rank, timeout_seconds: float) -> None:
        """Wait until ``wake_first`` wakes this task or the wait times out."""
        wake_event = asyncio.Event()
        entry = (rank, next(self._sequence), wake_event)
        heapq.heappush(self._heap, entry)
        try:
            await wait_at_most(timeout_seconds, wake_event.wait())
        finally:
            # Lets ``wake_first`` skip this task if its wait has timed out.
            wake_event.set()

    def wake_first(self) -> None:
        """Wake the waiting task with the lowest rank, if there is one."""
        while self._heap:
            _, _, wake_event = heapq.heappop(self._heap)
            if not wake_event.is_set():
                wake_event.set()
                return
