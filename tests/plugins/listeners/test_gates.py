"""Tests of what a listener does before and between requests.

They guard against heads over the limit that reach the parser, against
refusals that the caller does not receive, and against crowds of held
connections that keep out other callers.
"""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from unittest import mock

import structlog.testing
from aiohttp import web
from parameterized import parameterized

from goldcrestyard.kernel.connection_places import (
    MAX_LINGERING,
    ConnectionPlaces,
    RefusedConnection,
)
from goldcrestyard.plugins.listeners import gates
from goldcrestyard.plugins.listeners.connections import ConnectionLimits
from goldcrestyard.plugins.listeners.server import HandlerListener

HEAD_BYTES = 4096
DEADLINE_SECONDS = 10.0
PLACES = 10
"""Of which one listener may hold nine."""

GET = b"GET / HTTP/1.1\r\nhost: a\r\n"
GOOD = GET + b"\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n" + b"a" * 60_000


def head_of(size: int) -> bytes:
    """Return a request without a body, with a head of so many bytes."""
    return GET + b"x: " + b"a" * (size - len(GET) - 7) + b"\r\n\r\n"


@dataclass(frozen=True)
class Sent:
    """What a caller sends, piece by piece, and the statuses of the answers."""

    name: str
    pieces: tuple[bytes, ...]
    statuses: tuple[int, ...]
    refused: RefusedConnection | None = None


TOO_LONG = RefusedConnection.HEAD_TOO_LONG
EMPTY_LINES = RefusedConnection.EMPTY_LINES
CASES = [
    Sent("at_the_limit", (head_of(HEAD_BYTES),), (200,)),
    Sent("over_the_limit", (head_of(HEAD_BYTES + 1),), (400,), TOO_LONG),
    Sent("far_over_the_limit", (head_of(270_000),), (400,), TOO_LONG),
    Sent("empty_lines", (b"\r\n" * 8192,), (400,), EMPTY_LINES),
    Sent("empty_line_before_a_request", (b"\r\n" + GOOD,), (200,)),
    Sent("second_at_the_limit", (GOOD, head_of(HEAD_BYTES)), (200, 200)),
    Sent("second_over_the_limit", (GOOD, head_of(270_000)), (200, 400), TOO_LONG),
    Sent("second_empty_lines", (GOOD, b"\r\n" * 8192), (200, 400), TOO_LONG),
    Sent("second_with_a_body", (GOOD, POST, GOOD), (200, 200, 200)),
    Sent("head_with_large_body", (POST, POST), (200, 200)),
    Sent("part_sent_ahead", (GOOD + GET, b"\r\n"), (200, 200)),
    Sent("second_malformed", (GOOD, b"\x01" * 10_000), (200, 400)),
]


