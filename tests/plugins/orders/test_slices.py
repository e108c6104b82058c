"""Tests of the orders slice.

They guard against an order that is recorded twice, an outcome that changes
after it was recorded, and state that grows without limit.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders import slices
from goldcrestyard.plugins.orders.commands import (
    IntendOrders,
    OrdersSnapshot,
    RenumberOrder,
    Settlement,
    SettleOrders,
)
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.policy.orders import Fence, OrderState
from goldcrestyard.state.commands import Accepted, Command, Rejected
from goldcrestyard.wire.codec import Codec
from tests.fakes.member import apply, machine_of
from tests.plugins.orders.receivers import order

ORDER_ID = OrderId("o1")


def intend(*ids: str, receiver: str = "r1", body: bytes = b"{}") -> IntendOrders:
    return IntendOrders(
        tuple(order(name, receiver=receiver, body=body) for name in ids)
    )


def settle(name: str, state: OrderState = OrderState.DONE) -> SettleOrders:
    return SettleOrders((Settlement(OrderId(name), state, "", b"a"),))


@dataclass(frozen=True)
class Case:
    """Commands, the outcome of the last one, and the state of ``o1``."""

    name: str
    commands: tuple[Command, ...]
    outcome: type
    state: OrderState | None
    fence_index: int = 1


CASES = [
    Case("intent_opens", (intend("o1"),), Accepted, OrderState.OPEN),
    Case("same_intent_again", (intend("o1"), intend("o1")), Accepted, OrderState.OPEN),
    Case(
        "other_body_is_refused",
        (intend("o1"), intend("o1", body=b"[]")),
        Rejected,
        OrderState.OPEN,
    ),
    Case(
        "settled_order_does_not_open_again",
        (intend("o1"), settle("o1"), intend("o1")),
        Accepted,
        OrderState.DONE,
    ),
    Case(
        "other_body_is_refused_after_the_outcome",
        (intend("o1"), settle("o1"), intend("o1", body=b"[]")),
        Rejected,
        OrderState.DONE,
    ),
    Case(
        "first_outcome_stays",
        (intend("o1"), settle("o1", OrderState.IN_DOUBT), settle("o1")),
        Accepted,
        OrderState.IN_DOUBT,
    ),
    Case(
        "renumbering_takes_the_new_index",
        (intend("o1"), RenumberOrder(ORDER_ID)),
        Accepted,
        OrderState.OPEN,
        2,
    ),
    Case(
        "settled_order_keeps_its_number",
        (intend("o1"), settle("o1"), RenumberOrder(ORDER_ID)),
        Rejected,
        OrderState.DONE,
    ),
    Case("unknown_settlement", (settle("o1"),), Accepted, None),
    Case("one_receiver_twice_in_a_command", (intend("o1", "o2"),), Rejected, None),
    Case("empty_body", (intend("o1", body=b""),), Rejected, None),
    Case("line_break_in_the_id", (intend("o1\r\nx: y"),), Rejected, None),
]


class OrdersSliceTests(unittest.TestCase):
    """State of the slice after commands and snapshots."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_commands(self, _: str, case: Case) -> None:
        machine = machine_of(OrdersSlice)
        for command in case.commands:
            applied = apply(machine, command, term=3)
        self.assertIsInstance(applied.outcome, case.outcome)
        record = machine.get(OrdersSlice).find(ORDER_ID)
        self.assertEqual(record.state if record else None, case.state)
        if record is not None:
            self.assertEqual(record.fence, Fence(3, case.fence_index))

    def test_history_is_bounded_and_doubt_is_kept_longer(self) -> None:
        """Guards against memory that grows with every order sent."""
        machine = machine_of(OrdersSlice)
        apply(machine, intend("doubtful"))
        apply(machine, settle("doubtful", OrderState.IN_DOUBT))
        for number in range(slices.MAX_SETTLED_ORDERS + 50):
            apply(machine, intend(f"o{number}"))
            apply(machine, settle(f"o{number}"))
        kept = machine.get(OrdersSlice)
        self.assertEqual(len(kept.settled_by_id), slices.MAX_SETTLED_ORDERS)
        self.assertEqual(list(kept.in_doubt_by_id), ["doubtful"])
        self.assertFalse(kept.open_by_id or kept.open_by_receiver)

    def test_snapshot_survives_the_codec(self) -> None:
        """Guards against orders lost in a restart from a snapshot."""
        machine = machine_of(OrdersSlice)
        apply(machine, intend("o1"))
        apply(machine, intend("o2", receiver="r2"))
        apply(machine, settle("o2"))
        apply(machine, intend("o3"))
        apply(machine, settle("o3", OrderState.IN_DOUBT))
        codec = Codec()
        codec.register(OrdersSnapshot)
        before = machine.get(OrdersSlice)
        after = OrdersSlice()
        after.load_snapshot(codec.decode(codec.encode(before.to_snapshot())))
        self.assertEqual(after.to_snapshot(), before.to_snapshot())
        self.assertEqual(after.open_by_receiver, before.open_by_receiver)
