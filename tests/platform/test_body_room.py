"""Tests of the room for bodies that the callers of one process share."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from unittest import mock

from aiohttp import web
from parameterized import parameterized

from goldcrestyard.core.refusals import Refusal
from goldcrestyard.kernel.byte_room import SMALL_BYTES, ByteRoom
from goldcrestyard.platform.answers import refusal_response
from goldcrestyard.platform.bodies import read_body
from goldcrestyard.plugins.listeners.connections import ConnectionLimits, lease_of
from goldcrestyard.plugins.listeners.server import HandlerListener
from goldcrestyard.policy import arrivals
from tests.fakes.quiet_logs import quiet_logs

CAPACITY = 2_000_000
LARGE_BYTES = 800_000
ANSWER_BYTES = 16_000_000
"""More than the buffers of a connection hold."""

MAX_BODY_BYTES = 4_000_000
IDLE_SECONDS = 0.2
DEADLINE_SECONDS = 20.0
NO_ROOM = 503


@dataclass(frozen=True)
class Pending:
    """What callers send without ending it, and for how many there is room."""

    name: str
    sent: bytes
    fitting: int


def post(size: int, path: str = "/wait") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n"
    return head.encode()


CHUNKED = b"POST /wait HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
LARGE_CHUNK = f"{LARGE_BYTES:x}\r\n".encode() + b"x" * LARGE_BYTES + b"\r\n"
HEAD = b"GET / HTTP/1.1\r\n" + b"".join(
    b"a%d: " % number + b"x" * 8000 + b"\r\n" for number in range(90)
)


class BodyRoomTests(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that together exceed the memory of a process."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.room = ByteRoom(CAPACITY)
        self.may_end = asyncio.Event()
        self.idle_seconds = DEADLINE_SECONDS
        self.handled = 0
        self.listener = HandlerListener(
            self._handle,
            lambda: ConnectionLimits(
                DEADLINE_SECONDS, header_bytes=16384, head_bytes=2 * len(HEAD)
            ),
            self.room,
        )
        await self.listener.open("127.0.0.1:0")
        self.addAsyncCleanup(self.listener.stop)
        self.writers: list[asyncio.StreamWriter] = []

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await read_body(request, MAX_BODY_BYTES, self.idle_seconds)
        if isinstance(body, Refusal):
            return refusal_response(body)
        self.handled += 1
        if request.path == "/wait":
            await self.may_end.wait()
        if request.path == "/large":
            lease_of(request).add(ANSWER_BYTES)
            return web.Response(body=b"x" * ANSWER_BYTES)
        return web.Response(body=str(len(body)).encode())

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                Pending("heads", HEAD, 2),
                Pending("declared_lengths", post(LARGE_BYTES) + b"x", 2),
                Pending("whole_bodies", post(LARGE_BYTES) + b"x" * LARGE_BYTES, 2),
                Pending("chunks", CHUNKED + LARGE_CHUNK, 2),
                Pending("whole_chunks", CHUNKED + LARGE_CHUNK + b"0\r\n\r\n", 2),
            )
        ]
    )
    async def test_callers_beyond_the_room_are_refused_at_once(
        self, _: str, case: Pending
    ) -> None:
        readers = [await self._send(case.sent) for _ in range(6)]
        refused = [reader for reader in readers if await self._is_refused(reader)]
        self.assertEqual(len(refused), 6 - case.fitting)
        self.assertLessEqual(self.room.held, CAPACITY)
        for writer in self.writers:
            writer.close()
        await self._wait(lambda: self.room.held == 0)

    async def test_small_requests_have_room_beside_large_ones(self) -> None:
        """Guards against a few large bodies that keep out all others."""
        for _number in range(4):
            await self._send(post(LARGE_BYTES))
        reader = await self._send(
            post(SMALL_BYTES // 2, "/") + b"x" * (SMALL_BYTES // 2)
        )
        async with asyncio.timeout(DEADLINE_SECONDS):
            self.assertIn(b"200 OK", await reader.readline())

    async def test_body_that_stalls_gives_its_room_back(self) -> None:
        self.idle_seconds = IDLE_SECONDS
        reader = await self._send(post(LARGE_BYTES) + b"x")
        async with asyncio.timeout(DEADLINE_SECONDS):
            self.assertIn(b"400", await reader.readline())
        await self._wait(lambda: self.room.held == 0)

    @parameterized.expand(
        [
            ("known_length", post(LARGE_BYTES) + b"x" * (LARGE_BYTES - 1)),
            ("chunks", CHUNKED + LARGE_CHUNK),
        ]
    )
    async def test_slow_bodies_make_room_for_others(self, _: str, slow: bytes) -> None:
        """Guards against clients that keep the room by a byte now and then."""
        given_up: list[bool] = []
        self.room.observers.append(lambda: given_up.append(True))
        readers = [await self._send(slow) for _ in range(2)]
        await self._wait(lambda: self.room.held >= 2 * LARGE_BYTES)
        now = asyncio.get_running_loop().time
        with mock.patch.multiple(arrivals, GRACE_SECONDS=0.0, WINDOW_SECONDS=0.1):
            await self._wait(
                lambda: all(
                    body.arrival.may_end(now())
                    for body in self.room.arriving_by_lease.values()
                )
            )
            reader = await self._send(post(LARGE_BYTES, "/") + b"x" * LARGE_BYTES)
            async with asyncio.timeout(DEADLINE_SECONDS):
                self.assertIn(b"200 OK", await reader.readline())
        self.assertEqual(given_up, [True])
        refused = [reader for reader in readers if await self._is_refused(reader)]
        self.assertEqual(len(refused), 1)
        self.assertEqual(self.handled, 1)
        for writer in self.writers:
            writer.close()
        await self._wait_until_empty()

    async def test_crowd_that_comes_again_leaves_the_room_empty(self) -> None:
        """Guards against bytes of a closed connection that stay counted."""
        for sent in (post(LARGE_BYTES) + b"x", CHUNKED + LARGE_CHUNK, HEAD[:-9]) * 3:
            for _ in range(4):
                await self._send(sent)
            await self._wait(lambda: self.room.held > 0)
            for writer in self.writers:
                writer.transport.abort()
            await self._wait_until_empty()

    async def test_answer_that_is_not_read_keeps_its_room(self) -> None:
        reader = await self._send(post(0, "/large"))
        await self._wait(lambda: self.handled == 1)
        self.assertGreaterEqual(self.room.held, ANSWER_BYTES)
        self.assertTrue(await self._is_refused(await self._send(post(0))))
        async with asyncio.timeout(DEADLINE_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(ANSWER_BYTES)
        await self._wait(lambda: self.room.held == 0)

    async def test_refused_body_takes_no_room_while_it_is_discarded(self) -> None:
        reader = await self._send(post(2 * CAPACITY) + b"x" * CAPACITY)
        self.assertTrue(await self._is_refused(reader))
        self.assertEqual(self.room.held, 0)
        self.writers[0].write(b"x" * CAPACITY + post(2, "/") + b"ab")
        async with asyncio.timeout(DEADLINE_SECONDS):
            await reader.readline()

    async def _send(self, data: bytes) -> asyncio.StreamReader:
        address = self.listener.socket_address
        assert address is not None
        reader, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        self.writers.append(writer)
        writer.write(data)
        return reader

    async def _is_refused(self, reader: asyncio.StreamReader) -> bool:
        """Return whether a refusal arrives soon; others get no answer."""
        try:
            async with asyncio.timeout(1.0):
                line = await reader.readline()
        except TimeoutError:
            return False
        self.assertIn(str(NO_ROOM).encode(), line)
        return True

    async def _wait_until_empty(self) -> None:
        """Wait until nothing is held and no body counts as arriving.

        The task of a request ends one turn of the loop after its connection
        has given the bytes back.
        """
        await self._wait(
            lambda: self.room.held == 0 and not self.room.arriving_by_lease
        )

    async def _wait(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(DEADLINE_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)