class GateTests(unittest.IsolatedAsyncioTestCase):
    """Real connections to a listener on loopback."""

    async def asyncSetUp(self) -> None:
        self.logs = self.enterContext(structlog.testing.capture_logs())
        self.running: web.BaseRequest | None = None
        self.may_end = asyncio.Event()
        self.refused: list[RefusedConnection] = []
        self.places = ConnectionPlaces(PLACES)
        self.places.observers.append(self.refused.append)
        limits = ConnectionLimits(DEADLINE_SECONDS, head_bytes=HEAD_BYTES)
        self.listener = HandlerListener(
            self._handle, lambda: limits, places=self.places
        )
        await self.listener.open("127.0.0.1:0")
        self.addAsyncCleanup(self.listener.stop)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        if request.path == "/wait":
            self.running = request
            await self.may_end.wait()
        return web.Response()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        assert self.listener.socket_address is not None
        reader, writer = await asyncio.open_connection(*self.listener.socket_address)
        self.addCleanup(writer.close)
        return reader, writer

    async def _wait(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(DEADLINE_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def _status(self, reader: asyncio.StreamReader) -> tuple[int, str]:
        """Read an answer; return its status and its head in lower case."""
        async with asyncio.timeout(DEADLINE_SECONDS / 2):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            await reader.readexactly(length)
        return int(head.split()[1]), head

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_answers(self, _: str, case: Sent) -> None:
        reader, writer = await self._connect()
        pieces = iter(case.pieces)
        for status in case.statuses:
            writer.write(next(pieces))
            answered, head = await self._status(reader)
            self.assertEqual(answered, status)
        if status != 200:
            self.assertIn("x-verdict: not_run", head)
            # The connection ends; otherwise the rest would be a new request.
            async with asyncio.timeout(DEADLINE_SECONDS / 2):
                self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.refused, [case.refused] if case.refused else [])

    async def test_malformed_bytes_during_a_request_do_not_add_up(self) -> None:
        """Guards against an error with the data in it for each read."""
        reader, writer = await self._connect()
        writer.write(GOOD.replace(b"/", b"/wait", 1))
        async with asyncio.timeout(DEADLINE_SECONDS):
            while self.running is None:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            connection = self.running.protocol
            for _ in range(20):
                writer.write(b"\x01" * 1000)
                await writer.drain()
                await asyncio.sleep(0.01)
        self.assertEqual(len(connection._messages), 1)
        self.may_end.set()
        self.assertEqual((await self._status(reader))[0], 200)
        self.assertEqual((await self._status(reader))[0], 400)

    async def test_connection_without_a_place_is_refused(self) -> None:
        for number in range(PLACES - 1):
            _, running = await self._connect()
            running.write(GOOD.replace(b"/", b"/wait", 1))
            await self._wait(lambda least=number + 1: self.places.open >= least)
        reader, writer = await self._connect()
        writer.write(GOOD)
        status, head = await self._status(reader)
        self.assertEqual(status, 503)
        self.assertIn("retry-after: 1", head)
        self.assertIn("x-verdict: not_run", head)
        self.assertEqual(self.refused, [RefusedConnection.NO_PLACE])
        self.assertEqual(self.places.open, PLACES - 1)

    async def test_crowds_at_two_listeners_leave_places_to_a_third(self) -> None:
        """Guards against crowds that close the listener for health checks."""
        crowded = [self.places.listener() for _ in range(2)]
        held = [listener.take() for listener in crowded * PLACES]
        taken = [place for place in held if place is not None]
        self.assertGreater(len(taken), PLACES // 2)
        reader, writer = await self._connect()
        writer.write(GOOD)
        self.assertEqual((await self._status(reader))[0], 200)

    async def test_idle_connections_leave_places(self) -> None:
        """Guards against answered clients that hold all places."""
        idle = []
        for _ in range(PLACES + 5):
            reader, writer = await self._connect()
            writer.write(GOOD)
            status, head = await self._status(reader)
            self.assertEqual(status, 200)
            idle.append("connection: close" not in head)
            await self._wait(lambda: self.places.open == sum(idle))
        self.assertEqual(sum(idle), 6)

    async def test_held_connection_makes_way(self) -> None:
        self.enterContext(mock.patch.object(gates, "DISPLACED_AFTER_SECONDS", 0.0))
        held = [await self._connect() for _ in range(PLACES)]
        reader, writer = await self._connect()
        writer.write(GOOD)
        self.assertEqual((await self._status(reader))[0], 200)
        status, head = await self._status(held[0][0])
        # The sender may come again; it was not at fault.
        self.assertEqual(status, 503)
        self.assertIn("retry-after: 1", head)
        self.assertNotIn("x-should-retry", head)
        self.assertIn("x-verdict: not_run", head)

    async def test_crowd_leaves_nothing_and_one_log_line(self) -> None:
        async def send() -> None:
            reader, writer = await self._connect()
            try:
                writer.write(head_of(270_000))
                await writer.drain()
                await reader.read()
            except ConnectionError:
                pass
            finally:
                writer.close()

        await asyncio.gather(*(send() for _ in range(3 * MAX_LINGERING)))
        async with asyncio.timeout(DEADLINE_SECONDS):
            while self.places.lingering or self.places.open:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self.assertEqual(len(self.refused), 3 * MAX_LINGERING)
        events = [line["event"] for line in self.logs]
        self.assertEqual(events.count("connections refused or not read"), 1)
