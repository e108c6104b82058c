"""Reading request bodies up to a size limit."""

import asyncio

from aiohttp import hdrs, web

from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.gateway.admission import RETRY_AFTER_SECONDS
from goldcrestyard.plugins.listeners.connections import lease_of

NO_ROOM = Refusal(
    RefusalReason.NO_ROOM,
    "no room for the body beside those of other requests",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)


async def read_body(
    request: web.BaseRequest, max_bytes: int, idle_seconds: float
) -> bytes | Refusal:
    """Return the body, or a refusal if it is too large or truncated.

    A body that finds no room is refused: at once if its length is known, else
    as soon as it has grown too large.  One of which nothing arrives for
    ``idle_seconds`` is refused too, since it keeps its room from others.
    """
    lease = lease_of(request)
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The interim response must not count as output, or the library would
        # not send the head of the final one.
        request.writer.output_size = 0
    too_large = Refusal(
        RefusalReason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )
    expected = request.content_length or 0
    if expected > max_bytes:
        return too_large
    if not lease.grow(expected):
        return NO_ROOM
    body = bytearray()
    try:
        while chunk := await _next_chunk(request, idle_seconds):
            body += chunk
            if len(body) > max_bytes:
                return too_large
            excess = len(body) - expected
            if excess > 0 and not lease.grow(min(excess, len(chunk))):
                return NO_ROOM
    except (web.RequestPayloadError, ConnectionError) as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"the body was truncated: {error}")
    except TimeoutError:
        return Refusal(
            RefusalReason.BAD_REQUEST, f"nothing of the body came for {idle_seconds} s"
        )
    return bytes(body)


async def _next_chunk(request: web.BaseRequest, idle_seconds: float) -> bytes:
    """Return the next part of the body; empty at its end."""
    async with asyncio.timeout(idle_seconds):
        while not (chunk := await request.content.readany()):
            if request.content.at_eof():
                return b""
    return chunk
