"""What all HTTP clients of the product share: bounds, and no silent retries.

A server in trouble may send bytes without end that are no answer: interim
responses, extensions and headers of chunks, or a body that never ends.  They
cost memory and processor time until the deadline of the request, so each kind
has a bound of its own.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from goldcrestyard.core.attempts import describe_error
from goldcrestyard.kernel.byte_room import ByteLease
from goldcrestyard.policy.target_statuses import AnswerKind, kind_of_answer

MAX_OVERHEAD_BYTES = 64 * 1024
"""Largest number of bytes of an answer that are no part of its body, beyond
the framing of its chunks.  It is several times the size of the largest head
that the parser accepts."""

CHUNK_OVERHEAD_FACTOR = 8
"""Bytes of framing that each byte of a body may have.  A chunk of a single
byte has five."""

READ_BYTES = 256 * 1024
"""Largest number of bytes that one read of a socket returns.  The parser may
hold as many back while a body is read slowly."""

ANSWER_READ_BYTES = 16 * 1024
"""Largest read of an answer.  All answers that are ready are read in one turn
of the event loop, before any of them is counted."""

ANSWER_BUFFER_BYTES = 8 * 1024
"""Half of the bytes of an answer from which reading pauses until the reader of
the body has taken them."""

MAX_UNCOUNTED_ANSWER_BYTES = 2 * ANSWER_BUFFER_BYTES + ANSWER_READ_BYTES
"""Most bytes of a body that a connection holds before they are counted."""

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Largest body of an answer that is passed on to a caller."""

MAX_REPORT_BYTES = 1024 * 1024
"""Largest body of an answer that the product itself reads."""


class ConnectionBrokenError(aiohttp.ClientError):
    """The connection failed after it was made; the request may have run."""


class UnboundedAnswerError(aiohttp.ClientPayloadError):
    """The server sends more than an answer may have; it may have run it."""


class InvalidStatusError(aiohttp.ClientPayloadError):
    """The answer has a status outside the protocol; it may have run it."""


class NoRoomError(aiohttp.ClientPayloadError):
    """The answer finds no room in memory; the server may have run it."""


async def without_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once, as a middleware of an aiohttp session.

    After these errors aiohttp would send GET, PUT and DELETE again, even if
    the route is declared as not idempotent.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(describe_error(error)) from error


async def read_at_most(
    response: aiohttp.ClientResponse, max_bytes: int, lease: ByteLease | None = None
) -> bytes:
    """Return the whole body of an answer.

    Raises ``UnboundedAnswerError`` if it is longer than ``max_bytes``,
    ``NoRoomError`` if ``lease`` finds no room for it, and
    ``aiohttp.ClientError`` if it is incomplete.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if lease is not None and not lease.grow(len(chunk)):
            response.close()
            raise NoRoomError("no room for the answer beside those of others")
        if len(body) > max_bytes:
            response.close()
            raise UnboundedAnswerError(f"the answer exceeds {max_bytes} bytes")
    return bytes(body)


async def read_to_end(response: aiohttp.ClientResponse, max_bytes: int) -> None:
    """Read the body of an answer without keeping it.

    Raises ``UnboundedAnswerError`` if it is longer than ``max_bytes``, and
    ``aiohttp.ClientError`` if it is incomplete.
    """
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise UnboundedAnswerError(f"the answer exceeds {max_bytes} bytes")


class PermissionLostError(Exception):
    """The permission to send a request ended before its last byte was sent."""


class GuardedBody(aiohttp.BytesPayload):
    """A request body that is sent only while its sender still may send it.

    A process may be paused, or wait for a connection, after it has checked a
    permission.  The head goes out together with the body, and no task runs
    between the check here and the write, so the receiver gets a complete
    request only if the permission held at that moment.
    """

    def __init__(self, body: bytes, permitted: Callable[[], bool]) -> None:
        super().__init__(body, content_type="application/json")
        self._permitted = permitted
        self.refused = False
        """Whether the permission had ended, so that nothing was sent."""

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Check the permission, then write the body."""
        if not self._permitted():
            self.refused = True
            raise PermissionLostError("the permission to send has ended")
        await super().write_with_length(writer, content_length)


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections end when an answer exceeds its overhead."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The library has no public option for the class of the protocol.
        self._factory = partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )


class BoundedResponseHandler(ResponseHandler):
    """Protocol of a connection that bounds the bytes that are no body.

    The parser consumes such bytes as fast as they arrive and reports nothing,
    so that neither flow control nor a reader of the body could stop them.  It
    also accepts any status, so that the statuses are checked here for all
    clients of the product.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._received_bytes = 0
        self._earlier_body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the size of a read, an attribute of socket transports."""
        super().connection_made(transport)
        cast(Any, transport).max_size = ANSWER_READ_BYTES

    def set_response_params(self, *args: Any, **options: Any) -> None:
        """Start to count anew for the next request on the connection."""
        options["read_bufsize"] = ANSWER_BUFFER_BYTES
        self._received_bytes = 0
        self._earlier_body_bytes = self._body_bytes()
        super().set_response_params(*args, **options)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the next answer, interim ones included.

        Raises ``InvalidStatusError`` if no answer may have its status.  The
        connection is not used again.
        """
        message, payload = await super().read()
        if kind_of_answer(message.code) is AnswerKind.INVALID:
            self.close()
            raise InvalidStatusError(f"answer with the status {message.code:03}")
        return message, payload

    def data_received(self, data: bytes) -> None:
        """Parse data, and end the connection if it exceeds the bound."""
        before = self._payload
        self._received_bytes += len(data)
        super().data_received(data)
        if before is not self._payload:
            self._earlier_body_bytes = 0
        body_bytes = self._body_bytes() - self._earlier_body_bytes
        allowed = MAX_OVERHEAD_BYTES + (1 + CHUNK_OVERHEAD_FACTOR) * body_bytes
        if self._received_bytes > READ_BYTES + allowed and self.transport is not None:
            error = UnboundedAnswerError(
                f"over {MAX_OVERHEAD_BYTES} bytes that are no answer"
            )
            if self._payload is not None and not self._payload.is_eof():
                self._payload.set_exception(error)
            self.set_exception(error)
            self.transport.abort()

    def _body_bytes(self) -> int:
        return 0 if self._payload is None else self._payload.total_bytes
