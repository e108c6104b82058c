"""Replicated state: usage in open windows, and the closed windows."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from goldcrestyard.core.ids import InstanceId, OrderId, OrganisationId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.orders.commands import IntendOrders, Order, SettleOrders
from goldcrestyard.plugins.usage.commands import (
    ClosedWindow,
    CloseWindow,
    EntrySequence,
    MeasuredUsage,
    RecordUsage,
    UsageLine,
    UsageSnapshot,
    WindowState,
)
from goldcrestyard.policy import usage_windows
from goldcrestyard.policy.orders import OrderState
from goldcrestyard.policy.usage_windows import WindowEnd
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_CLOSED_WINDOWS = 200
"""A week of windows of one hour."""
MAX_RUNS_PER_ENTRY = 4
"""Runs of an entry whose repeated records are detected.  An entry restarts
about once a day, and a record is repeated for minutes at most."""

REPORT_SECONDS_TO_LIVE = 7 * 24 * 3600.0
"""Reports still arrive if the usage interface is down over a weekend."""

UsageLineKey = tuple[OrganisationId, str, bool]


class UsageSlice(Slice):
    """Usage by window; the lines of a closed window never change."""

    name = "usage"
    commands = (RecordUsage, CloseWindow)

    def __init__(self) -> None:
        self.last_closed = WindowEnd(0)
        self.open_by_window: dict[WindowEnd, dict[UsageLineKey, UsageLine]] = {}
        self.closed_by_order: OrderedDict[OrderId, ClosedWindow] = OrderedDict()
        self._sequences_by_entry: dict[InstanceId, OrderedDict[str, int]] = {}

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case RecordUsage():
                return self._record(command, context)
            case CloseWindow():
                return self._close(command, context)
        raise TypeError(f"unexpected command {command!r}")

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Record the outcomes of the orders that report windows."""
        match command:
            case SettleOrders(settlements=settlements):
                for settlement in settlements:
                    self._settle(settlement.id, settlement.state, context.time)
            case IntendOrders(orders=orders) if isinstance(outcome, Rejected):
                for order in orders:
                    self._settle(order.id, OrderState.REFUSED, context.time)

    def _record(self, record: RecordUsage, context: CommandContext) -> Outcome:
        if record.window_seconds < 1:
            return Rejected(RefusalReason.BAD_REQUEST, "windows have no length")
        runs = self._sequences_by_entry.setdefault(record.entry, OrderedDict())
        if record.sequence <= runs.get(record.incarnation, 0):
            return Accepted()
        runs[record.incarnation] = record.sequence
        runs.move_to_end(record.incarnation)
        if len(runs) > MAX_RUNS_PER_ENTRY:
            runs.popitem(last=False)
        for measured in record.measured:
            placement = usage_windows.place_record(
                measured.window, self.last_closed, context.time, record.window_seconds
            )
            lines = measured.lines
            if placement.late:
                lines = tuple(replace(line, late=True) for line in lines)
            self._add_lines(placement.window, lines)
        return Accepted()

    def _add_lines(self, window: WindowEnd, lines: Iterable[UsageLine]) -> None:
        totals = self.open_by_window.setdefault(window, {})
        for line in lines:
            key = (line.organisation, line.name, line.late)
            known = totals.get(key)
            totals[key] = line if known is None else sum_lines(known, line)

    def _close(self, command: CloseWindow, context: CommandContext) -> Outcome:
        if command.window <= self.last_closed:
            return Accepted()
        totals: dict[UsageLineKey, UsageLine] = {}
        for window in sorted(w for w in self.open_by_window if w <= command.window):
            for key, line in self.open_by_window.pop(window).items():
                known = totals.get(key)
                totals[key] = line if known is None else sum_lines(known, line)
        self.last_closed = command.window
        lines = tuple(totals[key] for key in sorted(totals))
        order = to_report_order(command, lines)
        self.closed_by_order[order.id] = ClosedWindow(
            command.window,
            order.id,
            lines,
            WindowState.ORDERED if lines else WindowState.EMPTY,
            context.time,
        )
        if len(self.closed_by_order) > MAX_CLOSED_WINDOWS:
            self.closed_by_order.popitem(last=False)
        if lines:
            # The report is ordered by the same log entry that closes the
            # window, so neither is ever committed without the other.
            context.emit(IntendOrders((order,)))
        return Accepted()

    def _settle(self, order_id: OrderId, state: OrderState, time: float) -> None:
        closed = self.closed_by_order.get(order_id)
        if closed is None or closed.state is not WindowState.ORDERED:
            return
        settled = replace(closed, state=_window_state(state), settled_at=time)
        self.closed_by_order[order_id] = settled

    def to_snapshot(self) -> UsageSnapshot:
        """Return the windows and the last sequence numbers of the entries."""
        return UsageSnapshot(
            self.last_closed,
            tuple(
                MeasuredUsage(window, tuple(totals.values()))
                for window, totals in self.open_by_window.items()
            ),
            tuple(self.closed_by_order.values()),
            tuple(
                EntrySequence(entry, incarnation, sequence)
                for entry, runs in self._sequences_by_entry.items()
                for incarnation, sequence in runs.items()
            ),
        )

    def load_snapshot(self, snapshot: UsageSnapshot) -> None:
        """Replace all state by the snapshot's."""
        self.last_closed = snapshot.last_closed
        self.open_by_window = {}
        for measured in snapshot.open:
            self._add_lines(measured.window, measured.lines)
        self.closed_by_order = OrderedDict((c.order, c) for c in snapshot.closed)
        self._sequences_by_entry = {}
        for run in snapshot.sequences:
            runs = self._sequences_by_entry.setdefault(run.entry, OrderedDict())
            runs[run.incarnation] = run.sequence


def sum_lines(first: UsageLine, second: UsageLine) -> UsageLine:
    """Return the sum of two lines that have the same key."""
    return replace(
        first,
        attempts=first.attempts + second.attempts,
        tokens_in=first.tokens_in + second.tokens_in,
        tokens_out=first.tokens_out + second.tokens_out,
    )


def to_report_order(command: CloseWindow, lines: tuple[UsageLine, ...]) -> Order:
    """Return the order that reports a window."""
    order_id = OrderId(f"usage-{command.window}")
    body = {"window": order_id, "ends_at": command.window, "lines": lines}
    return Order(
        order_id,
        command.receiver,
        "usage_report",
        "/reports",
        msgspec.json.encode(body),
        look_up_path=f"/reports/{order_id}",
        seconds_to_live=REPORT_SECONDS_TO_LIVE,
    )


def _window_state(state: OrderState) -> WindowState:
    match state:
        case OrderState.DONE:
            return WindowState.REPORTED
        case OrderState.IN_DOUBT:
            return WindowState.IN_DOUBT
        case OrderState.REFUSED | OrderState.EXPIRED:
            return WindowState.REFUSED
        case OrderState.OPEN:
            return WindowState.ORDERED
