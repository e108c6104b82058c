"""The order outbox, through which other plug-ins have orders sent.

An order is first committed to the replicated log; the order sender on the
leader then delivers it.
"""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, ProposalResult
from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders.commands import IntendOrders, Order, OrderRecord
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.state.commands import Accepted


class OrderOutbox:
    """Commits orders for sending and returns their recorded state."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._orders = member.machine.get(OrdersSlice)

    async def place(self, *orders: Order, author: str = "") -> ProposalResult:
        """Commit orders; a repeated call with the same ids has no effect."""
        return await self._member.propose(IntendOrders(orders), author)

    def find(self, order_id: OrderId) -> OrderRecord | None:
        """Return an order that is open or in the history, else None."""
        return self._orders.find(order_id)


def was_committed(result: ProposalResult) -> bool:
    """Return whether the orders were committed, now or earlier."""
    return isinstance(result, Applied) and isinstance(result.outcome, Accepted)
