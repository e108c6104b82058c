"""Subjects of the audit records of the commands on orders.

Orders that were carried out are omitted, because weight loads on 930 engines
every 9 minutes would push everything else out of the audit trail.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders.commands import (
    IntendOrders,
    SettleOrders,
    TakeOverOrders,
)
from goldcrestyard.policy.orders import OrderState


def intended(command: IntendOrders) -> str:
    """Return the ids of the orders to be sent."""
    return _format_ids([order.id for order in command.orders])


def settled(command: SettleOrders) -> str:
    """Return the ids of the orders refused, expired or in doubt."""
    return _format_ids(
        [
            settlement.id
            for settlement in command.settlements
            if settlement.state is not OrderState.DONE
        ]
    )


def taken_over(command: TakeOverOrders) -> str:
    """Return the id of the leader that takes over sending."""
    return f"sender/{command.sender}"


AUDITED: Mapping[type, Callable[[Any], str]] = {
    IntendOrders: intended,
    SettleOrders: settled,
    TakeOverOrders: taken_over,
}


def _format_ids(ids: Sequence[OrderId]) -> str:
    if not ids:
        return ""
    more = f" and {len(ids) - 1} more" if len(ids) > 1 else ""
    return f"order/{ids[0]}{more}"
