"""Tests of the HTTP clients against servers that send bytes without end.

Pattern: a server in trouble keeps a connection busy with bytes that are no
answer.  They guard against a client that reads them until its deadline, which
costs its memory and a whole core while other callers wait.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace

import aiohttp
from parameterized import parameterized

from goldcrestyard.core.attempts import Broken
from goldcrestyard.core.calls import TargetCall, TargetReply
from goldcrestyard.core.ids import RequestId
from goldcrestyard.kernel.http_client import (
    MAX_ANSWER_BYTES,
    MAX_OVERHEAD_BYTES,
    MAX_REPORT_BYTES,
    BoundedConnector,
    read_at_most,
)
from goldcrestyard.platform.event_stream import MAX_BYTES_BETWEEN_EVENTS
from goldcrestyard.platform.targets.client import HttpTargetClient
from goldcrestyard.platform.targets.engine_control import HttpEngineControl
from goldcrestyard.plugins.orders.connection import (
    MAX_ANSWER_BYTES as MAX_ORDER_ANSWER_BYTES,
)
from goldcrestyard.plugins.orders.connection import MalformedAnswerError, TcpConnection
from tests.fakes.targets import target

ID = "9c41d07be2a35f68"
HEAD = (
    f"HTTP/1.1 200 OK\r\nX-Goldcrestyard-Attempt-Id: {ID}\r\n"
    "X-Goldcrestyard-Server-Stamp: s\r\n"
).encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BUFFER_BYTES = 16 * 1024 * 1024
"""Most that the sockets of the machine and the buffers of both ends hold."""

DEADLINE_SECONDS = 60.0
"""Far beyond the time that the bounds need; reaching it fails the test."""


@dataclass(frozen=True)
class Flood:
    """What a server sends first, what it repeats, and what may be read."""

    name: str
    first: bytes
    repeated: bytes
    max_read: int


OVERHEAD_FLOODS = [
    Flood("head_line", b"HTTP/1.1 200 ", b"O" * 4096, MAX_OVERHEAD_BYTES),
    Flood("headers", HEAD, b"X-More: " + b"y" * 4000 + b"\r\n", MAX_OVERHEAD_BYTES),
    Flood(
        "interim_answers", b"", b"HTTP/1.1 102 Processing\r\n\r\n", MAX_OVERHEAD_BYTES
    ),
    Flood("extension_of_a_chunk", CHUNKED + b"5;x=", b"y" * 4096, MAX_OVERHEAD_BYTES),
    Flood(
        "headers_after_the_body",
        CHUNKED + b"5\r\nhello\r\n0\r\n",
        b"X-More: y\r\n",
        MAX_OVERHEAD_BYTES,
    ),
    Flood(
        "extensions_of_all_chunks",
        CHUNKED,
        b"1;" + b"x" * 1000 + b"\r\ny\r\n",
        2 * MAX_OVERHEAD_BYTES,
    ),
]
BODY_FLOODS = [
    Flood(
        "chunked_body", CHUNKED, b"1000\r\n" + b"z" * 4096 + b"\r\n", MAX_ANSWER_BYTES
    ),
    Flood("body_of_unknown_length", HEAD + b"\r\n", b"z" * 4096, MAX_ANSWER_BYTES),
    Flood(
        "body_of_absurd_length",
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"z" * 4096,
        MAX_ANSWER_BYTES,
    ),
]
STREAM_FLOODS = [
    Flood("comments", HEAD + b"\r\n", b": still there\n\n", MAX_BYTES_BETWEEN_EVENTS),
    Flood("empty_lines", HEAD + b"\r\n", b"\n", MAX_BYTES_BETWEEN_EVENTS),
    Flood("event_without_end", HEAD + b"\r\n", b"data: x\n", 4 * 1024 * 1024),
    Flood(
        "comments_after_an_event",
        HEAD + b"\r\nid: 1\ndata: a\n\n",
        b":\n\n",
        MAX_BYTES_BETWEEN_EVENTS,
    ),
]


class FloodingServer:
    """Answers a request with bytes without end, as fast as they are read."""

    def __init__(self) -> None:
        self.flood = BODY_FLOODS[0]
        self.sent = 0
        self.connections = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.sent = 0
        # The size of a multiple of the repeated part is near 64 KiB.
        block = self.flood.repeated * max(1, 65536 // len(self.flood.repeated))
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.flood.first)
            while True:
                writer.write(block)
                self.sent += len(block)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.transport.abort()


class FloodTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a flooding server, and the real clients."""

    async def asyncSetUp(self) -> None:
        self.flooding = FloodingServer()
        server = await asyncio.start_server(self.flooding.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.client = HttpTargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def send(
        self, read: Callable[[TargetReply], Awaitable[object]], *, repeatable: bool
    ) -> object:
        """Send a call; return the outcome of reading, or the failure."""
        call = TargetCall(
            RequestId(ID), "GET", "h", "/", (), b"", repeatable=repeatable
        )
        to = replace(target("t"), address=self.address)
        async with self.client.open(to, call, DEADLINE_SECONDS) as reply:
            return await read(reply) if isinstance(reply, TargetReply) else reply

    async def check_bound(self, flood: Flood) -> None:
        """Check that the connection ended, and how much was read."""
        await asyncio.wait_for(self.flooding.closed.wait(), DEADLINE_SECONDS)
        self.assertLessEqual(self.flooding.sent, flood.max_read + BUFFER_BYTES)


class TargetFloodTests(FloodTestCase):
    """Floods from targets."""

    @parameterized.expand(
        [(flood.name, flood) for flood in OVERHEAD_FLOODS + BODY_FLOODS]
    )
    async def test_answer(self, _: str, flood: Flood) -> None:
        for repeatable in (False, True):
            self.flooding.flood = flood
            self.flooding.closed.clear()
            outcome = await self.send(lambda r: r.read(), repeatable=repeatable)
            self.assertIsInstance(outcome, Broken)
            await self.check_bound(flood)

    @parameterized.expand(
        [(flood.name, flood) for flood in OVERHEAD_FLOODS + STREAM_FLOODS]
    )
    async def test_stream(self, _: str, flood: Flood) -> None:
        async def last_event(reply: TargetReply) -> object:
            event: object = None
            async for event in reply.events():  # noqa: B007 - used below
                pass
            return event

        self.flooding.flood = flood
        self.assertIsInstance(await self.send(last_event, repeatable=True), Broken)
        await self.check_bound(flood)

    async def test_other_tasks_run_meanwhile(self) -> None:
        """A reader whose data is always there must let the others run."""
        self.flooding.flood = BODY_FLOODS[0]
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0)
                turns += 1

        counting = asyncio.create_task(count_turns())
        await self.send(lambda r: r.read(), repeatable=True)
        counting.cancel()
        # One turn for each read of a buffer of 256 KiB is the least.
        self.assertGreater(turns, MAX_ANSWER_BYTES // (256 * 1024))

    @parameterized.expand([("chunked", CHUNKED), ("length", HEAD)])
    async def test_long_sound_answers_are_read(self, name: str, head: bytes) -> None:
        """The bound must not end an answer that is only long or cut small."""
        body = bytes(range(256)) * 1024
        sent = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
        if name == "length":
            head += b"Content-Length: %d\r\n\r\n" % len(body)
            sent = body

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(head + sent)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for _ in range(3):
            self.assertEqual(await self.send(lambda r: r.read(), repeatable=True), body)


class ReportFloodTests(FloodTestCase):
    """Floods instead of the answers that the product itself reads."""

    @parameterized.expand(
        [
            (flood.name, replace(flood, max_read=MAX_REPORT_BYTES))
            for flood in OVERHEAD_FLOODS + BODY_FLOODS
        ]
    )
    async def test_report_of_an_engine(self, _: str, flood: Flood) -> None:
        self.flooding.flood = flood
        control = HttpEngineControl(self.client, "holder")  # type: ignore[arg-type]
        to = replace(target("t"), address=self.address)
        self.assertIsNone(await control.report(to))
        await self.check_bound(flood)

    @parameterized.expand(
        [
            (flood.name, replace(flood, max_read=MAX_REPORT_BYTES))
            for flood in OVERHEAD_FLOODS + BODY_FLOODS
        ]
    )
    async def test_any_session(self, _: str, flood: Flood) -> None:
        self.flooding.flood = flood
        async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
            with self.assertRaises(aiohttp.ClientError):
                async with session.get(f"http://{self.address}/") as response:
                    await read_at_most(response, MAX_REPORT_BYTES)
            await self.check_bound(flood)

    @parameterized.expand(
        [
            (flood.name, replace(flood, max_read=MAX_ORDER_ANSWER_BYTES))
            for flood in OVERHEAD_FLOODS + BODY_FLOODS
        ]
    )
    async def test_answer_to_an_order(self, _: str, flood: Flood) -> None:
        self.flooding.flood = flood
        host, _colon, port = self.address.partition(":")
        connection = TcpConnection(
            *await asyncio.open_connection(
                host, int(port), limit=MAX_ORDER_ANSWER_BYTES
            )
        )
        await connection.send(b"GET / HTTP/1.1\r\n\r\n")
        with self.assertRaises(MalformedAnswerError):
            await connection.read_answer()
        connection.abort()
        await self.check_bound(flood)
