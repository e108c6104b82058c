"""A caller's HTTP connection.

``CallerConnection`` limits the size of request headers and the time to
receive them, reports whether a request is running, and answers the errors of
the HTTP parser.  A request's head is its request line and headers.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, cast

import structlog
from aiohttp import StreamReader, web
from aiohttp.http_parser import RawRequestMessage

from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.byte_room import ByteLease, ByteRoom
from goldcrestyard.kernel.connection_places import Place, RefusedConnection
from goldcrestyard.kernel.http_client import CHUNK_OVERHEAD_FACTOR, READ_BYTES
from goldcrestyard.plugins.listeners.errors import VERDICT_HEADER, error_body, refuse
from goldcrestyard.policy.unread_answers import (
    CHECK_INTERVAL_SECONDS,
    SCARCE_SHARE,
    UnreadAnswer,
)

logger = structlog.get_logger(__name__)

MAX_HEADERS = 100
MAX_HEADER_BYTES = 8190

MAX_HEAD_BYTES = 64 * 1024
"""Default of the largest head: the request line and all headers."""

MAX_REQUEST_LINE_BYTES = 8190
"""Size of a request line that is allowed beside the headers where a limit
names those only."""

OVERHEAD_SLACK_BYTES = 4096
"""Bytes beside the head's limit for the framing of the first chunks."""

LINGERING_TIMEOUT_SECONDS = 1.0
"""How long the rest of a refused body is read and discarded, so that the
caller receives the response instead of a connection reset."""

HEAD_MEMORY_FACTOR = 3
"""Memory of a parsed head over its bytes: the parser keeps each header as
bytes, as text and in a mapping."""

SMALL_READ_BYTES = 16 * 1024
"""Size of a read while no body of known size is expected, so that the bytes
that many connections send ahead of an answer stay small."""

MAX_LINGERING_BYTES = 1024 * 1024
"""Most bytes that are read and discarded after a head was refused.  Then the
connection is not read until it is closed."""

MAX_DISCARDED_BYTES = 64 * 1024 * 1024
"""Largest number of bytes that are read after a request, whole or refused.  It
exceeds the largest body, so that the caller of a refused one receives the
response."""

RETRY_AFTER_SECONDS = 1
"""When the caller of a process without room or place may come again."""

UNSENT_KERNEL_BYTES = 16 * 1024
"""Bytes that the operating system may hold for a client that does not read.
It would take up to 4 MB of each connection, beside the memory of the process.
Bytes in transit do not count, so that fast clients are not slowed down."""

PIECE_BYTES = 64 * 1024
"""Size of the pieces in which a large answer is written.  The transport copies
what the operating system does not take at once."""

IDLE_TIMEOUT_SECONDS = 75.0
"""Time after which idle connections are closed.  It is longer than the usual
client libraries keep theirs, so that the server does not close a connection
on which the client has just sent a request."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on a connection before its request is handled."""

    header_seconds: float
    idle_seconds: float = IDLE_TIMEOUT_SECONDS
    header_bytes: int = MAX_HEADER_BYTES
    head_bytes: int = MAX_HEAD_BYTES
    """Largest size of the request line and all headers together."""

    @property
    def overhead_bytes(self) -> int:
        """Largest number of bytes in a request that are no part of its body.

        The framing of chunks is not included.  The trailers may be as long as
        the head of a request.
        """
        return self.head_bytes + OVERHEAD_SLACK_BYTES


