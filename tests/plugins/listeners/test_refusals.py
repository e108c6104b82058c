"""Tests of requests that are refused between their head and their handler.

They guard against "not run" for a request that runs, and against bytes that
are held without being counted.
"""

import asyncio
import unittest
from unittest import mock

from aiohttp import web
from parameterized import parameterized

from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.http_client import READ_BYTES
from goldcrestyard.plugins.listeners.connections import (
    SMALL_READ_BYTES,
    CallerConnection,
    ConnectionLimits,
)

HEAD_BYTES = 4096
ROOM_BYTES = 100_000
TURNS = 20
"""Turns of the event loop that a request and its answer need at most."""

GOOD = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
LONG_POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n"


class RefusalTests(unittest.IsolatedAsyncioTestCase):
    """A connection with a transport that records what is written."""

    async def asyncSetUp(self) -> None:
        self.handled = 0
        self.may_end = asyncio.Event()
        self.room = ByteRoom(ROOM_BYTES)
        self.transport = mock.MagicMock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        server = web.Server(self._handle, handler_cancellation=True)
        limits = ConnectionLimits(header_seconds=10.0, head_bytes=HEAD_BYTES)
        self.connection = CallerConnection(server, limits, self.room)
        self.connection.connection_made(self.transport)
        self.addCleanup(self.connection.connection_lost, None)
        await self._turns()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.connection.begin(request):
            raise ConnectionResetError("refused")
        self.handled += 1
        await self.may_end.wait()
        return web.Response()

    async def _turns(self) -> None:
        for _ in range(TURNS):
            await asyncio.sleep(0)

    def _written(self) -> bytes:
        calls = self.transport.write.call_args_list
        return b"".join(call.args[0] for call in calls)

    @parameterized.expand([("next_request", GOOD), ("part_of_one", GOOD[:9])])
    async def test_refused_request_does_not_run(self, _: str, more: bytes) -> None:
        """Guards against bytes without room in the turn before the handler."""
        self.connection.data_received(GOOD)
        self.room.lease().add(ROOM_BYTES)
        self.connection.data_received(more)
        self.may_end.set()
        await self._turns()
        self.assertEqual(self.handled, 0)
        written = self._written()
        self.assertTrue(written.startswith(b"HTTP/1.1 503"), written)
        self.assertIn(b"x-verdict: not_run", written)
        self.assertIn(b"retry-after: 1", written)
        self.assertEqual(written.count(b"HTTP/1.1"), 1)
        # Closing at once could reset the connection before the answer arrives.
        self.transport.close.assert_not_called()

    @parameterized.expand(
        [
            (
                "unfinished_head",
                GOOD + b"GET / HTTP/1.1\r\n",
                b"a: " + b"b" * 3000 + b"\r\n",
            ),
            ("requests", GOOD, GOOD[:-2] + b"a: " + b"b" * 3000 + b"\r\n\r\n"),
            ("body", GOOD + LONG_POST, b"a" * 3000),
        ]
    )
    async def test_bytes_ahead_are_bounded(
        self, _: str, first: bytes, more: bytes
    ) -> None:
        """Guards against further requests that are held while one runs."""
        self.connection.data_received(first)
        await self._turns()
        running = self.room.held
        held = []
        while not self.transport.pause_reading.called and len(held) < 10:
            self.connection.data_received(more)
            held.append(self.room.held - running)
        self.assertTrue(self.transport.pause_reading.called)
        self.assertGreater(held[-1], HEAD_BYTES)
        self.assertLess(held[-1], HEAD_BYTES + len(more) + 1)
        self.transport.abort.assert_not_called()
        self.transport.resume_reading.assert_not_called()
        self.may_end.set()
        await self._turns()
        self.transport.resume_reading.assert_called()

    async def test_head_ahead_counts_after_the_answer(self) -> None:
        """Guards against a head that is counted anew after each answer."""
        line = b"a: " + b"b" * 3000 + b"\r\n"
        self.may_end.set()
        self.connection.data_received(POST + b"a" * 9)
        await self._turns()
        self.may_end.clear()
        self.connection.data_received(GOOD)
        await self._turns()
        ahead = b"GET / HTTP/1.1\r\n" + line
        self.connection.data_received(ahead)
        self.may_end.set()
        await self._turns()
        self.assertEqual(self.room.held, len(ahead))
        self.connection.data_received(line)
        await self._turns()
        self.assertEqual(self.handled, 2)
        self.assertIn(b"HTTP/1.1 400", self._written())
        self.assertEqual(self.room.held, 0)

    async def test_bytes_ahead_without_room_wait(self) -> None:
        """Guards against a refusal of a request that runs."""
        self.connection.data_received(GOOD)
        await self._turns()
        full = self.room.lease()
        full.add(ROOM_BYTES)
        self.connection.data_received(GOOD)
        self.transport.pause_reading.assert_called()
        full.release()
        self.may_end.set()
        await self._turns()
        self.assertEqual(self._written().count(b"HTTP/1.1 200"), 2)
        self.assertEqual(self.room.held, 0)

    @parameterized.expand(
        [("whole_request", b""), ("incomplete_body", b"content-length: 9\r\n")]
    )
    async def test_head_counts_until_the_answer(self, _: str, framing: bytes) -> None:
        """Guards against heads of running requests that are not counted."""
        head = GOOD[:-2] + framing + b"a: " + b"b" * 3000 + b"\r\n\r\n"
        self.connection.data_received(head)
        await self._turns()
        self.assertGreater(self.room.held, 2.5 * len(head))
        # Handlers give the memory of the body back before the answer.
        self.connection.lease.release()
        self.assertGreater(self.room.held, 2.5 * len(head))
        self.may_end.set()
        await self._turns()
        self.assertEqual(self.room.held, 0)

    @parameterized.expand([("before_the_parser", True), ("before_it_begins", False)])
    async def test_head_without_room_does_not_run(self, _: str, first: bool) -> None:
        """Guards against a request whose head has room only as bytes."""
        head = GOOD[:-2] + b"a: " + b"b" * 3000 + b"\r\n\r\n"
        others = self.room.lease()
        if first:
            others.add(ROOM_BYTES - len(head) - 100)
        self.connection.data_received(head)
        self.assertEqual(bool(self._written()), first)
        if not first:
            others.add(ROOM_BYTES - len(head) - 100)
        self.may_end.set()
        await self._turns()
        self.assertEqual(self.handled, 0)
        written = self._written()
        self.assertTrue(written.startswith(b"HTTP/1.1 503"), written)
        self.assertIn(b"x-verdict: not_run", written)
        self.assertIn(b"retry-after: 1", written)
        self.assertEqual(written.count(b"HTTP/1.1"), 1)

    @parameterized.expand(
        [
            ("without_a_body", GOOD, b"", SMALL_READ_BYTES),
            ("long_body", LONG_POST, b"", 60_000),
            ("rest_of_a_body", LONG_POST, b"a" * 20_000, 40_000),
            ("short_rest", LONG_POST, b"a" * 59_999, SMALL_READ_BYTES),
            ("whole_body", LONG_POST, b"a" * 60_000, SMALL_READ_BYTES),
            ("huge_body", LONG_POST.replace(b"60000", b"6000000"), b"", READ_BYTES),
            ("chunked", CHUNKED, b"1\r\na\r\n", SMALL_READ_BYTES),
        ]
    )
    async def test_reads_end_near_the_body(
        self, _: str, head: bytes, body: bytes, size: int
    ) -> None:
        """Guards against long heads in the read that ends a body."""
        self.connection.data_received(head)
        await self._turns()
        self.connection.data_received(body)
        self.assertEqual(self.transport.max_size, size)
        self.may_end.set()
        await self._turns()
