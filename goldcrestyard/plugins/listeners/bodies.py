"""Reads and validates request bodies within limits."""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from aiohttp import hdrs, web

from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.kernel.byte_room import ArrivingBody
from goldcrestyard.plugins.listeners.connections import lease_of
from goldcrestyard.policy.arrivals import Arrival
from goldcrestyard.policy.memory import decoded_bytes

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits on the size of a request body and the time to receive it."""

    max_bytes: int
    seconds: float


IDENTITY = "identity"
"""Name of the content encoding of a body that is not encoded."""

COMPRESSED = Refusal(
    RefusalReason.BAD_REQUEST, "a body with a content-encoding is not accepted"
)

BODY_LIMITS = web.AppKey("body_limits", BodyLimits)


RETRY_AFTER_SECONDS = 0.3
"""Advice to a caller whose body found no room."""

NO_ROOM = Refusal(
    RefusalReason.NO_ROOM,
    "no room for the body beside those of other requests",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)

TOO_SLOW = Refusal(
    RefusalReason.NO_ROOM,
    "the body arrived too slowly while others found no room",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)


async def receive_body(
    request: web.BaseRequest, max_bytes: int, idle_seconds: float
) -> bytes | Refusal:
    """Return the body, or a refusal if it is too large or truncated.

    A body that finds no room is refused: at once if its length is known, else
    as soon as it has grown too large.  One that arrives slowly is refused once
    others find no room, and one of which nothing arrives for ``idle_seconds``
    in any case.
    """
    expected = request.content_length or 0
    if expected > max_bytes:
        return _too_large(max_bytes)
    lease = lease_of(request)
    if not lease.grow(expected):
        return NO_ROOM
    loop = asyncio.get_running_loop()
    arrival = Arrival(loop.time(), expected)
    is_ended = False
    body = bytearray()
    try:
        async with asyncio.timeout(idle_seconds) as idle:

            def end() -> None:
                nonlocal is_ended
                is_ended = True
                if not idle.expired():
                    idle.reschedule(loop.time())

            with lease.arriving(ArrivingBody(arrival, end)):
                while chunk := await _next_chunk(request):
                    if is_ended:
                        return TOO_SLOW
                    body += chunk
                    if len(body) > max_bytes:
                        return _too_large(max_bytes)
                    arrival.add(loop.time(), len(chunk))
                    excess = len(body) - expected
                    if excess > 0 and not lease.grow(min(excess, len(chunk))):
                        return NO_ROOM
                    idle.reschedule(loop.time() + idle_seconds)
    except (web.RequestPayloadError, ConnectionError) as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"the body is incomplete: {error}")
    except TimeoutError:
        if is_ended:
            return TOO_SLOW
        return Refusal(
            RefusalReason.BAD_REQUEST, f"nothing of the body came for {idle_seconds} s"
        )
    return TOO_SLOW if is_ended else bytes(body)


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(RefusalReason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes")


async def _next_chunk(request: web.BaseRequest) -> bytes:
    """Return the next part of the body; empty at its end."""
    while not (chunk := await request.content.readany()):
        if request.content.at_eof():
            return b""
    return chunk


async def read_body(request: web.Request) -> bytes | Refusal:
    """Return a request's body, or a refusal if it cannot be read.

    A request is not executed before its body is complete, so the verdict
    "not run" of these refusals is always correct.
    """
    limits = request.app[BODY_LIMITS]
    if request.headers.get(hdrs.CONTENT_ENCODING, IDENTITY).lower() != IDENTITY:
        return COMPRESSED
    try:
        async with asyncio.timeout(limits.seconds):
            return await receive_body(request, limits.max_bytes, limits.seconds)
    except TimeoutError:
        return Refusal(
            RefusalReason.BAD_REQUEST,
            f"the body did not arrive within {limits.seconds} s",
        )


async def read_json(request: web.Request, expected: type[T]) -> T | Refusal:
    """Decode a JSON body into a type, or return a refusal."""
    body = await read_body(request)
    if isinstance(body, Refusal):
        return body
    if not lease_of(request).grow(decoded_bytes(body)):
        return NO_ROOM
    decoded = decode_json(body, expected)
    if isinstance(decoded, Malformed):
        return Refusal(
            RefusalReason.BAD_REQUEST, f"body cannot be decoded: {decoded.detail}"
        )
    return decoded


def json_answer(data: object, status: int = 200) -> web.Response:
    """Return an HTTP response with a JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(data),
        content_type="application/json",
    )
