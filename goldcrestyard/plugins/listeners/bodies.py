"""Reads and validates request bodies within limits."""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from aiohttp import web

from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.core.refusals import Refusal, RefusalReason

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits on the size of a request body and the time to receive it."""

    max_bytes: int
    seconds: float


BODY_LIMITS = web.AppKey("body_limits", BodyLimits)


async def read_body(request: web.Request) -> bytes | Refusal:
    """Return a request's body, or a refusal if it cannot be read.

    A request is not executed before its body is complete, so the verdict
    "not run" of these refusals is always correct.
    """
    limits = request.app[BODY_LIMITS]
    too_large = Refusal(
        RefusalReason.BODY_TOO_LARGE, f"the body exceeds {limits.max_bytes} bytes"
    )
    if (request.content_length or 0) > limits.max_bytes:
        return too_large
    try:
        async with asyncio.timeout(limits.seconds):
            return await request.read()
    except TimeoutError:
        return Refusal(
            RefusalReason.BAD_REQUEST,
            f"the body did not arrive within {limits.seconds} s",
        )
    except web.HTTPRequestEntityTooLarge:
        return too_large
    except (web.RequestPayloadError, ConnectionError) as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"the body is incomplete: {error}")


async def read_json(request: web.Request, expected: type[T]) -> T | Refusal:
    """Decode a JSON body into a type, or return a refusal."""
    body = await read_body(request)
    if isinstance(body, Refusal):
        return body
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