class CallerConnection(web.RequestHandler):
    """HTTP connection with a time-out for the request head.

    Without the time-out, a caller that sends a byte now and then could hold
    a connection and its buffers indefinitely.  ``active`` is true while a
    request is handled.
    """

    def __init__(
        self,
        manager: web.Server,
        limits: ConnectionLimits,
        room: ByteRoom,
        place: Place | None = None,
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_seconds,
            access_log=cast(Any, None),
            lingering_time=LINGERING_TIMEOUT_SECONDS,
            max_headers=MAX_HEADERS,
            # Some kilobytes may decompress to any size.
            auto_decompress=False,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None
        self._head_timed_out = False
        self.active = False
        self.receiving = False
        """Whether a part of a request has arrived that is not handled yet."""
        self._body: StreamReader | None = None
        self._body_bytes = 0
        """Size of the present body; 0 if it is not known beforehand."""
        self._refused_body: StreamReader | None = None
        self._received_bytes = 0
        self._head_bytes = 0
        """Bytes that arrived while the parser waited for the next head."""
        self._ahead_paused = False
        """Whether reading waits for the answer of the present request."""
        self._ahead = room.lease()
        """The memory for bytes that arrived behind the running request."""
        self._head_lease = room.lease()
        """The memory of the running request's head.  Handlers release
        ``lease`` for the body and the answer."""
        self._refused = False
        """Whether the head of a request was refused; the rest is dropped."""
        self._malformed = False
        """Whether the parser has failed; it is given no further bytes."""
        self._place = place
        self._room = room
        self._written_to: asyncio.Transport | None = None
        """The transport, also while it is closing."""
        self._unread: UnreadAnswer | None = None
        """The answer that waits for the client; None while nothing waits."""
        self._unread_timer: asyncio.TimerHandle | None = None
        self.lease = room.lease()
        """The memory that the head, the body and the answer of the present
        request take."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time-out for the head of the first request."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        # An answer ends, and the next request begins, once the operating
        # system has taken all of it, so that its lease covers what waits here.
        transport.set_write_buffer_limits(high=0)
        self._written_to = transport
        address = transport.get_extra_info("peername")
        if address:
            self.lease.source = str(address[0])
        connected = transport.get_extra_info("socket")
        if connected is not None:
            connected.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES
            )
        self._set_read_bytes()
        self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Start the time-out for the head of a further request.

        The parser consumes the framing of a body, and a refused body, as fast
        as they arrive.  A connection with too much of either is closed.
        """
        self.receiving = not self.active
        self._received_bytes += len(data)
        if self._refused or self._malformed:
            self.receiving = False
            if (
                self._received_bytes > MAX_LINGERING_BYTES
                and self.transport is not None
            ):
                self.transport.pause_reading()
            return
        # Counted before the parser: many heads may be parsed in one turn of
        # the event loop, before the first of their requests begins.
        memory = HEAD_MEMORY_FACTOR * len(data)
        if self.receiving and not self._discards() and not self.lease.grow(memory):
            self._refuse_for_room()
            return
        if self._runs_with_whole_body():
            self._count_ahead(len(data))
        if not self._parse(data):
            return
        self._set_read_bytes()
        if not self.active and self._timer is None:
            self._start_head_timer()
        self._abort_if_endless()

    def _parse(self, data: bytes) -> bool:
        """Give bytes to the parser; return False if their head is too long.

        The parser gets no more of a head than the limit.  Bytes behind a head
        or of a further request before an answer are not counted here.
        """
        first = data
        if self._awaits_request():
            first = data[: max(0, self._limits.head_bytes - self._head_bytes)]
            self._head_bytes += len(first)
        super().data_received(first)
        self._drop_parser_error()
        if len(first) < len(data) and not self._malformed:
            if self._awaits_request():
                self._refuse_head()
                return False
            super().data_received(data[len(first) :])
            self._drop_parser_error()
        return True

    def _runs_with_whole_body(self) -> bool:
        """Return whether the bytes that arrive belong to a further request."""
        return self.active and self._body is not None and self._body.is_eof()

    def _count_ahead(self, size: int) -> None:
        """Count bytes of further requests; pause reading after a head's size.

        A client may send requests with bodies before an answer, so that the
        connection stays open and is read again after the answer.
        """
        has_room = self._ahead.grow(size)
        if not has_room:
            self._ahead.add(size)
        if not has_room or self._ahead.held > self._limits.head_bytes:
            self._ahead_paused = True
            self._pause_transport_reading()

    def _end_ahead(self) -> None:
        """Read further requests again, after an answer.

        If none of them has a whole head yet, all bytes belong to that head.
        """
        if not self._messages:
            self._head_bytes = self._ahead.held
            self.lease.add(self._ahead.held)
        self._ahead.release()
        if not self._ahead_paused:
            return
        self._ahead_paused = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Resume reading unless it waits for an answer."""
        if not self._ahead_paused:
            super()._resume_transport_reading()

    def _set_read_bytes(self) -> None:
        """Set the size of the next read, an attribute of socket transports.

        A read that ends a body may hold the start of further requests, so
        that it is hardly larger than the rest of the body.
        """
        if self.transport is None:
            return
        rest = 0
        if self.active and self._body is not None and not self._body.is_eof():
            rest = self._body_bytes - self._body.total_bytes
        size = min(READ_BYTES, max(SMALL_READ_BYTES, rest))
        cast(Any, self.transport).max_size = size

    def _awaits_request(self) -> bool:
        """Return whether the parser has no request that is not answered."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    def _drop_parser_error(self) -> None:
        """Stop parsing after an error, and let go of the data in it.

        Each further call of the parser would add another error.
        """
        if not self._messages:
            return
        message = self._messages[-1][0]
        if not isinstance(message, RawRequestMessage):
            self._malformed = True
            message.exc.__traceback__ = None

    def _abort_if_endless(self) -> None:
        if self._received_bytes > self._allowed_bytes():
            logger.warning(
                "caller sends bytes without end; closing the connection",
                received_bytes=self._received_bytes,
                request_is_running=self.active,
            )
            if self.transport is not None:
                self.transport.abort()

    def _discards(self) -> bool:
        """Return whether the rest of a refused body is read and discarded."""
        return self._refused_body is not None and not self._refused_body.is_eof()

    def _refuse_for_room(self) -> None:
        """Refuse a request whose head finds no room; close the connection."""
        refusal = Refusal(RefusalReason.NO_ROOM, "no room for the request")
        self._refuse(
            RefusedConnection.NO_ROOM,
            "503 Service Unavailable",
            refusal,
            f"retry-after: {RETRY_AFTER_SECONDS}",
        )

    def _refuse_head(self) -> None:
        """Refuse a request whose head is too long; close the connection."""
        refusal = Refusal(
            RefusalReason.BAD_REQUEST,
            f"the request line and headers exceed {self._limits.head_bytes} bytes",
        )
        self._refuse(RefusedConnection.HEAD_TOO_LONG, "400 Bad Request", refusal)

    def _refuse(
        self,
        reason: RefusedConnection,
        status: str,
        refusal: Refusal,
        *headers: str,
    ) -> None:
        """Answer a head that is not complete, and close the connection.

        What still arrives is dropped for a while, since closing a connection
        with unread bytes would reset it before the caller has the refusal.
        """
        self._refused = True
        # No further request starts; the transport stays open for a while.
        self._force_close = True
        if self._place is not None:
            self._place.refused(reason)
        self.receiving = False
        self._cancel_head_timer()
        self.lease.release()
        self._write_refusal(status, refusal, *headers)
        asyncio.get_running_loop().call_later(
            LINGERING_TIMEOUT_SECONDS, self.force_close
        )

    def _allowed_bytes(self) -> int:
        """Return how much may arrive during a request, or between two.

        What follows a whole request belongs to further ones, which the parser
        reads only a few of.
        """
        if not self.active or self._body is None or self._body.is_eof():
            return MAX_DISCARDED_BYTES
        framed = (1 + CHUNK_OVERHEAD_FACTOR) * self._body.total_bytes
        # While the body is not read, the parser holds back up to one read.
        held_back = READ_BYTES if self._reading_paused else 0
        return self._limits.overhead_bytes + held_back + framed

    def pause_writing(self) -> None:
        """Watch whether the client reads, since an answer waits for it."""
        super().pause_writing()
        now = asyncio.get_running_loop().time()
        self._unread = UnreadAnswer(self._waiting_bytes(), now)
        self._watch_unread()

    def resume_writing(self) -> None:
        """End the watch: nothing waits any more."""
        self._end_unread()
        super().resume_writing()

    def _watch_unread(self) -> None:
        self._unread_timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_SECONDS, self._check_unread
        )

    def _end_unread(self) -> None:
        self._unread = None
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _check_unread(self) -> None:
        """Close the connection if its client does not read."""
        assert self._unread is not None
        assert self._written_to is not None
        scarce = self._room.held > SCARCE_SHARE * self._room.capacity or (
            self._place is not None and self._place.scarce
        )
        if self._unread.must_close(
            self._waiting_bytes(),
            asyncio.get_running_loop().time(),
            self._limits.idle_seconds,
            scarce=scarce,
        ):
            self._end_unread()
            if self._place is not None:
                self._place.refused(RefusedConnection.UNREAD)
            self._written_to.abort()
            return
        self._watch_unread()

    def _waiting_bytes(self) -> int:
        """Return how many bytes the client has not received yet."""
        assert self._written_to is not None
        waiting = self._written_to.get_write_buffer_size()
        connected = self._written_to.get_extra_info("socket")
        if connected is not None and connected.fileno() >= 0:
            # What the operating system has sent or keeps, not acknowledged.
            # Not every system tells; then the transport's buffer decides.
            with contextlib.suppress(OSError):
                unsent = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(4))
                waiting += struct.unpack("i", unsent)[0]
        return waiting

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the time-outs and give back the memory."""
        self._cancel_head_timer()
        self._end_unread()
        self.lease.release()
        self._ahead.release()
        self._head_lease.release()
        if self._place is not None:
            self._place.release()
        super().connection_lost(exc)

    def begin(self, request: web.BaseRequest) -> bool:
        """Mark a request as running; return False if it was refused."""
        self._cancel_head_timer()
        # The handler starts a turn of the event loop after the head was
        # parsed; the connection may have been refused in between.
        self.active = not (self._head_timed_out or self._refused)
        self._body = request.content
        self._body_bytes = request.content_length or 0
        self._refused_body = None
        self._received_bytes = 0
        self._head_bytes = 0
        self.receiving = False
        # From here on the body, which is read apart, counts in this lease.
        self.lease.release()
        if self.active and not self._head_lease.resize(_head_memory_bytes(request)):
            self.active = False
            self._refuse_for_room()
            return False
        self._set_read_bytes()
        return self.active

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response and mark the request as ended."""
        if self._place is not None and self._place.scarce and not resp.prepared:
            resp.force_close()
        try:
            if isinstance(resp, web.Response):
                await _write_in_pieces(request, resp)
            return await super().finish_response(request, resp, start_time)
        finally:
            self.active = False
            # The library keeps both until the next request of the connection.
            if isinstance(resp, web.Response):
                resp.body = None
            request._read_bytes = None
            self._refused_body = self._body
            self._body = None
            self._received_bytes = 0
            self.lease.release()
            self._head_lease.release()
            self._set_read_bytes()
            self._end_ahead()

    @property
    def busy(self) -> bool:
        """Whether a request is arriving or running, or a response is unsent.

        The time-out for the request head limits how long one may arrive.
        """
        transport = self.transport
        if transport is None:
            return self.active
        arriving = self.receiving and not transport.is_closing()
        return self.active or arriving or transport.get_write_buffer_size() > 0

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a refusal for an error of the parser or of a handler."""
        self._cancel_head_timer()
        self.receiving = False
        if self._refused or self._head_timed_out:
            raise ConnectionError("the request was refused before it ran")
        if request.writer.output_size > 0:
            raise ConnectionError(
                "the response has already started; closing the connection"
            )
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            logger.error("unhandled exception in the HTTP server", exc_info=exc)
            refusal = Refusal(
                RefusalReason.UNKNOWN_OUTCOME, "internal error", Verdict.MAY_HAVE_RUN
            )
        else:
            first_line = (message or "malformed request").strip().partition("\n")[0]
            refusal = Refusal(RefusalReason.BAD_REQUEST, first_line)
        response = refuse(refusal)
        response.force_close()
        return response

    def _start_head_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.header_seconds, self._on_head_timeout
        )

    def _cancel_head_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_head_timeout(self) -> None:
        self._timer = None
        if self.active:
            return
        # From here on ``begin`` returns False, so the request does not run and
        # the verdict "not run" is correct.
        self._head_timed_out = True
        self.receiving = False
        refusal = Refusal(
            RefusalReason.BAD_REQUEST,
            "the request line and headers did not arrive within "
            f"{self._limits.header_seconds} s",
        )
        self._write_refusal("408 Request Timeout", refusal, "x-should-retry: false")
        self.force_close()

    def _write_refusal(self, status: str, refusal: Refusal, *headers: str) -> None:
        """Answer a request whose head is not complete."""
        if self.transport is not None:
            self.transport.write(refusal_bytes(status, refusal, *headers))


def refusal_bytes(status: str, refusal: Refusal, *headers: str) -> bytes:
    """Return an answer that says "not run" and closes the connection."""
    body = error_body(refusal)
    head = (
        f"HTTP/1.1 {status}",
        "content-type: application/json",
        f"content-length: {len(body)}",
        f"{VERDICT_HEADER}: not_run",
        *headers,
        "connection: close\r\n\r\n",
    )
    return "\r\n".join(head).encode() + body


async def _write_in_pieces(request: web.BaseRequest, response: web.Response) -> None:
    """Send a large response, so that only one piece of it is copied."""
    body = response.body
    if not isinstance(body, bytes) or len(body) <= PIECE_BYTES or response.prepared:
        return
    await response.prepare(request)
    if response._must_be_empty_body:
        return
    pieces = memoryview(body)
    for start in range(0, len(body), PIECE_BYTES):
        await response.write(pieces[start : start + PIECE_BYTES])
        await request.writer.drain()
    response.body = None


def _head_memory_bytes(request: web.BaseRequest) -> int:
    """Return about how much memory a parsed head takes, in bytes."""
    headers = sum(len(name) + len(text) + 4 for name, text in request.raw_headers)
    return HEAD_MEMORY_FACTOR * (len(request.raw_path) + headers)


def lease_of(request: web.BaseRequest) -> ByteLease:
    """Return the memory that a request takes until it is answered.

    Without ``CallerConnection`` each request has a room of its own.
    """
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        return connection.lease
    return ByteRoom(2 * MAX_DISCARDED_BYTES).lease()
