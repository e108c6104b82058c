"""HTTP connections that allow the end of a request to be sent separately."""

import asyncio
import socket
import struct
from typing import Protocol

from goldcrestyard.core.decoding import parse_count
from goldcrestyard.policy.orders import OrderAnswer
from goldcrestyard.policy.target_statuses import AnswerKind, kind_of_answer
from goldcrestyard.wire.client import PeerAddress

MAX_ANSWER_BYTES = 64 * 1024
MAX_INTERIM_ANSWERS = 8
MAX_CHUNK_LINE_BYTES = 64
STATUS_DIGITS = 3


class MalformedAnswerError(Exception):
    """The receiver's answer is incomplete, too long or not valid HTTP."""


class OrderConnection(Protocol):
    """A connection that carries one order and its answer."""

    async def send(self, data: bytes) -> None:
        """Send data and wait until the socket has accepted all of it."""

    def send_last(self, data: bytes) -> bool:
        """Write the end of the request to the socket without waiting.

        Returns False if the socket did not accept it; the connection is then
        aborted.
        """

    async def read_answer(self) -> OrderAnswer:
        """Return the receiver's complete answer."""

    def abort(self) -> None:
        """Close the connection and discard undelivered data."""


class Connector(Protocol):
    """Opens connections to receivers."""

    async def open(self, address: str) -> OrderConnection:
        """Connect to a receiver, or raise ``OSError``."""


class TcpConnector:
    """Opens TCP connections that give up on unacknowledged data.

    A request must not arrive after the next leader has begun to send.
    """

    def __init__(self, unacknowledged_timeout_seconds: float) -> None:
        self._unacknowledged_timeout_seconds = unacknowledged_timeout_seconds

    async def open(self, address: str) -> OrderConnection:
        """Connect to a receiver and set the limits on undelivered data."""
        try:
            parsed = PeerAddress.parse(address)
        except ValueError as error:
            raise OSError(str(error)) from error
        reader, writer = await asyncio.open_connection(
            parsed.host, parsed.port, limit=MAX_ANSWER_BYTES
        )
        # With a limit of 0, ``drain`` waits until the buffer is empty, so the
        # end of the request never queues behind the rest of it.
        writer.transport.set_write_buffer_limits(high=0)
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(self._unacknowledged_timeout_seconds * 1000),
            )
        return TcpConnection(reader, writer)


class TcpConnection:
    """A TCP connection to a receiver."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, data: bytes) -> None:
        """Send data and wait until the socket has accepted all of it."""
        self._writer.write(data)
        await self._writer.drain()

    def send_last(self, data: bytes) -> bool:
        """Write the end of the request to the socket without waiting."""
        if self._writer.transport.is_closing():
            return False
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() == 0:
            return True
        self.abort()
        return False

    async def read_answer(self) -> OrderAnswer:
        """Return the receiver's complete answer."""
        try:
            return await read_answer(self._reader)
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
        ) as error:
            raise MalformedAnswerError(str(error)) from error

    def abort(self) -> None:
        """Close the connection and discard undelivered data."""
        if not self._writer.transport.is_closing():
            # A linger time of 0 discards unsent bytes in the kernel.
            self._writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self._writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> OrderAnswer:
    """Read an HTTP/1.1 response, skipping interim (1xx) responses.

    Raises ``ValueError`` if it is malformed, too long or of unknown length.
    """
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.split("\r\n")
        protocol, status_text, *_ = status_line.split(" ")
        if not protocol.startswith("HTTP/1."):
            raise ValueError(f"unexpected protocol {protocol}")
        status = parse_count(status_text)
        if status is None or len(status_text) != STATUS_DIGITS:
            raise ValueError("the status is not a number of three digits")
        kind = kind_of_answer(status)
        if kind is AnswerKind.INVALID:
            raise ValueError(f"answer with the status {status_text}")
        if kind is AnswerKind.FINAL:
            break
    else:
        raise ValueError("too many interim responses")
    headers_by_name = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    if headers_by_name.get("transfer-encoding", "").lower() == "chunked":
        return OrderAnswer(status, await _read_chunks(reader))
    if "content-length" in headers_by_name:
        length = parse_count(headers_by_name["content-length"])
        if length is None or length > MAX_ANSWER_BYTES:
            raise ValueError("answer is too long")
        return OrderAnswer(status, await reader.readexactly(length))
    if status == 204:
        return OrderAnswer(status, b"")
    raise ValueError("answer has no length")


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        line = await reader.readuntil(b"\r\n")
        if len(line) > MAX_CHUNK_LINE_BYTES:
            raise ValueError("chunk header is too long")
        size = int(line.split(b";")[0], 16)
        if size < 0 or len(body) + size > MAX_ANSWER_BYTES:
            raise ValueError("answer is too long")
        if size == 0:
            await _skip_trailers(reader)
            return bytes(body)
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def _skip_trailers(reader: asyncio.StreamReader) -> None:
    skipped = 0
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        skipped += len(line)
        if skipped > MAX_ANSWER_BYTES:
            raise ValueError("the headers after the answer are too long")
