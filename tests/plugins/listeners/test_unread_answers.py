"""Tests of the memory that answers take on a connection."""

import asyncio
import socket
import unittest
from unittest.mock import patch

from aiohttp import web
from parameterized import parameterized

from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.plugins.listeners.connections import ConnectionLimits, lease_of
from goldcrestyard.plugins.listeners.server import HandlerListener
from tests.fakes.quiet_logs import quiet_logs

ANSWER_BYTES = 2_000_000
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
DEADLINE_SECONDS = 20.0


class UnreadAnswerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that take memory which nothing counts."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.room = ByteRoom(20 * ANSWER_BYTES)
        self.handled = 0
        self.response = web.Response()

    async def _connect(self, idle_seconds: float = DEADLINE_SECONDS) -> socket.socket:
        """Open a listener and a connection with a small receive buffer."""
        limits = ConnectionLimits(DEADLINE_SECONDS, idle_seconds)
        listener = HandlerListener(self._handle, lambda: limits, self.room)
        await listener.open("127.0.0.1:0")
        self.addAsyncCleanup(listener.stop)
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        address = listener.socket_address
        assert address is not None
        await asyncio.get_running_loop().sock_connect(connection, address)
        return connection

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.handled += 1
        lease_of(request).add(ANSWER_BYTES)
        self.response = web.Response(body=b"a" * ANSWER_BYTES)
        return self.response

    async def _read(self, connection: socket.socket, left: int = ANSWER_BYTES) -> None:
        loop = asyncio.get_running_loop()
        while left > 0:
            received = await loop.sock_recv(connection, 100_000)
            self.assertTrue(received, "the connection was closed")
            left -= len(received)

    @parameterized.expand([("one", 1), ("sent_ahead", 3)])
    async def test_answer_counts_until_it_is_read(self, _: str, requests: int) -> None:
        connection = await self._connect()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, REQUEST * requests)
        async with asyncio.timeout(DEADLINE_SECONDS):
            while self.room.held < ANSWER_BYTES:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            self.assertEqual(self.handled, 1)
            self.assertGreaterEqual(self.room.held, ANSWER_BYTES)
            for _number in range(requests):
                await self._read(connection)
            while self.room.held > 0:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.handled, requests)

    async def test_idle_connection_keeps_no_answer(self) -> None:
        connection = await self._connect()
        await asyncio.get_running_loop().sock_sendall(connection, REQUEST)
        async with asyncio.timeout(DEADLINE_SECONDS):
            await self._read(connection)
            while self.room.held > 0:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        # The library keeps the response until the next request.
        self.assertTrue(self.response.body is None)

    @parameterized.expand([("known", None), ("unknown", OSError)])
    async def test_unread_connection_is_closed(
        self, _: str, failure: type[OSError] | None
    ) -> None:
        """Also guards against a check that ends where a size is not known."""
        if failure is not None:
            self.enterContext(patch("fcntl.ioctl", side_effect=failure))
        connection = await self._connect(idle_seconds=0.5)
        await asyncio.get_running_loop().sock_sendall(connection, REQUEST * 3)
        async with asyncio.timeout(DEADLINE_SECONDS):
            while not self.handled or self.room.held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.handled, 1)

    async def test_slowly_read_connection_is_not_closed(self) -> None:
        connection = await self._connect(idle_seconds=1.5)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, REQUEST)
        received = 0
        for _ in range(20):
            received += len(await loop.sock_recv(connection, 20_000))
            await asyncio.sleep(0.2)
        await self._read(connection, ANSWER_BYTES - received)

    async def test_large_answer_has_no_body_for_head(self) -> None:
        connection = await self._connect()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(
            connection, b"HEAD / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        received = b""
        async with asyncio.timeout(DEADLINE_SECONDS):
            while data := await loop.sock_recv(connection, 100_000):
                received += data
        self.assertTrue(received.endswith(b"\r\n\r\n"), received[-20:])
        self.assertIn(b"Content-Length: %d" % ANSWER_BYTES, received)
