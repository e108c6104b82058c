"""Capacity planner for rented targets, active on the leader only.

At each interval it compares the platform's list of targets with the demand
and places orders that start or stop targets.  A target is drained before it
is stopped, and at once if the platform announces its reclaim.
"""

import asyncio
import uuid
from collections.abc import Callable, Sequence

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, InDoubt
from goldcrestyard.core.ids import (
    DataCentre,
    OrderId,
    TargetId,
    Term,
)
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.rentals.client import (
    ListedTarget,
    PlatformClient,
    Unavailable,
)
from goldcrestyard.plugins.rentals.orders import (
    PLATFORM_RECEIVER,
    platform_receiver,
    target_stopped_by,
    targets_started_by,
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

PROPOSAL_RETRY_INTERVAL_SECONDS = 0.2


class CapacityPlanner:
    """Adjusts the number of rented targets to the demand."""

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
        self._planner_state = policy.PlannerState()
        self._draining_since_by_id: dict[TargetId, float] = {}
        self._unavailable_until_by_offer: dict[tuple[DataCentre, Rental], float] = {}
        self._reclaimed_until_by_data_centre: dict[DataCentre, float] = {}
        self._placed_starts_by_id: dict[OrderId, StartTargets] = {}

    async def run(self) -> None:
        """Plan at each interval while this member holds the leader lease."""
        while True:
            await asyncio.sleep(self._settings.plan_seconds)
            if self._member.holds_lease():
                await self.plan_once()

    async def watch_notices(self) -> None:
        """Poll the reclaim notices and drain the targets they concern."""
        while True:
            await asyncio.sleep(self._settings.notice_seconds)
            if not self._member.holds_lease():
                continue
            notices = await self._client.notices()
            if isinstance(notices, Unavailable):
                continue
            for notice in notices:
                await self._drain_reclaimable_targets(notice.data_centre)

    async def plan_once(self) -> None:
        """Fetch the rented targets, plan the capacity and place the orders."""
        if self._term != self._member.term:
            # State from an earlier leadership of this member is out of date.
            self._term = self._member.term
            self._planner_state = policy.PlannerState()
            self._placed_starts_by_id.clear()
            self._draining_since_by_id.clear()
        listed = await self._client.targets()
        demand = self._demand()
        if isinstance(listed, Unavailable):
            logger.warning(
                "target list unavailable, planning skipped", detail=listed.detail
            )
            return
        self._record_refusals()
        now = self._clock.monotonic()
        plan = policy.plan_capacity(
            demand or Demand(),
            self._rented(listed),
            self._terms(now),
            self._limits(),
            {
                offer
                for offer, until in self._unavailable_until_by_offer.items()
                if now < until
            },
            self._planner_state,
            now,
        )
        # While the demand is unknown, the plan only keeps the minimum number
        # of targets, and no target counts as surplus.
        self._planner_state = (
            plan.state if demand is not None else policy.PlannerState()
        )
        if plan.denied:
            logger.warning(
                "too few targets: limit reached or none available", count=plan.denied
            )
        for order in plan.orders:
            match order:
                case StartTargets():
                    await self._place_order(order)
                case StopTarget(target=target) if demand is not None:
                    self._draining_since_by_id[target] = now
        await self._stop_drained(listed, now)

    def _rented(self, listed: Sequence[ListedTarget]) -> list[RentedTarget]:
        open_orders = self._orders.open_by_receiver.get(PLATFORM_RECEIVER, {}).values()
        leaving = {target_stopped_by(record) for record in open_orders}
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
                    and now
                    < self._reclaimed_until_by_data_centre.get(target.data_centre, 0.0)
                ),
            )
            for target in listed
        ]
        for record in open_orders:
            rented.extend(targets_started_by(record))
        return rented

    def _terms(self, now: float) -> list[policy.RentalTerms]:
        return [
            policy.RentalTerms(
                DataCentre(name),
                terms.on_demand_price,
                terms.reclaimable_price,
                1.0
                if now < self._reclaimed_until_by_data_centre.get(DataCentre(name), 0.0)
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

    def _record_refusals(self) -> None:
        """Record the data centres and rental kinds without free targets."""
        until = self._clock.monotonic() + self._settings.unavailable_seconds
        for order_id, order in list(self._placed_starts_by_id.items()):
            record = self._outbox.find(order_id)
            if record is None or record.state is not OrderState.OPEN:
                del self._placed_starts_by_id[order_id]
            if record is not None and record.state is OrderState.REFUSED:
                self._unavailable_until_by_offer[order.data_centre, order.rental] = (
                    until
                )

    async def _place_order(self, order: policy.TargetOrder) -> None:
        order_id = OrderId(uuid.uuid4().hex)
        platform_order = to_order(order, order_id, platform_receiver(self._settings))
        # A proposal in doubt is repeated under the same id: with a new id
        # both could commit, and the targets would be started twice.
        while self._member.is_leader:
            result = await self._outbox.place(platform_order)
            if not isinstance(result, InDoubt):
                break
            await asyncio.sleep(PROPOSAL_RETRY_INTERVAL_SECONDS)
        if isinstance(order, StartTargets):
            self._placed_starts_by_id[order_id] = order
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
                await self._place_order(StopTarget(target_id, target.data_centre))

    async def _drain_reclaimable_targets(self, data_centre: DataCentre) -> None:
        until = self._clock.monotonic() + self._settings.unavailable_seconds
        self._reclaimed_until_by_data_centre[data_centre] = until
        for homed in list(self._targets.homed_by_id.values()):
            target = homed.target
            if (
                target.data_centre == data_centre
                and target.rental is Rental.RECLAIMABLE
                and target.state is TargetState.READY
            ):
                logger.warning("reclaim announced, draining target", target=target.id)
                await self._propose(DrainTarget(target.id, target.incarnation))

    async def _propose(self, command: Command) -> bool:
        result = await self._member.propose(command)
        return isinstance(result, Applied)
