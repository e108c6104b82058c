"""Work that only the leader does."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

import structlog

from goldcrestyard.kernel.waiting import wait_at_most

logger = structlog.get_logger(__name__)

LEASE_POLL_SECONDS = 0.1
"""A lease that was lost for a moment comes back without a change of leader."""

FAILED_PAUSE_SECONDS = 1.0


class Leadership(Protocol):
    """What the work must know of the leadership; ``ControlMember`` has it."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it can know."""
        ...

    def holds_lease(self) -> bool:
        """Return whether no other member can lead at this moment."""
        ...

    def wait_leadership_change(self) -> Awaitable[None]:
        """Wait until the leader, the term or its readiness changes."""
        ...


async def while_leading(
    member: Leadership, name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run work whenever this member leads, and cancel it when it does not.

    Work that fails is started again after a pause, so that a fault in one
    duty does not end the others.
    """
    while True:
        if not member.holds_lease():
            await wait_at_most(LEASE_POLL_SECONDS, member.wait_leadership_change())
            continue
        task = asyncio.create_task(work(), name=name)
        try:
            while member.is_leader and not task.done():
                change = asyncio.ensure_future(
                    wait_at_most(LEASE_POLL_SECONDS, member.wait_leadership_change())
                )
                await asyncio.wait({task, change}, return_when=asyncio.FIRST_COMPLETED)
                change.cancel()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "work of the leader failed", work=name, exc_info=task.exception()
            )
            await asyncio.sleep(FAILED_PAUSE_SECONDS)
