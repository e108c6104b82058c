"""HTTP clients that send an order and look up its outcome.

The leader lease is checked immediately before the last byte of the request,
so that a receiver gets complete requests from the lease holder only.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol
from urllib.parse import quote

import aiohttp

from goldcrestyard.kernel.http_client import MAX_REPORT_BYTES, read_at_most
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

_PRINTABLE = "".join(map(chr, range(0x21, 0x7F)))


class OrderClient:
    """Sends each order over a new connection."""

    def __init__(
        self,
        connector: Connector,
        settings: OrderSettings,
        holds_lease: Callable[[], bool],
        sender: str,
    ) -> None:
        self._connector = connector
        self._settings = settings
        self._holds_lease = holds_lease
        self._sender = sender

    async def send(self, record: OrderRecord) -> SendOutcome:
        """Send an order and return the answer, or why there is none.

        Makes one attempt; the caller decides on a retry.
        """
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
        request = encode_request(record, self._sender)
        try:
            async with asyncio.timeout(self._settings.connect_seconds):
                await connection.send(request[:-1])
        except (OSError, TimeoutError) as error:
            return NotSent(f"connection lost: {error or 'timeout'}")
        # No await may come between the check and the last byte: the lease
        # could expire in between and another leader start to send.
        if not self._holds_lease():
            connection.abort()
            return LeaseLost()
        if not connection.send_last(request[-1:]):
            return NotSent("the socket did not accept the end of the request")
        try:
            async with asyncio.timeout(self._settings.answer_seconds):
                return await connection.read_answer()
        except (OSError, TimeoutError, MalformedAnswerError) as error:
            return NoAnswer(f"no complete answer: {error or 'timeout'}")


def encode_request(record: OrderRecord, sender: str) -> bytes:
    """Return an order as an HTTP request.

    The order id is the idempotency key; two headers carry the fencing token.
    """
    order = record.order
    # The ids of targets and models are part of order ids and paths.
    order_id, path = quote(order.id, _PRINTABLE), quote(order.path, _PRINTABLE)
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"host: {order.receiver.address}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(order.body)}\r\n"
        f"idempotency-key: {order_id}\r\n"
        f"x-fencing-term: {record.fence.term}\r\n"
        f"x-fencing-index: {record.fence.index}\r\n"
        f"{SENDER_HEADER}: {sender}\r\n"
        "connection: close\r\n"
        "\r\n"
    )
    return head.encode("ascii") + order.body


class LookUpClient(Protocol):
    """Asks receivers for the outcome of an order."""

    async def look_up(self, order: Order) -> OrderAnswer | NoAnswer:
        """Return the receiver's answer; 404 means it has no such order."""


class HttpLookUpClient:
    """Looks up orders over HTTP; a look-up is read-only and needs no lease."""

    def __init__(self, session: aiohttp.ClientSession, timeout_seconds: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def look_up(self, order: Order) -> OrderAnswer | NoAnswer:
        """Send ``GET`` to the order's look-up path."""
        url = f"http://{order.receiver.address}{order.look_up_path}"
        try:
            async with self._session.get(url, timeout=self._timeout) as response:
                body = await read_at_most(response, MAX_REPORT_BYTES)
                return OrderAnswer(response.status, body)
        except (aiohttp.ClientError, TimeoutError) as error:
            return NoAnswer(str(error) or "timeout")
