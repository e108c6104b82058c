"""A helper to wait for something with a time limit."""

import asyncio
from collections.abc import Awaitable


async def wait_at_most(seconds: float, awaited: Awaitable[object]) -> None:
    """Wait for an awaitable; cancel it and return after ``seconds``."""
    try:
        async with asyncio.timeout(seconds):
            await awaited
    except TimeoutError:
        pass
