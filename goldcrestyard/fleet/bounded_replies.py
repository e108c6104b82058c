"""Bounds on how long a target may be silent.

A connection can go silent for good without being closed, so every wait for a
target's stream has a bound.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

from goldcrestyard.core.attempts import AttemptFailure, Broken
from goldcrestyard.core.calls import (
    StreamEvent,
    TargetCall,
    TargetClient,
    TargetReply,
)
from goldcrestyard.core.records import Target


async def open_within(
    seconds: float,
    stack: AsyncExitStack,
    client: TargetClient,
    target: Target,
    call: TargetCall,
    seconds_left: float,
) -> TargetReply | AttemptFailure:
    """Send a call; ``Broken`` if no head has arrived after some seconds.

    The reply is left together with the stack.
    """
    try:
        async with asyncio.timeout(seconds):
            opening = client.open(target, call, seconds_left)
            return await stack.enter_async_context(opening)
    except TimeoutError:
        return Broken(f"no answer for {seconds} s")


async def next_within(
    seconds: float, events: AsyncIterator[StreamEvent | Broken]
) -> StreamEvent | Broken | None:
    """Return the next event, ``Broken`` after a time, None at the end."""
    try:
        async with asyncio.timeout(seconds):
            return await anext(events, None)
    except TimeoutError:
        return Broken(f"no event for {seconds} s")
