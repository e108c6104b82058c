"""Reading request bodies up to a size limit."""

from aiohttp import hdrs, web

from goldcrestyard.core.refusals import Refusal, RefusalReason


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes | Refusal:
    """Return the body, or a refusal if it is too large or truncated."""
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The interim response must not count as output, or the library would
        # not send the head of the final one.
        request.writer.output_size = 0
    too_large = Refusal(
        RefusalReason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )
    if (request.content_length or 0) > max_bytes:
        return too_large
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                return too_large
    except (web.RequestPayloadError, ConnectionError) as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"the body was truncated: {error}")
    return bytes(body)
