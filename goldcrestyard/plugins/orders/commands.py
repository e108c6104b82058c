"""Commands, records and snapshot of the orders slice."""

from dataclasses import dataclass
from typing import NewType

from goldcrestyard.core.ids import InstanceId, OrderId
from goldcrestyard.policy.orders import Fence, Guards, OrderState

ReceiverId = NewType("ReceiverId", str)
"""Names a receiver; its orders are sent one at a time, in log order."""


@dataclass(frozen=True, slots=True)
class Receiver:
    """Where an order goes and what the receiver does against repetition."""

    id: ReceiverId
    address: str
    guards: Guards = Guards()


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an outside system; the id is its idempotency key."""

    id: OrderId
    receiver: Receiver
    kind: str
    path: str
    body: bytes
    look_up_path: str = ""
    seconds_to_live: float = 300.0


@dataclass(frozen=True, slots=True)
class IntendOrders:
    """Orders that are to be sent; nothing is sent before this commits.

    All orders of one command get the same fencing number, so no two of them
    may go to one receiver.
    """

    orders: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class RenumberOrder:
    """Gives an open order the fencing number of this entry."""

    id: OrderId


@dataclass(frozen=True, slots=True)
class Settlement:
    """What became of an order."""

    id: OrderId
    state: OrderState
    detail: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class SettleOrders:
    """Records outcomes; an order that is settled already keeps its first."""

    settlements: tuple[Settlement, ...]


@dataclass(frozen=True, slots=True)
class TakeOverOrders:
    """A new leader begins to send.

    Its commit shows that the leader has applied every earlier entry.
    """

    sender: InstanceId


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """An order with its fencing number and what is known of it."""

    order: Order
    fence: Fence
    intended_at: float
    body_digest: str
    state: OrderState = OrderState.OPEN
    detail: str = ""
    answer: bytes = b""
    settled_at: float = 0.0


@dataclass(frozen=True, slots=True)
class OrdersSnapshot:
    """The whole slice."""

    open: tuple[OrderRecord, ...]
    settled: tuple[OrderRecord, ...]
    in_doubt: tuple[OrderRecord, ...]
    sender: InstanceId | None = None
