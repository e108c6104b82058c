"""The leader rents targets for the waves of items that trainers submit."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.ids import DataCentre, ServiceName, Term
from goldcrestyard.core.serving import ServedService
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.rental_counts import Present, spread, wanted_targets

logger = structlog.get_logger(__name__)

CHECK_SECONDS = 0.5
SETTLE_SECONDS = 2.0
"""A new leader has heard all targets after one interval of heartbeats."""

PATIENCE_SECONDS = 3.0
"""How much longer than its start a target may take to appear before the order
is sent again."""

EXHAUSTED_SECONDS = 5.0
"""How long a data centre without targets to rent is not asked again."""

WAVE_SECONDS = 30.0
"""The largest wave of this time counts: trainers submit every few seconds."""


class RentalOutcome(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    EXHAUSTED = "exhausted"
    """There are none to be had in the data centre."""
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RentalOrder:
    """Asks for a number of targets in all, not for more targets."""

    service: ServiceName
    data_centre: DataCentre
    count: int


class RentalApi(Protocol):
    """Rents targets; the adapter of a platform provides it."""

    async def rent(self, order: RentalOrder, fence: Term) -> RentalOutcome:
        """Send an order once."""
        ...


class RentalKeeper:
    """Orders targets while this member leads."""

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
        self._waves: deque[tuple[float, int]] = deque()
        self._ordered_at: dict[tuple[ServiceName, DataCentre], float] = {}
        self._exhausted_until: dict[tuple[ServiceName, DataCentre], float] = {}

    async def run(self) -> None:
        """Order what is missing, for one time of leading."""
        await asyncio.sleep(self._quiet_seconds + SETTLE_SECONDS)
        while True:
            self._note_wave()
            table = self._serving.table
            for service in table.config.services if table is not None else ():
                await self._order_missing(service)
            await asyncio.sleep(CHECK_SECONDS)

    def _note_wave(self) -> None:
        now = self._clock.monotonic()
        items = sum(state.size - len(state.results) for state in self._jobs.open_jobs())
        self._waves.append((now, items))
        while self._waves[0][0] < now - WAVE_SECONDS:
            self._waves.popleft()

    async def _order_missing(self, service: ServedService) -> None:
        if service.rental is None or service.engine is None:
            return
        now = self._clock.monotonic()
        present = self._present(service.name)
        wave = max(items for _, items in self._waves)
        counts = spread(
            wanted_targets(wave, service.engine.slots),
            service.rental,
            present,
            {
                data_centre
                for (name, data_centre), until in self._exhausted_until.items()
                if name == service.name and now < until
            },
        )
        wait_seconds = service.rental.start_seconds + PATIENCE_SECONDS
        for data_centre, count in counts.items():
            key = (service.name, data_centre)
            have = present.get(data_centre, Present()).on_demand
            waited = now - self._ordered_at.get(key, float("-inf"))
            if count <= have or waited < wait_seconds:
                continue
            self._ordered_at[key] = now
            await self._order(RentalOrder(service.name, data_centre, count), have)

    async def _order(self, order: RentalOrder, have: int) -> None:
        if not self._member.holds_lease():
            return
        outcome = await self._api.rent(order, self._member.term)
        logger.info(
            "targets ordered",
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            have=have,
            fence=self._member.term,
            outcome=outcome.value,
        )
        key = (order.service, order.data_centre)
        if outcome is RentalOutcome.EXHAUSTED:
            now = self._clock.monotonic()
            self._exhausted_until[key] = now + EXHAUSTED_SECONDS
        if outcome is not RentalOutcome.ACCEPTED:
            del self._ordered_at[key]

    def _present(self, service: ServiceName) -> dict[DataCentre, Present]:
        counted: Counter[tuple[DataCentre, Rental]] = Counter()
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            if target.state is TargetState.READY and service in target.serves:
                counted[target.data_centre, target.rental] += 1
        return {
            data_centre: Present(
                counted[data_centre, Rental.ON_DEMAND],
                counted[data_centre, Rental.RECLAIMABLE],
            )
            for data_centre, _ in list(counted)
        }
