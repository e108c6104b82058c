"""A helper to wait for something with a time limit."""

import asyncio
from collections.abc import Awaitable


async def wait_at_most(seconds: float, awaited: Awaitable[object]) -> None:
    """Wait for an awaitable, and cancel it after ``seconds``.

    Returns in either case, without telling which.
    """
    try:
        async with asyncio.timeout(seconds):
            await awaited
    except TimeoutError:
        pass
