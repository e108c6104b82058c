"""Commands, records and snapshot of the orders slice."""

from dataclasses import dataclass
from typing import NewType

from goldcrestyard.core.ids import InstanceId, OrderId
from goldcrestyard.policy.orders import Fence, Guards, OrderState

ReceiverId = NewType("ReceiverId", str)
"""Id of a receiver, whose orders are sent one at a time, in log order."""


@dataclass(frozen=True, slots=True)
class Receiver:
    """An external system, with its protection against duplicate orders."""

    id: ReceiverId
    address: str
    guards: Guards = Guards()


@dataclass(frozen=True, slots=True)
class Order:
    """A command to an external system; the id is its idempotency key."""

    id: OrderId
    receiver: Receiver
    kind: str
    path: str
    body: bytes
    look_up_path: str = ""
    seconds_to_live: float = 300.0


@dataclass(frozen=True, slots=True)
class IntendOrders:
    """Records orders to be sent; none is sent before this command commits.

    All orders of one command get the same fencing token, so no two of them
    may have the same receiver.
    """

    orders: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class RenumberOrder:
    """Replaces the fencing token of an open order by a new one.

    The new token is the term and index of this command's log entry.
    """

    id: OrderId


@dataclass(frozen=True, slots=True)
class Settlement:
    """Outcome of an order."""

    id: OrderId
    state: OrderState
    detail: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class SettleOrders:
    """Records outcomes; an order that is already settled is left unchanged."""

    settlements: tuple[Settlement, ...]


@dataclass(frozen=True, slots=True)
class TakeOverOrders:
    """Records that a new leader sends the orders from now on.

    Once it commits, the leader has applied every earlier log entry.
    """

    sender: InstanceId


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """An order with its fencing token, state and outcome."""

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
    """Snapshot of the orders slice."""

    open: tuple[OrderRecord, ...]
    settled: tuple[OrderRecord, ...]
    in_doubt: tuple[OrderRecord, ...]
    sender: InstanceId | None = None
