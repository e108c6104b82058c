"""Start order of waiting items, from the replicated jobs and the engines."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import structlog

from goldcrestyard.core.ids import GroupId, JobId, OrganisationId
from goldcrestyard.core.jobs import ItemOutcome, Job
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.jobs.engine_notes import EngineNotes
from goldcrestyard.fleet.jobs.item_services import ItemServices
from goldcrestyard.fleet.jobs.pending import Charge, PendingItem, find_route, group_of
from goldcrestyard.fleet.jobs.slices import JobsSlice, JobState
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.item_order import (
    MAX_WAIT_SECONDS,
    ItemOrder,
    OpenItem,
    OpenJob,
    Pool,
    PoolCapacity,
    StartOrder,
)
from goldcrestyard.policy.job_schedule import (
    EngineSlots,
    EngineTrust,
    ItemKey,
    WaitingItem,
)
from goldcrestyard.state.machine import StateMachine

logger = structlog.get_logger(__name__)

UPDATE_SECONDS = 0.2
"""Time in seconds between two computations of the order while the jobs stay
the same.  A group takes a second or more."""

UPDATE_SECONDS_PER_ITEM = 0.0004
"""Least time in seconds between two computations for each waiting item.  One
took 4 or 5 microseconds an item on a busy machine and 11 to 14 when short, so
1% to 3.5% of a core; steps of thousands of items take minutes."""

LEAST_URGENCY = 9
"""Largest number of an urgency that has a label of its own."""


class JobOrdering:
    """Arranges waiting items, and records what organisations receive."""

    def __init__(
        self,
        machine: StateMachine,
        notes: EngineNotes,
        pending_by_key: Mapping[ItemKey, PendingItem],
        services: ItemServices,
        metrics: FleetMetrics,
        clock: Clock,
    ) -> None:
        """Create an ordering with the oldest job first."""
        self._jobs = machine.get(JobsSlice)
        self._serving = machine.get(ServingSlice)
        self._notes = notes
        self._pending_by_key = pending_by_key
        self._services = services
        self._metrics = metrics
        self._clock = clock
        self._order = ItemOrder()
        self._updated_at = float("-inf")
        self._ordered_jobs: tuple[JobId, ...] = ()

    def arrange(
        self, items: Sequence[WaitingItem], engines: Iterable[EngineSlots]
    ) -> list[WaitingItem]:
        """Return the items that may start, in the order in which they start.

        ``items`` come with the oldest job first.
        """
        if not items:
            self.clear_metrics()
            return []
        now = self._clock.monotonic()
        capacity_by_pool = _capacities(engines)
        jobs = self._jobs.open_jobs()
        ids = tuple(state.job.id for state in jobs)
        interval = max(UPDATE_SECONDS, len(items) * UPDATE_SECONDS_PER_ITEM)
        if ids != self._ordered_jobs or now >= self._updated_at + interval:
            self._ordered_jobs, self._updated_at = ids, now
            self._update(jobs, capacity_by_pool, now)
        overdue = (
            frozenset[ItemKey]()
            if all(capacity.is_half_full for capacity in capacity_by_pool.values())
            else {item.key for item in items if self._is_overdue(item.key, now)}
        )
        return self._order.arrange(items, overdue, capacity_by_pool)

    def clear_metrics(self) -> None:
        """Report that no item waits."""
        self._report((), 0)

    def note_start(self, pending: PendingItem, job: Job, events: float) -> None:
        """Record that an item with so many expected events starts."""
        route = find_route(self._serving, job, pending.item)
        if route is None:
            return
        pending.charge = Charge(_organisation(job), self._urgency(job, route), events)
        self._record(pending.charge, events)

    def note_end(self, pending: PendingItem, events: int) -> None:
        """Replace the expected events of a run by those that it generated."""
        if pending.charge is not None:
            self._record(pending.charge, events - pending.charge.events)
            pending.charge = None

    def _record(self, charge: Charge, events: float) -> None:
        self._order.served.note_start(
            charge.organisation, charge.urgency, events, self._clock.monotonic()
        )

    def _is_overdue(self, key: ItemKey, now: float) -> bool:
        return now >= self._pending_by_key[key].waits_since + MAX_WAIT_SECONDS

    def _urgency(self, job: Job, route: ServingRoute) -> int:
        table = self._serving.table
        return 0 if table is None else table.urgency(route, job.organisation)

    def _update(
        self,
        states: Iterable[JobState],
        capacity_by_pool: Mapping[Pool, PoolCapacity],
        now: float,
    ) -> None:
        jobs = [job for state in states for job in self._open_jobs(state)]
        for change in self._order.update(jobs, capacity_by_pool, now):
            logger.info(
                "start order of items changed",
                service=change.pool.service,
                model=change.pool.model,
                order=change.order.value,
                load=round(change.load, 2),
            )
        self._report(jobs, self._order.orders()[StartOrder.WHOLE_GROUPS])

    def _report(self, jobs: Sequence[OpenJob], short_pools: int) -> None:
        by_urgency: Counter[int] = Counter()
        by_organisation: Counter[OrganisationId] = Counter()
        for job in jobs:
            count = sum(not item.running for item in job.items)
            by_urgency[min(job.urgency, LEAST_URGENCY)] += count
            by_organisation[job.organisation] += count
        for urgency in range(LEAST_URGENCY + 1):
            self._metrics.waiting_items.labels(str(urgency)).set(by_urgency[urgency])
        waiting = [count for count in by_organisation.values() if count]
        self._metrics.waiting_organisations.set(len(waiting))
        self._metrics.most_waiting_items.set(max(waiting, default=0))
        self._metrics.short_pools.set(short_pools)

    def _open_jobs(self, state: JobState) -> list[OpenJob]:
        """Return the parts of a job, one for each pool."""
        items_by_pool: dict[Pool, list[OpenItem]] = {}
        route_by_pool: dict[Pool, ServingRoute] = {}
        ended: Counter[GroupId] = Counter()
        failed: set[GroupId] = set()
        open_groups: set[GroupId] = set()
        expires_at = due_at = None
        for item in state.job.items:
            group = group_of(item)
            position = state.positions_by_item.get(item.id)
            if position is not None:
                ended[group] += 1
                if state.results[position].outcome is ItemOutcome.ERRORED:
                    failed.add(group)
                continue
            pending = self._pending_by_key.get(ItemKey(state.job.id, item.id))
            if pending is None:
                continue
            open_groups.add(group)
            expires_at, due_at = pending.expires_at, pending.due_at
            if pending.task is not None and pending.engine is None:
                # It is being scored or listed.
                ended[group] += 1
                continue
            route = find_route(self._serving, state.job, item)
            if route is None:
                continue
            service = self._services.run_service(state.job, pending, route)
            pool = Pool(service, item.model)
            route_by_pool[pool] = route
            items_by_pool.setdefault(pool, []).append(
                OpenItem(
                    pending.key,
                    group,
                    self._notes.lengths.remaining_events(
                        item.model,
                        item.estimated_tokens,
                        len(pending.transcript.events),
                    ),
                    pending.engine is not None,
                )
            )
        complete = len(ended.keys() - open_groups - failed)
        return [
            OpenJob(
                state.job.id,
                pool,
                _organisation(state.job),
                self._urgency(state.job, route_by_pool[pool]),
                due_at,
                expires_at or 0.0,
                state.job.wanted_groups,
                items,
                complete,
                frozenset(failed),
                ended,
            )
            for pool, items in items_by_pool.items()
        ]


def _organisation(job: Job) -> OrganisationId:
    return job.organisation or OrganisationId("")


def _capacities(engines: Iterable[EngineSlots]) -> dict[Pool, PoolCapacity]:
    """Return the capacity of the engines that have some version of a model."""
    slots: Counter[Pool] = Counter()
    in_use: Counter[Pool] = Counter()
    rates: dict[Pool, float] = {}
    for engine in engines:
        if engine.refuses or engine.trust is EngineTrust.AVOIDED:
            continue
        count = engine.slots if engine.trust is EngineTrust.TRUSTED else 1
        pace = engine.seconds_per_event
        for model in engine.versions_by_model:
            pool = Pool(engine.service, model)
            slots[pool] += count
            in_use[pool] += engine.in_use
            rates[pool] = rates.get(pool, 0.0) + (count / pace if pace > 0.0 else 0.0)
    return {
        pool: PoolCapacity(slots[pool], in_use[pool], rates[pool]) for pool in slots
    }
