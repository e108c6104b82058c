"""Reading the bodies of requests."""

from aiohttp import hdrs, web

from goldcrestyard.core.refusals import Refusal, RefusalReason


async def read_body(request: web.BaseRequest, most: int) -> bytes | Refusal:
    """Read a body whole, or say why it cannot be read."""
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # An interim answer is none: the library must still send a head.
        request.writer.output_size = 0
    too_large = Refusal(RefusalReason.BODY_TOO_LARGE, f"the body exceeds {most} bytes")
    if (request.content_length or 0) > most:
        return too_large
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > most:
                return too_large
    except (web.RequestPayloadError, ConnectionError) as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"the body broke off: {error}")
    return bytes(body)
