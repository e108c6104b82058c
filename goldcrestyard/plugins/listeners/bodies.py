"""Reading and checking JSON request bodies."""

from typing import TypeVar

import msgspec
from aiohttp import web

from goldcrestyard.core.refusals import Refusal, RefusalReason

T = TypeVar("T")


async def read_json(request: web.Request, expected: type[T]) -> T | Refusal:
    """Read a body as JSON of an expected type, or say what is wrong."""
    body = await request.read()
    try:
        return msgspec.json.decode(body, type=expected)
    except msgspec.ValidationError as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"unexpected body: {error}")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"body is not valid JSON: {error}")


def json_answer(data: object, status: int = 200) -> web.Response:
    """Return an HTTP answer with a JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(data),
        content_type="application/json",
    )
