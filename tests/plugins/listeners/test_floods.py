"""Tests of a listener with callers that send bytes without end.

Pattern: a caller in trouble, or a hostile one, keeps a connection busy with
bytes that are no request.  They guard against a listener that reads them for
as long as they come, which costs a core while other callers wait.
"""

import asyncio
import json
import unittest
from dataclasses import dataclass

import structlog.testing
from aiohttp import web
from parameterized import parameterized

from goldcrestyard.plugins.listeners.connections import (
    MAX_DISCARDED_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.server import HandlerListener

BUFFER_BYTES = 16 * 1024 * 1024
"""Most that the sockets of the machine and the buffers of both ends hold."""

HEAD_BYTES = MAX_HEADERS * MAX_HEADER_BYTES
"""Largest head that the parser accepts."""

DEADLINE_SECONDS = 30.0
"""Far beyond the time that the bounds need; reaching it fails the test."""

REFUSED = 413


@dataclass(frozen=True)
class Flood:
    """What a caller sends first, what it repeats, and what may be read."""

    name: str
    first: bytes
    repeated: bytes
    max_read: int


def _head(path: str, framing: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n".encode()


CHUNKED = "transfer-encoding: chunked"
FLOODS = [
    Flood("request_line", b"GET /", b"a" * 4096, HEAD_BYTES),
    Flood("headers", b"GET /read HTTP/1.1\r\n", b"a: b\r\n" * 512, HEAD_BYTES),
    Flood(
        "chunk_extension",
        _head("/read", CHUNKED) + b"1;a=",
        b"b" * 4096,
        2 * HEAD_BYTES,
    ),
    Flood(
        "chunk_extension_after_a_part",
        _head("/read", CHUNKED) + b"1\r\na\r\n1;a=",
        b"b" * 4096,
        2 * HEAD_BYTES,
    ),
    Flood(
        "trailers",
        _head("/read", CHUNKED) + b"1\r\na\r\n0\r\n",
        b"a: b\r\n" * 512,
        2 * HEAD_BYTES,
    ),
    Flood(
        "refused_body",
        _head("/refuse", "content-length: 999999999999"),
        b"a" * 65536,
        MAX_DISCARDED_BYTES,
    ),
    Flood(
        "refused_chunk_extension",
        _head("/refuse", CHUNKED) + b"1;a=",
        b"b" * 65536,
        MAX_DISCARDED_BYTES,
    ),
]


class CallerFloodTests(unittest.IsolatedAsyncioTestCase):
    """Real connections to a listener on loopback."""

    async def asyncSetUp(self) -> None:
        self.enterContext(structlog.testing.capture_logs())
        # The time-outs must not be what ends a flood.
        limits = ConnectionLimits(header_seconds=DEADLINE_SECONDS)
        self.listener = HandlerListener(self._handle, lambda: limits)
        await self.listener.open("127.0.0.1:0")
        self.addAsyncCleanup(self.listener.stop)
        address = self.listener.socket_address
        assert address is not None
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.writer.close)

    @staticmethod
    async def _handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/refuse":
            return web.Response(status=REFUSED)
        if request.path == "/slow":
            await asyncio.sleep(0.3)
        if request.path == "/slow-read":
            size = 0
            async for part in request.content.iter_any():
                size += len(part)
                await asyncio.sleep(0.02)
            return web.json_response(size)
        return web.json_response(len(await request.read()))

    @parameterized.expand([(flood.name, flood) for flood in FLOODS])
    async def test_flood_is_ended(self, _: str, flood: Flood) -> None:
        self.writer.write(flood.first)
        sent = 0
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                while sent <= flood.max_read + BUFFER_BYTES:
                    self.writer.write(flood.repeated)
                    sent += len(flood.repeated)
                    await self.writer.drain()
        except ConnectionError:
            return
        self.fail(f"{sent} bytes were read")

    async def test_unfinished_trailers_are_ended(self) -> None:
        """Guards against trailers beyond the limit of heads in the parser."""
        self.writer.write(_head("/read", CHUNKED) + b"1\r\na\r\n0\r\n")
        await self.writer.drain()
        await asyncio.sleep(0.1)
        line = b"a: " + b"b" * 8000 + b"\r\n"
        with self.assertRaises(ConnectionError):
            self.writer.write(line * 20)
            async with asyncio.timeout(DEADLINE_SECONDS / 6):
                await self.reader.readexactly(1)

    @parameterized.expand(
        [
            ("one_byte_chunks", "/read", b"1\r\na\r\n" * 500_000, 500_000),
            ("read_slowly", "/slow-read", b"1\r\na\r\n" * 500_000, 500_000),
            (
                "chunks_with_extensions",
                "/read",
                b"40;a=b\r\n" + b"a" * 64 + b"\r\n",
                64,
            ),
        ]
    )
    async def test_sound_body_is_read(
        self, _: str, path: str, chunks: bytes, size: int
    ) -> None:
        self.writer.write(_head(path, CHUNKED) + chunks + b"0\r\n\r\n")
        async with asyncio.timeout(DEADLINE_SECONDS):
            await self.reader.readuntil(b"\r\n\r\n")
            answer = await self.reader.readexactly(len(str(size)))
        self.assertEqual(json.loads(answer), size)

    async def test_many_requests_on_a_connection_do_not_add_up(self) -> None:
        body = b"a" * 65536
        request = _head("/read", f"content-length: {len(body)}") + body
        for _ in range(2 * MAX_DISCARDED_BYTES // len(body)):
            self.writer.write(request)
            await self.reader.readuntil(b"\r\n\r\n65536")

    async def test_caller_of_a_refused_body_gets_the_refusal(self) -> None:
        """The largest body that any deployment accepts is refused at once."""
        body = b"a" * (32 * 1024 * 1024)
        self.writer.write(_head("/refuse", f"content-length: {len(body)}") + body)
        async with asyncio.timeout(DEADLINE_SECONDS):
            line = await self.reader.readline()
        self.assertIn(str(REFUSED).encode(), line)

    async def test_requests_sent_before_an_answer_are_read(self) -> None:
        """A caller may send further requests while the first one runs."""
        body = b"a" * 60_000
        request = _head("/read", f"content-length: {len(body)}") + body
        self.writer.write(_head("/slow", "content-length: 60000") + body)
        self.writer.write(request * 200)
        async with asyncio.timeout(DEADLINE_SECONDS):
            for _ in range(201):
                await self.reader.readuntil(b"\r\n\r\n60000")
