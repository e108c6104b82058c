"""Time-outs for the answers and event streams of targets.

A connection can stop delivering data without being closed, so every wait for
data from a target has a time-out.
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


async def open_reply_within(
    seconds: float,
    stack: AsyncExitStack,
    client: TargetClient,
    target: Target,
    call: TargetCall,
    seconds_left: float,
) -> TargetReply | AttemptFailure:
    """Send a call and return the target's reply.

    The result is ``Broken`` if no response head arrives within ``seconds``.
    The reply is closed when ``stack`` is closed.
    """
    try:
        async with asyncio.timeout(seconds):
            opening = client.open(target, call, seconds_left)
            return await stack.enter_async_context(opening)
    except TimeoutError:
        return Broken(f"no answer for {seconds} s")


async def next_event_within(
    seconds: float, events: AsyncIterator[StreamEvent | Broken]
) -> StreamEvent | Broken | None:
    """Return the next event, or None at the end of the stream.

    The result is ``Broken`` if no event arrives within ``seconds``.
    """
    try:
        async with asyncio.timeout(seconds):
            return await anext(events, None)
    except TimeoutError:
        return Broken(f"no event for {seconds} s")
