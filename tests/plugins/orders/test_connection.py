"""Tests of the connection that sends the end of a request separately.

They guard against a request that is completed without a lease check, and
against an incomplete answer that is accepted as complete.
"""

import asyncio
import socket
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.plugins.orders.client import OrderClient
from goldcrestyard.plugins.orders.commands import Order, OrderRecord, Receiver
from goldcrestyard.plugins.orders.connection import OrderConnection, TcpConnector
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.policy.orders import (
    Fence,
    LeaseLost,
    NoAnswer,
    NotSent,
    OrderAnswer,
)
from tests.fakes.odd_statuses import ODD_INTERIM, STATUS_LINES

BODY = b'{"action": "start"}'
OK = b"HTTP/1.1 200 OK\r\n"
END = b"\r\ncontent-length: 0\r\n\r\n"
ANSWERED = OK[:-2] + END


@dataclass(frozen=True)
class Case:
    """Bytes of a receiver, and the outcome (None: no complete answer)."""

    name: str
    written: bytes
    outcome: OrderAnswer | None


CASES = [
    Case("length", OK + b"Content-Length: 2\r\n\r\n{}", OrderAnswer(200, b"{}")),
    Case(
        "chunks",
        OK + b"transfer-encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n",
        OrderAnswer(200, b"{}"),
    ),
    Case(
        "interim_answer_first",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"content-length: 0\r\n\r\n",
        OrderAnswer(200, b""),
    ),
    Case("no_content", b"HTTP/1.1 204 No Content\r\n\r\n", OrderAnswer(204, b"")),
    Case(
        "refusal",
        b"HTTP/1.1 409 No\r\ncontent-length: 0\r\n\r\n",
        OrderAnswer(409, b""),
    ),
    Case("short_body", OK + b"content-length: 3\r\n\r\n{}", None),
    Case("short_chunk", OK + b"transfer-encoding: chunked\r\n\r\n9\r\n{}", None),
    Case("no_length", OK + b"\r\n{}", None),
    Case("long_body", OK + b"content-length: 99999999\r\n\r\n", None),
    Case("negative_length", OK + b"content-length: -1\r\n\r\n", None),
    *(
        Case(f"status_{odd.name}", odd.line + END + ANSWERED, None)
        for odd in STATUS_LINES
    ),
    Case("odd_interim_answer_first", ODD_INTERIM + ANSWERED, None),
    Case("status_of_four_digits", b"HTTP/1.1 0200 OK" + END, None),
    Case("not_http", b"SSH-2.0-x\r\n\r\n", None),
    Case("nothing", b"", None),
]


class ConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Requests over loopback connections."""

    async def asyncSetUp(self) -> None:
        self.received = b""
        self.written = OK + b"content-length: 0\r\n\r\n"
        self.ended = asyncio.Event()
        self.lease = True
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        order = Order("o1", Receiver("r", self.address), "test", "/orders", BODY)
        fence = Fence(Term(2), LogIndex(7))
        self.record = OrderRecord(order, fence, 0.0, "")

    async def _close(self, connection: OrderConnection) -> None:
        connection.abort()
        await self.ended.wait()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not self.received.endswith(BODY):
                data = await reader.read(65536)
                if not data:
                    break
                self.received += data
            else:
                writer.write(self.written)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
        self.ended.set()

    def client(self) -> OrderClient:
        settings = OrderSettings()
        return OrderClient(TcpConnector(3.0), settings, lambda: self.lease, "m1")

    async def test_request_is_whole_with_the_lease(self) -> None:
        """Guards against an order whose end is never sent."""
        outcome = await self.client().send(self.record)
        self.assertEqual(outcome, OrderAnswer(200, b""))
        self.assertTrue(self.received.startswith(b"POST /orders HTTP/1.1\r\n"))
        self.assertIn(b"idempotency-key: o1\r\n", self.received)
        self.assertIn(b"x-fencing-term: 2\r\n", self.received)
        self.assertIn(b"x-fencing-index: 7\r\n", self.received)

    async def test_request_stays_short_without_the_lease(self) -> None:
        """Guards against an order from a deposed leader."""
        self.lease = False
        self.assertIsInstance(await self.client().send(self.record), LeaseLost)
        await self.ended.wait()
        self.assertFalse(self.received.endswith(BODY))

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_answer(self, _: str, case: Case) -> None:
        """Guards against an order settled by an incomplete answer."""
        self.written = case.written
        outcome = await self.client().send(self.record)
        if case.outcome is None:
            self.assertIsInstance(outcome, NoAnswer)
        else:
            self.assertEqual(outcome, case.outcome)

    async def test_refused_connection_is_not_sent(self) -> None:
        """Guards against an unsent order that is treated as in doubt."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
            order = Order("o1", Receiver("r", address), "test", "/orders", BODY)
            record = OrderRecord(order, self.record.fence, 0.0, "")
            self.assertIsInstance(await self.client().send(record), NotSent)

    @parameterized.expand(
        [
            ("port_out_of_range", "127.0.0.1:70000"),
            ("negative_port", "127.0.0.1:-1"),
            ("superscript_port", "127.0.0.1:\u00b2"),
            ("no_port", "127.0.0.1"),
            ("no_host", ":80"),
            ("nul_in_the_host", "a\x00b:80"),
            ("endless_host", "a" * 1000 + ":80"),
        ]
    )
    async def test_odd_address_is_not_sent_to(self, _: str, address: str) -> None:
        """Guards against an address that ends the sending of all orders."""
        order = Order("o1", Receiver("r", address), "test", "/orders", BODY)
        record = OrderRecord(order, self.record.fence, 0.0, "")
        self.assertIsInstance(await self.client().send(record), NotSent)

    async def test_odd_ids_are_encoded(self) -> None:
        """Guards against an id that ends the sending, or adds a header."""
        odd = "o\u00e9\r\nx: y"
        order = Order(odd, Receiver("r", self.address), "test", f"/{odd}", BODY)
        record = OrderRecord(order, self.record.fence, 0.0, "")
        self.assertIsInstance(await self.client().send(record), OrderAnswer)
        self.assertIn(b"POST /o%C3%A9%0D%0Ax:%20y HTTP/1.1\r\n", self.received)
        self.assertIn(b"key: o%C3%A9%0D%0Ax:%20y\r\n", self.received)

    @unittest.skipUnless(hasattr(socket, "TCP_USER_TIMEOUT"), "not on this platform")
    async def test_undelivered_bytes_are_dropped_after_the_quiet_period(self) -> None:
        """Guards against bytes that arrive after the next leader sends."""
        connection = await TcpConnector(3.0).open(self.address)
        self.addAsyncCleanup(self._close, connection)
        sock = connection._writer.get_extra_info("socket")
        timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(timeout, 3000)
