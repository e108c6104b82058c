"""Keeps the rented targets in line with the demand, on the leader only."""

import asyncio
import uuid
from collections.abc import Callable, Sequence

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied, InDoubt
from goldcrestyard.core.ids import (
    DataCentre,
    OrderId,
    TargetId,
    Term,
)
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.orders.placing import OrderOutbox
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.rentals.client import (
    ListedTarget,
    PlatformClient,
    Unavailable,
)
from goldcrestyard.plugins.rentals.orders import (
    PLATFORM,
    receiver_of,
    started_by,
    stopped_by,
    to_order,
)
from goldcrestyard.plugins.rentals.settings import RentalSettings
from goldcrestyard.plugins.targets.commands import DrainTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy import demand as policy
from goldcrestyard.policy.demand import Demand, RentedTarget, StartTargets, StopTarget
from goldcrestyard.policy.orders import OrderState
from goldcrestyard.state.commands import Command

logger = structlog.get_logger(__name__)

RETRY_SECONDS = 0.2


class Planner:
    """Plans targets and places orders for them."""

    def __init__(
        self,
        member: ControlMember,
        outbox: OrderOutbox,
        client: PlatformClient,
        clock: Clock,
        settings: RentalSettings,
        demand: Callable[[], Demand | None],
    ) -> None:
        self._member = member
        self._outbox = outbox
        self._orders = member.machine.get(OrdersSlice)
        self._targets = member.machine.get(TargetsSlice)
        self._client = client
        self._clock = clock
        self._settings = settings
        self._demand = demand
        self._term: Term | None = None
        self._state = policy.PlannerState()
        self._draining_since_by_id: dict[TargetId, float] = {}
        self._unavailable_until: dict[tuple[DataCentre, Rental], float] = {}
        self._reclaimed_until: dict[DataCentre, float] = {}
        self._watched: dict[OrderId, StartTargets] = {}

    async def run(self) -> None:
        """Plan at intervals while this member leads."""
        while True:
            await asyncio.sleep(self._settings.plan_seconds)
            if self._member.holds_lease():
                await self.plan_once()

    async def watch_notices(self) -> None:
        """Drain targets as soon as their reclaim is announced."""
        while True:
            await asyncio.sleep(self._settings.notice_seconds)
            if not self._member.holds_lease():
                continue
            notices = await self._client.notices()
            if isinstance(notices, Unavailable):
                continue
            for notice in notices:
                await self._reclaim(notice.data_centre)

    async def plan_once(self) -> None:
        """Fetch the rented targets, plan and place the orders."""
        if self._term != self._member.term:
            # What an earlier period of leadership remembered is out of date.
            self._term = self._member.term
            self._state = policy.PlannerState()
            self._watched.clear()
            self._draining_since_by_id.clear()
        listed = await self._client.targets()
        demand = self._demand()
        if isinstance(listed, Unavailable):
            logger.warning("platform did not list its targets", detail=listed.detail)
            return
        self._note_refusals()
        now = self._clock.monotonic()
        plan = policy.plan_capacity(
            demand or Demand(),
            self._rented(listed),
            self._terms(now),
            self._limits(),
            {place for place, until in self._unavailable_until.items() if now < until},
            self._state,
            now,
        )
        # While the demand is not known the minimum is kept, and nothing counts
        # as unneeded.
        self._state = plan.state if demand is not None else policy.PlannerState()
        if plan.denied:
            logger.warning("bounds or the platform deny targets", count=plan.denied)
        for order in plan.orders:
            match order:
                case StartTargets():
                    await self._place(order)
                case StopTarget(target=target) if demand is not None:
                    self._draining_since_by_id[target] = now
        await self._stop_drained(listed, now)

    def _rented(self, listed: Sequence[ListedTarget]) -> list[RentedTarget]:
        open_orders = self._orders.open_by_receiver.get(PLATFORM, {}).values()
        leaving = {stopped_by(record) for record in open_orders}
        leaving |= self._draining_since_by_id.keys()
        now = self._clock.monotonic()
        rented = [
            RentedTarget(
                target.id,
                target.data_centre,
                target.rental,
                leaving=target.id in leaving
                or (
                    target.rental is Rental.RECLAIMABLE
                    and now < self._reclaimed_until.get(target.data_centre, 0.0)
                ),
            )
            for target in listed
        ]
        for record in open_orders:
            rented.extend(started_by(record))
        return rented

    def _terms(self, now: float) -> list[policy.RentalTerms]:
        return [
            policy.RentalTerms(
                DataCentre(name),
                terms.on_demand_price,
                terms.reclaimable_price,
                1.0
                if now < self._reclaimed_until.get(DataCentre(name), 0.0)
                else terms.reclaim_risk,
            )
            for name, terms in self._settings.terms_by_data_centre.items()
        ]

    def _limits(self) -> policy.CapacityLimits:
        return policy.CapacityLimits(
            min_on_demand=self._settings.min_on_demand,
            spend_per_hour=self._settings.spend_per_hour,
            requests_per_target=self._settings.requests_per_target,
            max_starts=self._settings.max_starts,
            stop_after_seconds=self._settings.stop_after_seconds,
        )

    def _note_refusals(self) -> None:
        """Remember where the platform had no targets."""
        until = self._clock.monotonic() + self._settings.unavailable_seconds
        for order_id, order in list(self._watched.items()):
            record = self._outbox.find(order_id)
            if record is None or record.state is not OrderState.OPEN:
                del self._watched[order_id]
            if record is not None and record.state is OrderState.REFUSED:
                self._unavailable_until[order.data_centre, order.rental] = until

    async def _place(self, order: policy.TargetOrder) -> None:
        order_id = OrderId(uuid.uuid4().hex)
        intent = to_order(order, order_id, receiver_of(self._settings))
        # A proposal in doubt is repeated under its id: a new id could commit
        # beside it and start the targets twice.
        while self._member.is_leader:
            result = await self._outbox.place(intent)
            if not isinstance(result, InDoubt):
                break
            await asyncio.sleep(RETRY_SECONDS)
        if isinstance(order, StartTargets):
            self._watched[order_id] = order
        logger.info("target order placed", order=order_id, what=str(order))

    async def _stop_drained(self, listed: Sequence[ListedTarget], now: float) -> None:
        listed_by_id = {target.id: target for target in listed}
        for target_id, since in list(self._draining_since_by_id.items()):
            target = listed_by_id.get(target_id)
            if target is None:
                del self._draining_since_by_id[target_id]
                continue
            known = self._targets.find(target_id)
            if known is not None and known.state is TargetState.READY:
                await self._propose(DrainTarget(target_id, known.incarnation))
            if known is None or now - since >= self._settings.drain_seconds:
                del self._draining_since_by_id[target_id]
                await self._place(StopTarget(target_id, target.data_centre))

    async def _reclaim(self, data_centre: DataCentre) -> None:
        until = self._clock.monotonic() + self._settings.unavailable_seconds
        self._reclaimed_until[data_centre] = until
        for homed in list(self._targets.homed_by_id.values()):
            target = homed.target
            if (
                target.data_centre == data_centre
                and target.rental is Rental.RECLAIMABLE
                and target.state is TargetState.READY
            ):
                logger.warning("target is being reclaimed", target=target.id)
                await self._propose(DrainTarget(target.id, target.incarnation))

    async def _propose(self, command: Command) -> bool:
        result = await self._member.propose(command)
        return isinstance(result, Applied)
