"""Waiting with a bound on the time."""

import asyncio
from collections.abc import Awaitable


async def wait_at_most(seconds: float, awaited: Awaitable[object]) -> None:
    """Wait for something, but not longer than a time; it is then cancelled."""
    try:
        async with asyncio.timeout(seconds):
            await awaited
    except TimeoutError:
        pass
