"""Orders in the platform's format."""

import msgspec

from goldcrestyard.core.ids import DataCentre, OrderId, TargetId
from goldcrestyard.core.states import Rental
from goldcrestyard.plugins.orders.commands import (
    Order,
    OrderRecord,
    Receiver,
    ReceiverId,
)
from goldcrestyard.plugins.rentals.settings import RentalSettings
from goldcrestyard.policy.demand import (
    RentedTarget,
    StartTargets,
    StopTarget,
    TargetOrder,
)
from goldcrestyard.policy.orders import Guards

PLATFORM = ReceiverId("platform")
START_KIND = "start_targets"
STOP_KIND = "stop_target"


class _Body(msgspec.Struct, omit_defaults=True):
    order_id: str
    data_centre: str
    action: str
    rental: Rental | None = None
    count: int | None = None
    target: str | None = None


def receiver_of(settings: RentalSettings) -> Receiver:
    """Return the platform as a receiver of orders."""
    guards = Guards(
        settings.checks_fencing, settings.honours_keys, settings.can_look_up
    )
    return Receiver(PLATFORM, settings.address, guards)


def to_order(order: TargetOrder, order_id: OrderId, receiver: Receiver) -> Order:
    """Return an order for the order sender."""
    match order:
        case StartTargets(data_centre=data_centre, rental=rental, count=count):
            kind = START_KIND
            body = _Body(order_id, data_centre, "start", rental=rental, count=count)
        case StopTarget(target=target, data_centre=data_centre):
            kind = STOP_KIND
            body = _Body(order_id, data_centre, "stop", target=target)
    return Order(
        order_id,
        receiver,
        kind,
        "/orders",
        msgspec.json.encode(body),
        look_up_path=f"/orders/{order_id}",
    )


def started_by(record: OrderRecord) -> list[RentedTarget]:
    """Return the targets that an open order will start."""
    if record.order.kind != START_KIND:
        return []
    body = msgspec.json.decode(record.order.body, type=_Body)
    assert body.rental is not None
    return [
        RentedTarget(
            TargetId(f"{record.order.id}#{number}"),
            DataCentre(body.data_centre),
            body.rental,
            pending=True,
        )
        for number in range(body.count or 0)
    ]


def stopped_by(record: OrderRecord) -> TargetId | None:
    """Return the target that an open order stops."""
    if record.order.kind != STOP_KIND:
        return None
    target = msgspec.json.decode(record.order.body, type=_Body).target
    return TargetId(target) if target is not None else None
