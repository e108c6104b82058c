"""Conversion between planned target orders and the platform's format."""

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

PLATFORM_RECEIVER = ReceiverId("platform")
START_KIND = "start_targets"
STOP_KIND = "stop_target"


class _OrderBody(msgspec.Struct, omit_defaults=True):
    order_id: str
    data_centre: str
    action: str
    rental: Rental | None = None
    count: int | None = None
    target: str | None = None


def platform_receiver(settings: RentalSettings) -> Receiver:
    """Return the platform's address and guards as a receiver of orders."""
    guards = Guards(
        settings.checks_fencing, settings.honours_keys, settings.can_look_up
    )
    return Receiver(PLATFORM_RECEIVER, settings.address, guards)


def to_order(order: TargetOrder, order_id: OrderId, receiver: Receiver) -> Order:
    """Return a planned start or stop as an order to the platform."""
    match order:
        case StartTargets(data_centre=data_centre, rental=rental, count=count):
            kind = START_KIND
            body = _OrderBody(
                order_id, data_centre, "start", rental=rental, count=count
            )
        case StopTarget(target=target, data_centre=data_centre):
            kind = STOP_KIND
            body = _OrderBody(order_id, data_centre, "stop", target=target)
    return Order(
        order_id,
        receiver,
        kind,
        "/orders",
        msgspec.json.encode(body),
        look_up_path=f"/orders/{order_id}",
    )


def targets_started_by(record: OrderRecord) -> list[RentedTarget]:
    """Return the pending targets of an open start order.

    Their ids are made up, as the platform has not assigned any yet.
    """
    if record.order.kind != START_KIND:
        return []
    body = msgspec.json.decode(record.order.body, type=_OrderBody)
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


def target_stopped_by(record: OrderRecord) -> TargetId | None:
    """Return the target of an open stop order; None for other orders."""
    if record.order.kind != STOP_KIND:
        return None
    target = msgspec.json.decode(record.order.body, type=_OrderBody).target
    return TargetId(target) if target is not None else None
