"""Runs tasks only while this member is the leader."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

import structlog

from goldcrestyard.kernel.waiting import wait_at_most

logger = structlog.get_logger(__name__)

LEASE_POLL_SECONDS = 0.1
"""Polling interval of the lease in seconds.  When a lease lapses and the same
leader renews it, no leadership change is signalled."""

RESTART_DELAY_SECONDS = 1.0


class Leadership(Protocol):
    """Leadership state of a member; implemented by ``ControlMember``."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads according to its own state."""
        ...

    def holds_lease(self) -> bool:
        """Return whether no other member can be the leader at this moment."""
        ...

    def wait_leadership_change(self) -> Awaitable[None]:
        """Wait until the leader, its term or its readiness changes."""
        ...


async def while_leading(
    member: Leadership, name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run ``work`` while this member leads; cancel it when it stops leading.

    Work that raises is logged and started again after a delay, so that a
    fault in one task does not end the others.
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
                "task of the leader failed; restarting it",
                work=name,
                exc_info=task.exception(),
            )
            await asyncio.sleep(RESTART_DELAY_SECONDS)
