"""Replicated state: the open orders and the latest outcomes."""

import hashlib
import re
from collections import OrderedDict
from dataclasses import replace

from goldcrestyard.core.ids import InstanceId, OrderId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.orders.commands import (
    IntendOrders,
    Order,
    OrderRecord,
    OrdersSnapshot,
    ReceiverId,
    RenumberOrder,
    Settlement,
    SettleOrders,
    TakeOverOrders,
)
from goldcrestyard.policy.orders import Fence, OrderState
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_SETTLED_ORDERS = 8192
"""Enough for four rollouts to 930 engines, with two orders for each."""
MAX_ORDERS_IN_DOUBT = 1024
MAX_STORED_ANSWER_BYTES = 4096

_HEADER_SAFE_TEXT = re.compile(r"[!-~]{1,256}")
"""Ids, paths and addresses are written into the head of an HTTP request, so
spaces and line breaks are not allowed."""


class OrdersSlice(Slice):
    """Orders by id, with a bounded history of outcomes.

    A repeated order is recognised until its outcome leaves the history.
    """

    name = "orders"
    commands = (IntendOrders, RenumberOrder, SettleOrders, TakeOverOrders)

    def __init__(self) -> None:
        self.open_by_receiver: dict[ReceiverId, dict[OrderId, OrderRecord]] = {}
        self.open_by_id: dict[OrderId, OrderRecord] = {}
        self.settled_by_id: OrderedDict[OrderId, OrderRecord] = OrderedDict()
        self.in_doubt_by_id: OrderedDict[OrderId, OrderRecord] = OrderedDict()
        self.sender: InstanceId | None = None

    def find(self, order_id: OrderId) -> OrderRecord | None:
        """Return an order that is open or in the history, else None."""
        return (
            self.open_by_id.get(order_id)
            or self.settled_by_id.get(order_id)
            or self.in_doubt_by_id.get(order_id)
        )

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case IntendOrders(orders=orders):
                return self._intend(orders, context)
            case RenumberOrder(id=order_id):
                return self._renumber(order_id, context)
            case SettleOrders(settlements=settlements):
                for settlement in settlements:
                    self._settle(settlement, context)
                return Accepted()
            case TakeOverOrders(sender=sender):
                self.sender = sender
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def _intend(self, orders: tuple[Order, ...], context: CommandContext) -> Outcome:
        if len({order.receiver.id for order in orders}) < len(orders):
            detail = "two orders of one command have the same receiver"
            return Rejected(RefusalReason.BAD_REQUEST, detail)
        for order in orders:
            texts = (order.id, order.path, order.receiver.address)
            if not order.body or not all(map(_HEADER_SAFE_TEXT.fullmatch, texts)):
                detail = f"order {order.id!r} cannot be sent over HTTP"
                return Rejected(RefusalReason.BAD_REQUEST, detail)
            known = self.find(order.id)
            if known is not None and known.body_digest != digest_of(order.body):
                detail = f"order {order.id} is known with another body"
                return Rejected(RefusalReason.CONFLICT, detail)
        for order in orders:
            if self.find(order.id) is None:
                fence = Fence(context.term, context.index)
                digest = digest_of(order.body)
                self._open(OrderRecord(order, fence, context.time, digest))
        return Accepted()

    def _renumber(self, order_id: OrderId, context: CommandContext) -> Outcome:
        record = self.open_by_id.get(order_id)
        if record is None:
            return Rejected(RefusalReason.NOT_FOUND, f"order {order_id} is not open")
        self._open(replace(record, fence=Fence(context.term, context.index)))
        return Accepted()

    def _open(self, record: OrderRecord) -> None:
        order = record.order
        self.open_by_id[order.id] = record
        self.open_by_receiver.setdefault(order.receiver.id, {})[order.id] = record

    def _settle(self, settlement: Settlement, context: CommandContext) -> None:
        record = self.open_by_id.pop(settlement.id, None)
        if record is None:
            return
        receiver = record.order.receiver.id
        records_by_id = self.open_by_receiver[receiver]
        del records_by_id[settlement.id]
        if not records_by_id:
            del self.open_by_receiver[receiver]
        settled = replace(
            record,
            order=replace(record.order, body=b""),
            state=settlement.state,
            detail=settlement.detail,
            answer=settlement.answer[:MAX_STORED_ANSWER_BYTES],
            settled_at=context.time,
        )
        if settled.state is OrderState.IN_DOUBT:
            _store_bounded(self.in_doubt_by_id, settled, MAX_ORDERS_IN_DOUBT)
        else:
            _store_bounded(self.settled_by_id, settled, MAX_SETTLED_ORDERS)

    def to_snapshot(self) -> OrdersSnapshot:
        """Return the open orders, the outcomes and the current sender."""
        return OrdersSnapshot(
            tuple(self.open_by_id.values()),
            tuple(self.settled_by_id.values()),
            tuple(self.in_doubt_by_id.values()),
            self.sender,
        )

    def load_snapshot(self, snapshot: OrdersSnapshot) -> None:
        """Replace all state by the snapshot's."""
        self.open_by_id = {}
        self.open_by_receiver = {}
        for record in snapshot.open:
            self._open(record)
        self.settled_by_id = OrderedDict((r.order.id, r) for r in snapshot.settled)
        self.in_doubt_by_id = OrderedDict((r.order.id, r) for r in snapshot.in_doubt)
        self.sender = snapshot.sender


def digest_of(body: bytes) -> str:
    """Return the SHA-256 of an order's body in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def _store_bounded(
    records_by_id: OrderedDict[OrderId, OrderRecord],
    record: OrderRecord,
    max_records: int,
) -> None:
    records_by_id[record.order.id] = record
    if len(records_by_id) > max_records:
        records_by_id.popitem(last=False)
