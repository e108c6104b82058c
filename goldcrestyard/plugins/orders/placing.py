"""Places orders: the one way for other plug-ins to have orders sent."""

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied, ProposalResult
from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders.commands import IntendOrders, Order, OrderRecord
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.state.commands import Accepted


class OrderDesk:
    """Commits intents and shows what became of them."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._orders = member.machine.get(OrdersSlice)

    async def place(self, *orders: Order, author: str = "") -> ProposalResult:
        """Commit intents; repeating them with the same ids is harmless."""
        return await self._member.propose(IntendOrders(orders), author)

    def find(self, order_id: OrderId) -> OrderRecord | None:
        """Return an order that is open or whose outcome is kept."""
        return self._orders.find(order_id)


def is_placed(result: ProposalResult) -> bool:
    """Return whether intents were committed, now or earlier."""
    return isinstance(result, Applied) and isinstance(result.outcome, Accepted)
