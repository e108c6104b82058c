"""The order sender: one task for each receiver, on the leader only."""

import asyncio
import random
from dataclasses import dataclass

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.orders.client import LookUps, OrderClient
from goldcrestyard.plugins.orders.commands import (
    OrderRecord,
    ReceiverId,
    RenumberOrder,
    Settlement,
    TakeOverOrders,
)
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settling import Settler
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.policy import orders as policy
from goldcrestyard.policy.orders import (
    Fence,
    LeaveOpen,
    LookUp,
    NextStep,
    OrderState,
    Progress,
    Send,
    Settle,
)
from goldcrestyard.policy.retries import RetryBudget
from goldcrestyard.state.commands import AppliedEntry, Command

logger = structlog.get_logger(__name__)

LEADERSHIP_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Leadership:
    """One period in which this member leads."""

    term: Term
    started_at: float
    applied_at_start: LogIndex

    def inherits(self, fence: Fence) -> bool:
        """Return whether an earlier leader or process may have sent."""
        return fence.term < self.term or fence.index <= self.applied_at_start


@dataclass(slots=True)
class Attempt:
    """An order on its way through the attempts."""

    record: OrderRecord
    maybe_sent: bool
    failures: int = 0


class OrderSender:
    """Sends the open orders while this member leads.

    Orders to one receiver go one at a time and in the order of the log, so
    that the numbers a receiver sees only rise.
    """

    def __init__(
        self,
        member: ControlMember,
        client: OrderClient,
        look_ups: LookUps,
        settler: Settler,
        clock: Clock,
        settings: OrderSettings,
    ) -> None:
        self._member = member
        self._orders = member.machine.get(OrdersSlice)
        self._client = client
        self._look_ups = look_ups
        self._settler = settler
        self._clock = clock
        self._settings = settings
        self._slots = asyncio.Semaphore(settings.concurrency)
        self._budget = RetryBudget(share=0.2, reserve=20.0)
        self._changed = asyncio.Event()
        self._tasks_by_receiver: dict[ReceiverId, asyncio.Task[None]] = {}
        member.machine.listen(self._on_applied)

    async def run(self) -> None:
        """Send whenever this member leads."""
        while True:
            if self._member.is_leader:
                await self._lead(
                    Leadership(
                        self._member.term,
                        self._member.leadership_started_at,
                        self._member.machine.applied_index,
                    )
                )
            await asyncio.sleep(LEADERSHIP_POLL_SECONDS)

    async def _lead(self, leadership: Leadership) -> None:
        # Bytes that the previous leader had sent when it lost its lease are
        # delivered or dropped by the end of this time.
        quiet_until = leadership.started_at + self._settings.order_quiet_seconds
        while (remaining := quiet_until - self._clock.monotonic()) > 0:
            await asyncio.sleep(min(remaining, LEADERSHIP_POLL_SECONDS))
            if not self._leads(leadership):
                return
        if not await self._commit(TakeOverOrders(self._member.instance), leadership):
            return
        logger.info("orders are sent from here", term=leadership.term)
        settling = asyncio.create_task(self._settler.run())
        try:
            while self._leads(leadership):
                self._changed.clear()
                self._start_tasks(leadership)
                await self._wait_for_change()
        finally:
            tasks = [settling, *self._tasks_by_receiver.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._tasks_by_receiver.clear()
        logger.info("orders are no longer sent from here", term=leadership.term)

    def _leads(self, leadership: Leadership) -> bool:
        return (
            self._member.is_leader
            and self._member.term == leadership.term
            and self._member.leadership_started_at == leadership.started_at
        )

    def _start_tasks(self, leadership: Leadership) -> None:
        for receiver, task in list(self._tasks_by_receiver.items()):
            if task.done():
                del self._tasks_by_receiver[receiver]
                task.result()
        for receiver in self._orders.open_by_receiver:
            if receiver not in self._tasks_by_receiver:
                self._tasks_by_receiver[receiver] = asyncio.create_task(
                    self._serve(receiver, leadership), name=f"orders to {receiver}"
                )

    async def _wait_for_change(self) -> None:
        await wait_at_most(LEADERSHIP_POLL_SECONDS, self._changed.wait())

    def _on_applied(self, entry: AppliedEntry) -> None:
        # Most entries are claims of calls, thousands a second at peak.
        if self._orders.open_by_id:
            self._changed.set()

    async def _serve(self, receiver: ReceiverId, leadership: Leadership) -> None:
        """Carry out the open orders of a receiver, oldest first."""
        highest: Fence | None = None
        while records := self._orders.open_by_receiver.get(receiver):
            record = next(iter(records.values()))
            if highest is not None and record.fence < highest:
                # An earlier order took a new number on the way, which is
                # above the one that this order got when it was committed.
                renumbered = await self._renumber(record, leadership)
                if renumbered is None:
                    return
                record = renumbered
            settle = await self._carry_out(record, leadership)
            if settle is None:
                return
            sent = self._orders.open_by_id.get(record.order.id)
            highest = sent.fence if sent is not None else highest
            await self._settler.settle(
                Settlement(record.order.id, settle.state, settle.detail, settle.answer)
            )
            if settle.state is not OrderState.DONE:
                logger.warning(
                    "order was not carried out",
                    order=record.order.id,
                    receiver=receiver,
                    state=settle.state.value,
                    detail=settle.detail,
                )

    async def _carry_out(
        self, record: OrderRecord, leadership: Leadership
    ) -> Settle | None:
        """Return the outcome, or None if this member is not in charge."""
        self._budget.deposit()
        attempt = Attempt(record, leadership.inherits(record.fence))
        step = policy.first_step(record.order.receiver.guards, attempt.maybe_sent)
        while self._leads(leadership):
            match step:
                case Settle():
                    return step
                case _ if self._seconds_left(attempt) <= 0:
                    return policy.at_deadline(attempt.maybe_sent)
                case LeaveOpen():
                    await self._pause(attempt)
                    await self._wait_for_lease(leadership)
                    guards = record.order.receiver.guards
                    step = policy.first_step(guards, attempt.maybe_sent)
                case Send(renumber=renumber):
                    if renumber:
                        renumbered = await self._renumber(attempt.record, leadership)
                        if renumbered is None:
                            return None
                        attempt.record = renumbered
                    step = await self._send(attempt)
                case LookUp():
                    step = await self._look_up(attempt)
        return None

    async def _wait_for_lease(self, leadership: Leadership) -> None:
        """Wait while the lease has lapsed, perhaps only for a moment."""
        while self._leads(leadership):
            if self._member.holds_lease():
                return
            await asyncio.sleep(LEADERSHIP_POLL_SECONDS)

    async def _send(self, attempt: Attempt) -> NextStep:
        async with self._slots:
            outcome = await self._client.send(attempt.record)
        guards = attempt.record.order.receiver.guards
        progress = Progress(attempt.record.fence, attempt.maybe_sent)
        step = policy.after_outcome(outcome, guards, progress)
        match outcome:
            case policy.NoAnswer():
                attempt.maybe_sent = True
            case policy.OrderAnswer(status=status) if status >= 500 and status != 503:
                attempt.maybe_sent = True
        if isinstance(step, Send | LookUp):
            logger.info(
                "order is tried again",
                order=attempt.record.order.id,
                outcome=str(outcome),
            )
            await self._pause(attempt)
        return step

    async def _look_up(self, attempt: Attempt) -> NextStep:
        # A request that is still under way would make "unknown" wrong.
        await asyncio.sleep(self._settings.order_quiet_seconds)
        step = policy.after_lookup(await self._look_ups.look_up(attempt.record.order))
        match step:
            case Send():
                attempt.maybe_sent = False
            case LookUp():
                await self._pause(attempt)
        return step

    async def _pause(self, attempt: Attempt) -> None:
        attempt.failures += 1
        delay = policy.RETRIES.delay_seconds(
            attempt.failures,
            random.random(),
            within_budget=self._budget.withdraw(),
        )
        await asyncio.sleep(min(delay, max(0.0, self._seconds_left(attempt))))

    def _seconds_left(self, attempt: Attempt) -> float:
        record = attempt.record
        due = record.intended_at + record.order.seconds_to_live
        return due - self._clock.wall()

    async def _renumber(
        self, record: OrderRecord, leadership: Leadership
    ) -> OrderRecord | None:
        if not await self._commit(RenumberOrder(record.order.id), leadership):
            return None
        return self._orders.open_by_id.get(record.order.id)

    async def _commit(self, command: Command, leadership: Leadership) -> bool:
        """Commit a command that may commit twice; False if not leading."""
        while self._leads(leadership):
            result = await self._member.propose(command)
            if isinstance(result, Applied):
                return True
            await asyncio.sleep(LEADERSHIP_POLL_SECONDS)
        return False
