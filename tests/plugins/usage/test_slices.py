"""Tests of the usage slice.

They guard against totals that change after their window was closed, and
against usage that is counted twice or not at all.
"""

import unittest
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from parameterized import parameterized

from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders.commands import (
    Receiver,
    ReceiverId,
    Settlement,
    SettleOrders,
)
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.usage import slices
from goldcrestyard.plugins.usage.commands import (
    CloseWindow,
    MeasuredUsage,
    RecordUsage,
    UsageLine,
    UsageSnapshot,
    WindowState,
)
from goldcrestyard.plugins.usage.slices import UsageSlice
from goldcrestyard.policy.orders import OrderState
from goldcrestyard.state.commands import Command
from goldcrestyard.wire.codec import Codec
from tests.fakes.member import apply, machine_of

RECEIVER = Receiver(ReceiverId("usage"), "127.0.0.1:1")
FIRST, SECOND = 10, 20


def record(
    tokens: int,
    sequence: int = 1,
    window: int = FIRST,
    entry: str = "e1",
    incarnation: str = "i1",
) -> RecordUsage:
    line = UsageLine("tejo", "lm", 1, 2 * tokens, tokens)
    measured = MeasuredUsage(window, (line,))
    return RecordUsage(entry, incarnation, sequence, 10, (measured,))


def close(window: int = FIRST) -> CloseWindow:
    return CloseWindow(window, RECEIVER)


@dataclass(frozen=True)
class Case:
    """Commands with their times, and the tokens reported by window.

    Tokens of lines that are marked late have a minus sign.
    """

    name: str
    commands: Sequence[tuple[float, Command]]
    reported: dict[int, list[int]]


CASES = [
    Case(
        "records_add_up",
        [(1, record(5)), (2, record(7, 2)), (3, record(1, entry="e2")), (12, close())],
        {FIRST: [13]},
    ),
    Case(
        "repeated_record_counts_once",
        [(1, record(5)), (2, record(5)), (12, close())],
        {FIRST: [5]},
    ),
    Case(
        "older_repetition_counts_once",
        [(1, record(5)), (2, record(7, 2)), (3, record(5)), (12, close())],
        {FIRST: [12]},
    ),
    Case(
        "restarted_entry_counts_again",
        [(1, record(5)), (2, record(7, 1, incarnation="i2")), (12, close())],
        {FIRST: [12]},
    ),
    Case(
        "record_of_the_earlier_run_counts_once",
        [
            (1, record(5)),
            (2, record(7, 1, incarnation="i2")),
            (3, record(5)),
            (12, close()),
        ],
        {FIRST: [12]},
    ),
    Case(
        "record_after_the_close_is_late",
        [(1, record(5)), (12, close()), (13, record(7, 2)), (22, close(SECOND))],
        {FIRST: [5], SECOND: [-7]},
    ),
    Case(
        "repetition_after_the_close_changes_nothing",
        [(1, record(5)), (12, close()), (13, record(5)), (22, close(SECOND))],
        {FIRST: [5], SECOND: []},
    ),
    Case(
        "late_and_timely_records_stand_apart",
        [
            (12, close()),
            (13, record(7, 1, FIRST)),
            (14, record(3, 2, SECOND)),
            (22, close(SECOND)),
        ],
        {FIRST: [], SECOND: [3, -7]},
    ),
    Case(
        "second_close_changes_nothing",
        [(1, record(5)), (12, close()), (13, close())],
        {FIRST: [5]},
    ),
    Case(
        "close_of_an_earlier_window_changes_nothing",
        [(1, record(5)), (22, close(SECOND)), (23, close(FIRST))],
        {SECOND: [5]},
    ),
    Case(
        "record_of_a_clock_ahead_is_not_held_back",
        [(1, record(5, window=90_000)), (12, close())],
        {FIRST: [5]},
    ),
]


class UsageSliceTests(unittest.TestCase):
    """Totals and reports of closed windows."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_reports(self, _: str, case: Case) -> None:
        machine = machine_of(OrdersSlice, UsageSlice)
        for time, command in case.commands:
            apply(machine, command, time=time)
        usage, orders = machine.get(UsageSlice), machine.get(OrdersSlice)
        reported = {
            closed.window: [
                -line.tokens_out if line.late else line.tokens_out
                for line in closed.lines
            ]
            for closed in usage.closed_by_order.values()
        }
        self.assertEqual(reported, case.reported)
        for closed in usage.closed_by_order.values():
            ordered = orders.find(closed.order)
            self.assertEqual(ordered is not None, bool(closed.lines))
            if ordered is not None:
                body = msgspec.json.decode(ordered.order.body)
                lines = msgspec.convert(body["lines"], tuple[UsageLine, ...])
                self.assertEqual(lines, closed.lines)

    @parameterized.expand(
        [
            (OrderState.DONE, WindowState.REPORTED),
            (OrderState.IN_DOUBT, WindowState.IN_DOUBT),
            (OrderState.REFUSED, WindowState.REFUSED),
            (OrderState.EXPIRED, WindowState.REFUSED),
        ]
    )
    def test_outcome_is_shown(self, state: OrderState, expected: WindowState) -> None:
        """Guards against a report in doubt that operators do not see."""
        machine = machine_of(OrdersSlice, UsageSlice)
        apply(machine, record(5), time=1)
        apply(machine, close(), time=12)
        order = OrderId("usage-10")
        settle = SettleOrders((Settlement(order, state, ""),))
        apply(machine, settle, time=13)
        closed = machine.get(UsageSlice).closed_by_order[order]
        self.assertIs(closed.state, expected)

    def test_history_is_bounded(self) -> None:
        """Guards against memory that grows with every window."""
        machine = machine_of(OrdersSlice, UsageSlice)
        for number in range(1, slices.MAX_CLOSED_WINDOWS + 20):
            apply(machine, close(number * 10), time=number * 10.0)
            apply(machine, record(1, incarnation=f"i{number}"), time=number * 10.0)
        usage = machine.get(UsageSlice)
        self.assertEqual(len(usage.closed_by_order), slices.MAX_CLOSED_WINDOWS)
        self.assertEqual(len(usage.to_snapshot().sequences), slices.MAX_RUNS_PER_ENTRY)

    def test_snapshot_survives_the_codec(self) -> None:
        """Guards against usage counted twice after a restart."""
        machine = machine_of(OrdersSlice, UsageSlice)
        apply(machine, record(5), time=1)
        apply(machine, close(), time=12)
        apply(machine, record(7, 2, SECOND), time=13)
        codec = Codec()
        codec.register(UsageSnapshot)
        snapshot = machine.get(UsageSlice).to_snapshot()
        machine.get(UsageSlice).load_snapshot(codec.decode(codec.encode(snapshot)))
        self.assertEqual(machine.get(UsageSlice).to_snapshot(), snapshot)
        apply(machine, record(7, 2, SECOND), time=14)
        self.assertEqual(machine.get(UsageSlice).to_snapshot(), snapshot)
