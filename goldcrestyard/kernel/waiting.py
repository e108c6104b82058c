"""Waiting for an awaitable with a time limit."""

import asyncio
from collections.abc import Awaitable


async def wait_at_most(seconds: float, awaited: Awaitable[object]) -> None:
    """Wait for an awaitable, and cancel it after ``seconds``.

    Returns None in either case, so it does not report a time-out.
    """
    try:
        async with asyncio.timeout(seconds):
            await awaited
    except TimeoutError:
        pass
