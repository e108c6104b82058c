"""Sender of the committed orders, active on the leader only.

A new leader waits for the quiet period, commits ``TakeOverOrders`` and then
runs one task for each receiver that has open orders.
"""

import asyncio
import random
from dataclasses import dataclass

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.orders.client import LookUpClient, OrderClient
from goldcrestyard.plugins.orders.commands import (
    OrderRecord,
    ReceiverId,
    RenumberOrder,
    Settlement,
    TakeOverOrders,
)
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settlements import SettlementBatcher
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

LEADERSHIP_POLL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Leadership:
    """A period during which this member leads."""

    term: Term
    started_at: float
    applied_at_start: LogIndex

    def began_after(self, fence: Fence) -> bool:
        """Return whether this period began after a token was issued.

        The order may then have been sent by an earlier leader, or by this
        member before a restart.
        """
        return fence.term < self.term or fence.index <= self.applied_at_start


@dataclass(slots=True)
class Delivery:
    """State of an order's delivery over its attempts."""

    record: OrderRecord
    maybe_sent: bool
    failures: int = 0


class OrderSender:
    """Sends the open orders while this member leads.

    Orders to one receiver are sent one at a time and in log order, so that
    the fencing tokens that a receiver sees only rise.
    """

    def __init__(
        self,
        member: ControlMember,
        client: OrderClient,
        look_up_client: LookUpClient,
        settlements: SettlementBatcher,
        clock: Clock,
        settings: OrderSettings,
    ) -> None:
        self._member = member
        self._orders = member.machine.get(OrdersSlice)
        self._client = client
        self._look_up_client = look_up_client
        self._settlements = settlements
        self._clock = clock
        self._settings = settings
        self._slots = asyncio.Semaphore(settings.concurrency)
        self._retry_budget = RetryBudget(share=0.2, reserve=20.0)
        self._orders_changed = asyncio.Event()
        self._tasks_by_receiver: dict[ReceiverId, asyncio.Task[None]] = {}
        member.machine.listen(self._on_applied)

    async def run(self) -> None:
        """Send orders whenever this member leads, until cancelled."""
        while True:
            if self._member.is_leader:
                await self._send_while_leading(
                    Leadership(
                        self._member.term,
                        self._member.leadership_started_at,
                        self._member.machine.applied_index,
                    )
                )
            await asyncio.sleep(LEADERSHIP_POLL_INTERVAL_SECONDS)

    async def _send_while_leading(self, leadership: Leadership) -> None:
        # By the end of the quiet period, bytes that the previous leader had
        # sent when it lost its lease have been delivered or dropped.
        quiet_until = leadership.started_at + self._settings.order_quiet_seconds
        while (remaining := quiet_until - self._clock.monotonic()) > 0:
            await asyncio.sleep(min(remaining, LEADERSHIP_POLL_INTERVAL_SECONDS))
            if not self._still_leads(leadership):
                return
        if not await self._commit(TakeOverOrders(self._member.instance), leadership):
            return
        logger.info("order sending started on the leader", term=leadership.term)
        settling = asyncio.create_task(self._settlements.run())
        try:
            while self._still_leads(leadership):
                self._orders_changed.clear()
                self._start_tasks(leadership)
                await self._wait_for_change()
        finally:
            tasks = [settling, *self._tasks_by_receiver.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._tasks_by_receiver.clear()
        logger.info("order sending stopped: leadership lost", term=leadership.term)

    def _still_leads(self, leadership: Leadership) -> bool:
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
                    self._send_to_receiver(receiver, leadership),
                    name=f"orders to {receiver}",
                )

    async def _wait_for_change(self) -> None:
        await wait_at_most(
            LEADERSHIP_POLL_INTERVAL_SECONDS, self._orders_changed.wait()
        )

    def _on_applied(self, entry: AppliedEntry) -> None:
        # Most log entries are claims of calls, thousands a second at peak, so
        # the sender wakes only while orders are open.
        if self._orders.open_by_id:
            self._orders_changed.set()

    async def _send_to_receiver(
        self, receiver: ReceiverId, leadership: Leadership
    ) -> None:
        """Send the open orders of a receiver, oldest first."""
        highest: Fence | None = None
        while records := self._orders.open_by_receiver.get(receiver):
            record = next(iter(records.values()))
            if highest is not None and record.fence < highest:
                # An earlier order was given a new fencing token during its
                # delivery, which is higher than the token of this order.
                renumbered = await self._renumber(record, leadership)
                if renumbered is None:
                    return
                record = renumbered
            settle = await self._deliver(record, leadership)
            if settle is None:
                return
            sent = self._orders.open_by_id.get(record.order.id)
            highest = sent.fence if sent is not None else highest
            await self._settlements.settle(
                Settlement(record.order.id, settle.state, settle.detail, settle.answer)
            )
            if settle.state is not OrderState.DONE:
                logger.warning(
                    "order settled without success",
                    order=record.order.id,
                    receiver=receiver,
                    state=settle.state.value,
                    detail=settle.detail,
                )

    async def _deliver(
        self, record: OrderRecord, leadership: Leadership
    ) -> Settle | None:
        """Deliver an order and return its outcome.

        Returns None if this member stops leading before there is one.
        """
        self._retry_budget.deposit()
        delivery = Delivery(record, leadership.began_after(record.fence))
        step = policy.first_step(record.order.receiver.guards, delivery.maybe_sent)
        while self._still_leads(leadership):
            match step:
                case Settle():
                    return step
                case _ if self._seconds_left(delivery) <= 0:
                    return policy.at_deadline(delivery.maybe_sent)
                case LeaveOpen():
                    await self._back_off(delivery)
                    await self._wait_for_lease(leadership)
                    guards = record.order.receiver.guards
                    step = policy.first_step(guards, delivery.maybe_sent)
                case Send(renumber=renumber):
                    if renumber:
                        renumbered = await self._renumber(delivery.record, leadership)
                        if renumbered is None:
                            return None
                        delivery.record = renumbered
                    step = await self._send(delivery)
                case LookUp():
                    step = await self._look_up(delivery)
        return None

    async def _wait_for_lease(self, leadership: Leadership) -> None:
        """Wait until this member holds the lease or stops leading."""
        while self._still_leads(leadership):
            if self._member.holds_lease():
                return
            await asyncio.sleep(LEADERSHIP_POLL_INTERVAL_SECONDS)

    async def _send(self, delivery: Delivery) -> NextStep:
        async with self._slots:
            outcome = await self._client.send(delivery.record)
        guards = delivery.record.order.receiver.guards
        progress = Progress(delivery.record.fence, delivery.maybe_sent)
        step = policy.after_outcome(outcome, guards, progress)
        match outcome:
            case policy.NoAnswer():
                delivery.maybe_sent = True
            case policy.OrderAnswer(status=status) if status >= 500 and status != 503:
                delivery.maybe_sent = True
        if isinstance(step, Send | LookUp):
            logger.info(
                "order attempt failed, retrying",
                order=delivery.record.order.id,
                outcome=str(outcome),
            )
            await self._back_off(delivery)
        return step

    async def _look_up(self, delivery: Delivery) -> NextStep:
        # While the request may still be in transit, "unknown order" would not
        # prove that it is never carried out.
        await asyncio.sleep(self._settings.order_quiet_seconds)
        step = policy.after_lookup(
            await self._look_up_client.look_up(delivery.record.order)
        )
        match step:
            case Send():
                delivery.maybe_sent = False
            case LookUp():
                await self._back_off(delivery)
        return step

    async def _back_off(self, delivery: Delivery) -> None:
        delivery.failures += 1
        delay = policy.RETRIES.delay_seconds(
            delivery.failures,
            random.random(),
            within_budget=self._retry_budget.withdraw(),
        )
        await asyncio.sleep(min(delay, max(0.0, self._seconds_left(delivery))))

    def _seconds_left(self, delivery: Delivery) -> float:
        record = delivery.record
        due = record.intended_at + record.order.seconds_to_live
        return due - self._clock.wall()

    async def _renumber(
        self, record: OrderRecord, leadership: Leadership
    ) -> OrderRecord | None:
        if not await self._commit(RenumberOrder(record.order.id), leadership):
            return None
        return self._orders.open_by_id.get(record.order.id)

    async def _commit(self, command: Command, leadership: Leadership) -> bool:
        """Propose a command until it commits; it may commit twice.

        Returns False if this member stops leading first.
        """
        while self._still_leads(leadership):
            result = await self._member.propose(command)
            if isinstance(result, Applied):
                return True
            await asyncio.sleep(LEADERSHIP_POLL_INTERVAL_SECONDS)
        return False
