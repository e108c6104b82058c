"""Autoscaler: the leader rents targets for the items that trainers submit.

Items come in bursts, one for each training step, so the demand is the largest
number of open items within a sliding window.  Orders state the total number
of targets to have, so that a repeated order has no further effect.
"""

import asyncio
import math
from collections import Counter, deque
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import DataCentre, ServiceName
from goldcrestyard.core.serving import RentalBounds, ServedService
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.fleet.duties import Permit, permit_of
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.jobs.shares import job_share
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.rental_counts import (
    EngineCounts,
    spread_targets,
    wanted_targets,
)

logger = structlog.get_logger(__name__)

DEMAND_CHECK_INTERVAL_SECONDS = 0.5
FIRST_HEARTBEATS_SECONDS = 2.0
"""Time in seconds within which a new leader receives a heartbeat from each
target, which takes one heartbeat interval.  Before then, running targets would
be ordered again."""

START_GRACE_SECONDS = 3.0
"""Time in seconds, added to the usual start time of a target, after which an
order whose target has not sent a heartbeat is sent again."""

CAPACITY_RETRY_SECONDS = 5.0
"""Pause in seconds before the next order to a data centre without capacity."""

DEMAND_WINDOW_SECONDS = 30.0
"""Length in seconds of the window over which the peak number of open items is
taken.  Trainers submit every few seconds, so it spans several steps."""


class RentalOutcome(Enum):
    """Result of sending a rental order."""

    ACCEPTED = "accepted"
    EXHAUSTED = "exhausted"
    """The data centre has no capacity left."""
    UNKNOWN = "unknown"
    """The order may have been carried out; it can be sent again."""


@dataclass(frozen=True, slots=True)
class RentalOrder:
    """Asks for ``count`` targets in total, including those already rented."""

    service: ServiceName
    data_centre: DataCentre
    count: int


class RentalApi(Protocol):
    """Client of the platform's rental interface, provided by its adapter."""

    async def rent(self, order: RentalOrder, permit: Permit) -> RentalOutcome:
        """Send an order once, if the permit still holds."""
        ...


class RentalAutoscaler:
    """Orders missing targets from the platform while this member leads."""

    def __init__(
        self,
        member: ControlMember,
        api: RentalApi,
        quiet_seconds: float,
        clock: Clock,
    ) -> None:
        self._member = member
        self._api = api
        self._quiet_seconds = quiet_seconds
        self._clock = clock
        self._targets = member.machine.get(TargetsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._jobs = member.machine.get(JobsSlice)
        self._evacuations = member.machine.get(EvacuationsSlice)
        self._demand_samples: deque[tuple[float, dict[ServiceName, int]]] = deque()
        self._ordered_at_by_place: dict[tuple[ServiceName, DataCentre], float] = {}
        self._exhausted_until_by_place: dict[tuple[ServiceName, DataCentre], float] = {}

    async def run(self) -> None:
        """Order missing targets until cancelled.

        The first order waits until the previous leader has stopped acting and
        until all targets have sent a heartbeat to this one.
        """
        await asyncio.sleep(self._quiet_seconds + FIRST_HEARTBEATS_SECONDS)
        while True:
            self._record_demand()
            table = self._serving.table
            for service in table.config.services if table is not None else ():
                await self._order_missing_targets(service)
            await asyncio.sleep(DEMAND_CHECK_INTERVAL_SECONDS)

    def _record_demand(self) -> None:
        now = self._clock.monotonic()
        table = self._serving.table
        items_by_service = {
            service.name: math.ceil(
                sum(
                    (state.size - len(state.results))
                    * job_share(self._serving, state.job, service.name)
                    for state in self._jobs.open_jobs()
                )
            )
            for service in (table.config.services if table is not None else ())
        }
        self._demand_samples.append((now, items_by_service))
        while self._demand_samples[0][0] < now - DEMAND_WINDOW_SECONDS:
            self._demand_samples.popleft()

    async def _order_missing_targets(self, service: ServedService) -> None:
        if service.rental is None or service.engine is None:
            return
        now = self._clock.monotonic()
        present = self._count_targets(service.name)
        peak_items = max(
            items.get(service.name, 0) for _, items in self._demand_samples
        )
        counts = spread_targets(
            wanted_targets(peak_items, service.engine.slots),
            self._bounds_outside_evacuations(service.rental),
            present,
            {
                data_centre
                for (name, data_centre), until in self._exhausted_until_by_place.items()
                if name == service.name and now < until
            },
        )
        wait_seconds = service.rental.start_seconds + START_GRACE_SECONDS
        for data_centre, count in counts.items():
            key = (service.name, data_centre)
            have = present.get(data_centre, EngineCounts()).on_demand
            waited = now - self._ordered_at_by_place.get(key, float("-inf"))
            if count <= have or waited < wait_seconds:
                continue
            self._ordered_at_by_place[key] = now
            await self._send_order(RentalOrder(service.name, data_centre, count), have)

    def _bounds_outside_evacuations(self, bounds: RentalBounds) -> RentalBounds:
        """Return bounds without the data centres that are evacuated."""
        return replace(
            bounds,
            prices_by_data_centre={
                data_centre: price
                for data_centre, price in bounds.prices_by_data_centre.items()
                if data_centre not in self._evacuations.evacuated
            },
        )

    async def _send_order(self, order: RentalOrder, have: int) -> None:
        if (
            not self._member.holds_lease()
            or order.data_centre in self._evacuations.evacuated
        ):
            return
        permit = permit_of(self._member)
        outcome = await self._api.rent(order, permit)
        logger.info(
            "rental order sent",
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            have=have,
            fence=permit.fence,
            outcome=outcome.value,
        )
        key = (order.service, order.data_centre)
        if outcome is RentalOutcome.EXHAUSTED:
            now = self._clock.monotonic()
            self._exhausted_until_by_place[key] = now + CAPACITY_RETRY_SECONDS
        if outcome is not RentalOutcome.ACCEPTED:
            del self._ordered_at_by_place[key]

    def _count_targets(self, service: ServiceName) -> dict[DataCentre, EngineCounts]:
        counted: Counter[tuple[DataCentre, Rental]] = Counter()
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            if (
                target.state is TargetState.READY
                and service in target.serves
                and target.data_centre not in self._evacuations.evacuated
            ):
                counted[target.data_centre, target.rental] += 1
        return {
            data_centre: EngineCounts(
                counted[data_centre, Rental.ON_DEMAND],
                counted[data_centre, Rental.RECLAIMABLE],
            )
            for data_centre, _ in list(counted)
        }
