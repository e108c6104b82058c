"""Shows operators the orders, on control members."""

import hashlib
import hmac
from collections.abc import Iterable

from aiohttp import web

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders.commands import OrderRecord
from goldcrestyard.plugins.orders.slices import OrdersSlice

SHOWN_SETTLED = 200


class OrderViews:
    """Serves ``/operator/v1/orders``."""

    def __init__(self, member: ControlMember, operators: OperatorSettings) -> None:
        self._member = member
        self._orders = member.machine.get(OrdersSlice)
        self._operators = operators

    async def orders(self, request: web.Request) -> web.StreamResponse:
        """List the open orders, those in doubt and the latest outcomes."""
        if not is_operator(request, self._operators):
            return refuse(Refusal(RefusalReason.INVALID_KEY, "unknown operator key"))
        settled = list(self._orders.settled_by_id.values())[-SHOWN_SETTLED:]
        return json_answer(
            {
                "leads": self._member.is_leader,
                "sender": self._orders.sender,
                "open": _shown(self._orders.open_by_id.values()),
                "in_doubt": _shown(self._orders.in_doubt_by_id.values()),
                "settled": _shown(settled),
            }
        )


def is_operator(request: web.Request, operators: OperatorSettings) -> bool:
    """Return whether a request carries an operator's key."""
    _, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    return any(
        [
            hmac.compare_digest(digest, known.lower())
            for known in operators.key_sha256_by_name.values()
        ]
    )


def _shown(records: Iterable[OrderRecord]) -> list[dict[str, object]]:
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
