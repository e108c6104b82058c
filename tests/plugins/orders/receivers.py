"""Fake receiver of orders, for tests on the paused clock."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders.commands import Order, Receiver, ReceiverId
from goldcrestyard.policy.orders import Guards, NoAnswer, OrderAnswer

STEP_SECONDS = 0.2


@dataclass
class FakeReceiver:
    """Takes complete requests and calls ``on_step`` at each step.

    The steps of a connection are ``connecting``, ``connected``, ``sending``,
    ``sent`` and ``answering``.
    """

    guards: Guards = Guards()
    on_step: Callable[[str], None] = lambda step: None
    lose_answers: int = 0
    """Number of orders to carry out without an answer."""
    silent_to: str = ""
    """Id of the only order that gets no answer; empty for any order."""
    fail_connections: int = 0
    answer: OrderAnswer = OrderAnswer(200, b"{}")
    requests: list[bytes] = field(default_factory=list)
    carried_out: list[str] = field(default_factory=list)
    refused_as_stale: list[str] = field(default_factory=list)
    looked_up: list[str] = field(default_factory=list)
    highest: tuple[int, int] = (0, 0)
    open_connections: int = 0
    most_connections: int = 0

    async def open(self, address: str) -> "FakeConnection":
        self.on_step("connecting")
        await asyncio.sleep(STEP_SECONDS)
        if self.fail_connections:
            self.fail_connections -= 1
            raise ConnectionRefusedError("refused")
        self.on_step("connected")
        self.open_connections += 1
        self.most_connections = max(self.most_connections, self.open_connections)
        return FakeConnection(self)

    def take(self, request: bytes) -> OrderAnswer | None:
        """Carry out a complete request; None stands for a lost answer."""
        self.requests.append(request)
        headers = headers_of(request)
        order_id = headers["idempotency-key"]
        fence = (int(headers["x-fencing-term"]), int(headers["x-fencing-index"]))
        known = order_id in self.carried_out
        repeated = self.guards.honours_keys and known
        if self.guards.checks_fencing and (
            fence < self.highest or (fence == self.highest and not repeated)
        ):
            self.refused_as_stale.append(order_id)
            term, index = self.highest
            body = f'{{"error": "stale_fencing", "highest": [{term}, {index}]}}'
            return OrderAnswer(409, body.encode())
        self.highest = max(self.highest, fence)
        if not repeated and self.answer.status < 300:
            self.carried_out.append(order_id)
        if self.lose_answers and self.silent_to in ("", order_id):
            self.lose_answers -= 1
            return None
        return self.answer

    async def look_up(self, order: Order) -> OrderAnswer | NoAnswer:
        self.looked_up.append(order.id)
        return OrderAnswer(200 if order.id in self.carried_out else 404, b"{}")


class FakeConnection:
    """A connection to a ``FakeReceiver``."""

    def __init__(self, receiver: FakeReceiver) -> None:
        self._receiver = receiver
        self._data = b""
        self._answer: OrderAnswer | None = None
        self._closed = False

    async def send(self, data: bytes) -> None:
        self._data += data
        self._receiver.on_step("sending")
        await asyncio.sleep(STEP_SECONDS)
        self._receiver.on_step("sent")

    def send_last(self, data: bytes) -> bool:
        self._answer = self._receiver.take(self._data + data)
        return True

    async def read_answer(self) -> OrderAnswer:
        self._receiver.on_step("answering")
        await asyncio.sleep(STEP_SECONDS)
        if self._answer is None:
            raise ConnectionResetError("reset")
        return self._answer

    def abort(self) -> None:
        if not self._closed:
            self._closed = True
            self._receiver.open_connections -= 1


def headers_of(request: bytes) -> dict[str, str]:
    """Return the headers of an encoded request."""
    head = request.split(b"\r\n\r\n")[0].decode()
    pairs = (line.split(": ", 1) for line in head.split("\r\n")[1:])
    return {name: value for name, value in pairs}


def order(
    order_id: str = "o1",
    guards: Guards = Guards(),  # noqa: B008 - immutable
    receiver: str = "r1",
    body: bytes = b"{}",
    seconds_to_live: float = 60.0,
) -> Order:
    """Return an order to a receiver."""
    return Order(
        OrderId(order_id),
        Receiver(ReceiverId(receiver), "127.0.0.1:1", guards),
        "test",
        "/orders",
        body,
        f"/orders/{order_id}",
        seconds_to_live,
    )
