"""Tests of a listener with handlers that fail or are slow.

They guard against an incomplete response that looks complete, against the
verdict "not run" for a handler that failed, and against a shutdown that
closes connections with running requests.
"""

import asyncio
import json
import socket
import unittest
from unittest import mock

import aiohttp
import structlog.testing
from aiohttp import web
from parameterized import parameterized

from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.plugins.listeners import server
from goldcrestyard.plugins.listeners.bodies import BodyLimits
from goldcrestyard.plugins.listeners.connections import (
    CallerConnection,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.listeners.server import HandlerListener, HttpListener

ANSWER_BYTES = 32 * 1024 * 1024
"""More than the socket buffers hold while the caller does not read."""


class ListenerTests(unittest.IsolatedAsyncioTestCase):
    """A listener on loopback with failing and slow handlers."""

    async def asyncSetUp(self) -> None:
        # Captures the tracebacks that the failing handlers log.
        self.enterContext(structlog.testing.capture_logs())
        self.going_on = asyncio.Event()
        self.reached = asyncio.Event()
        self.routes = PublicRoutes(BodyLimits(1024, 5.0))
        self.routes.add("GET", "/fail", self.fail_at_once)
        self.routes.add("GET", "/fail-late", self.fail_late)
        self.routes.add("GET", "/slow", self.answer_slowly)
        self.routes.add("GET", "/stream", self.stream)
        self.listener = HttpListener(self.routes, ConnectionLimits(5.0))
        await self.listener.open("127.0.0.1:0")
        assert self.listener.socket_address is not None
        host, port = self.listener.socket_address
        self.base = f"http://{host}:{port}"
        self.addAsyncCleanup(self.listener.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def fail_at_once(self, _: web.Request) -> web.StreamResponse:
        raise ValueError("handler failed")

    async def fail_late(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"first half")
        raise ValueError("handler failed")

    async def answer_slowly(self, _: web.Request) -> web.StreamResponse:
        self.reached.set()
        await self.going_on.wait()
        return web.Response(text="x" * ANSWER_BYTES)

    async def stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write_eof(b"all")
        return response

    async def test_failed_handler_is_not_told_as_not_run(self) -> None:
        async with self.session.get(f"{self.base}/fail") as answer:
            error = json.loads(await answer.read())["error"]
        self.assertEqual(answer.status, 502)
        self.assertEqual(error["verdict"], "may_have_run")

    async def test_failed_handler_without_routes(self) -> None:
        """Guards against a second run of a request that may have run."""

        async def fail(_: web.BaseRequest) -> web.StreamResponse:
            raise ValueError("handler failed")

        listener = HandlerListener(fail, lambda: ConnectionLimits(5.0))
        await listener.open("127.0.0.1:0")
        self.addAsyncCleanup(listener.stop)
        assert listener.socket_address is not None
        host, port = listener.socket_address
        async with self.session.get(f"http://{host}:{port}/") as answer:
            error = json.loads(await answer.read())["error"]
        self.assertEqual(answer.status, 502)
        self.assertEqual(error["verdict"], "may_have_run")

    async def test_answer_that_fails_half_way_is_cut_off(self) -> None:
        async with self.session.get(f"{self.base}/fail-late") as answer:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await answer.read()

    async def test_answers_end_their_connections_while_closing(self) -> None:
        for path in ("/stream", "/fail", "/none"):
            self.routes.closing = False
            async with self.session.get(f"{self.base}{path}") as answer:
                self.assertNotEqual(answer.headers.get("connection"), "close")
            self.routes.closing = True
            async with self.session.get(f"{self.base}{path}") as answer:
                self.assertEqual(answer.headers["connection"], "close")

    async def test_closed_listener_finishes_its_requests(self) -> None:
        # Without an interval between the checks, the listener counts as idle
        # at the first moment at which it sees no running request.
        self.enterContext(mock.patch.object(server, "IDLE_CHECK_INTERVAL_SECONDS", 0.0))
        assert self.listener.socket_address is not None
        reader, writer = await asyncio.open_connection(
            *self.listener.socket_address, limit=1024
        )
        writer.write(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        await self.reached.wait()
        await self.listener.close()
        idle = asyncio.create_task(self.listener.wait_idle())
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.session.get(f"{self.base}/stream")
        await self._pass_rounds()
        self.assertFalse(idle.done(), "the handler still runs")
        self.going_on.set()
        await reader.readuntil(b"\r\n\r\n")
        await self._pass_rounds()
        self.assertFalse(idle.done(), "the caller reads slowly")
        self.assertEqual(len(await reader.readexactly(ANSWER_BYTES)), ANSWER_BYTES)
        await idle
        writer.close()

    @parameterized.expand(
        [
            ("whole_requests", b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n", b""),
            ("slow_heads", b"GET /stream HTTP/1.1\r\nho", b"st: a\r\n\r\n"),
        ]
    )
    async def test_requests_that_were_just_sent_are_answered(
        self, _: str, first: bytes, rest: bytes
    ) -> None:
        """Pattern: a planned stop under load.

        The callers have connected and sent, and this process has accepted
        none of their connections when it is told to stop.
        """
        assert self.listener.socket_address is not None
        callers = [
            socket.create_connection(self.listener.socket_address) for _ in range(200)
        ]
        for caller in callers:
            self.addCleanup(caller.close)
            caller.sendall(first)
        await self.listener.close()
        idle = asyncio.create_task(self.listener.wait_idle())
        # Longer than the checks for running requests take.
        await asyncio.sleep(3 * server.IDLE_CHECK_INTERVAL_SECONDS)
        for caller in callers:
            caller.sendall(rest)
        await idle
        await self.listener.stop()
        for caller in callers:
            caller.settimeout(5.0)
            self.assertTrue(caller.recv(65536).startswith(b"HTTP/1.1 200"))

    @parameterized.expand(
        [
            ("idle", False, 0, False),
            ("running", True, 0, True),
            ("unsent", False, 7, True),
            ("arriving", False, 0, True, True),
        ]
    )
    async def test_busy(
        self, _: str, active: bool, unsent: int, busy: bool, receiving: bool = False
    ) -> None:
        # The last bytes of a response may still be in the transport's buffer
        # when its request has ended.
        connection = CallerConnection(
            web.Server(self.fail_at_once),  # type: ignore[arg-type]
            ConnectionLimits(5.0),
            ByteRoom(1_000_000),
        )
        connection.transport = mock.Mock(spec=asyncio.Transport)
        connection.transport.get_write_buffer_size.return_value = unsent
        connection.transport.is_closing.return_value = False
        connection.active = active
        connection.receiving = receiving
        self.assertIs(connection.busy, busy)

    async def _pass_rounds(self) -> None:
        for _ in range(100):
            await asyncio.sleep(0)
