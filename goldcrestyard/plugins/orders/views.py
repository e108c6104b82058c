"""Operator interface for orders, on control members."""

from collections.abc import Iterable

from aiohttp import web

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.operators.authorisation import (
    operator_of,
    unknown_operator,
)
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders.commands import OrderRecord
from goldcrestyard.plugins.orders.slices import OrdersSlice

MAX_LISTED_SETTLED_ORDERS = 200


class OrderViews:
    """Serves ``/operator/v1/orders``."""

    def __init__(self, member: ControlMember, operators: OperatorSettings) -> None:
        self._member = member
        self._orders = member.machine.get(OrdersSlice)
        self._operators = operators

    async def orders(self, request: web.Request) -> web.StreamResponse:
        """List the open orders, those in doubt and the latest settled ones."""
        if operator_of(request, self._operators) is None:
            return unknown_operator()
        settled = list(self._orders.settled_by_id.values())[-MAX_LISTED_SETTLED_ORDERS:]
        return json_answer(
            {
                "leads": self._member.is_leader,
                "sender": self._orders.sender,
                "open": _to_json(self._orders.open_by_id.values()),
                "in_doubt": _to_json(self._orders.in_doubt_by_id.values()),
                "settled": _to_json(settled),
            }
        )


def _to_json(records: Iterable[OrderRecord]) -> list[dict[str, object]]:
    return [
        {
            "id": record.order.id,
            "receiver": record.order.receiver.id,
            "kind": record.order.kind,
            "state": record.state.value,
            "fence": record.fence,
            "detail": record.detail,
            "answer": record.answer.decode(errors="replace"),
            "intended_at": record.intended_at,
            "settled_at": record.settled_at,
        }
        for record in records
    ]
