"""Sends one order, with the lease check before the end of the request."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp

from goldcrestyard.plugins.orders.commands import Order, OrderRecord
from goldcrestyard.plugins.orders.connection import (
    Connector,
    MalformedAnswerError,
    OrderConnection,
)
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.policy.orders import (
    LeaseLost,
    NoAnswer,
    NotSent,
    OrderAnswer,
    SendOutcome,
)

SENDER_HEADER = "x-sender"


class OrderClient:
    """Sends orders over connections of their own."""

    def __init__(
        self,
        connector: Connector,
        settings: OrderSettings,
        may_send: Callable[[], bool],
        sender: str,
    ) -> None:
        self._connector = connector
        self._settings = settings
        self._may_send = may_send
        self._sender = sender

    async def send(self, record: OrderRecord) -> SendOutcome:
        """Send an order and return the answer, or why there is none."""
        try:
            async with asyncio.timeout(self._settings.connect_seconds):
                connection = await self._connector.open(record.order.receiver.address)
        except (OSError, TimeoutError) as error:
            return NotSent(f"not connected: {error or 'timeout'}")
        try:
            return await self._send_on(connection, record)
        finally:
            connection.abort()

    async def _send_on(
        self, connection: OrderConnection, record: OrderRecord
    ) -> SendOutcome:
        request = encode(record, self._sender)
        try:
            async with asyncio.timeout(self._settings.connect_seconds):
                await connection.send(request[:-1])
        except (OSError, TimeoutError) as error:
            return NotSent(f"connection lost: {error or 'timeout'}")
        # No await may come between the check and the last byte: the lease
        # could run out in between, and another leader could be sending.
        if not self._may_send():
            connection.abort()
            return LeaseLost()
        if not connection.send_last(request[-1:]):
            return NotSent("the kernel did not take the end of the request")
        try:
            async with asyncio.timeout(self._settings.answer_seconds):
                return await connection.read_answer()
        except (OSError, TimeoutError, MalformedAnswerError) as error:
            return NoAnswer(f"no whole answer: {error or 'timeout'}")


def encode(record: OrderRecord, sender: str) -> bytes:
    """Return the HTTP request of an order."""
    order = record.order
    head = (
        f"POST {order.path} HTTP/1.1\r\n"
        f"host: {order.receiver.address}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(order.body)}\r\n"
        f"idempotency-key: {order.id}\r\n"
        f"x-fencing-term: {record.fence.term}\r\n"
        f"x-fencing-index: {record.fence.index}\r\n"
        f"{SENDER_HEADER}: {sender}\r\n"
        "connection: close\r\n"
        "\r\n"
    )
    return head.encode("ascii") + order.body


class LookUps(Protocol):
    """Asks receivers what became of an order."""

    async def look_up(self, order: Order) -> OrderAnswer | NoAnswer:
        """Return the receiver's answer; 404 says that it has no such order."""


class HttpLookUps:
    """Asks over HTTP; a look-up changes nothing and needs no lease."""

    def __init__(self, session: aiohttp.ClientSession, timeout_seconds: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def look_up(self, order: Order) -> OrderAnswer | NoAnswer:
        """Ask a receiver for an order by its id."""
        url = f"http://{order.receiver.address}{order.look_up_path}"
        try:
            async with self._session.get(url, timeout=self._timeout) as response:
                return OrderAnswer(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            return NoAnswer(str(error) or "timeout")
