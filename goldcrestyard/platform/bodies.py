"""Reading request bodies up to a size limit."""

from aiohttp import hdrs, web

from goldcrestyard.core.refusals import Refusal
from goldcrestyard.plugins.listeners.bodies import receive_body


async def read_body(
    request: web.BaseRequest, max_bytes: int, idle_seconds: float
) -> bytes | Refusal:
    """Return the body as ``receive_body`` does, after asking for it."""
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The interim response must not count as output, or the library would
        # not send the head of the final one.
        request.writer.output_size = 0
    return await receive_body(request, max_bytes, idle_seconds)
