"""Start order of job items that compete for too few slots.

Load: the steps of several trainers need more engine time than there is until
they are due.  A step is credited by whole groups, so texts that all end a
little late are worth little, and a step that can no longer succeed delays
those behind it.

While all groups of a pool of engines can end in time, the oldest job comes
first and its longest item, as that ends a step soonest.  Otherwise whole
groups start one after another: first those that end before they are due, up to
the number that the trainer waits for, then those that end before they expire,
then the rest.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple, TypeVar

from goldcrestyard.core.ids import (
    GroupId,
    JobId,
    ModelName,
    OrganisationId,
    ServiceName,
)
from goldcrestyard.policy.fairness import DecayingCounts, TokenUse
from goldcrestyard.policy.job_schedule import ItemKey, WaitingItem

K = TypeVar("K")

SHORT_LOAD = 0.95
"""Share of the engines' time until the due times from which the work does not
fit.  Simulated steps that take turns at 28 to 48 slots never had fewer whole
groups than with the oldest job first at 0.95; at 0.9 two of 12 had, of those
that just fit."""

ENOUGH_LOAD = 0.75
"""Share of the engines' time below which all fits again.  The load of a step
varies by about a tenth with the estimates of its texts."""

MIN_ORDER_SECONDS = 1.0
"""Time in seconds for which whole groups come first at least, a quarter of the
usual time between two steps."""

MIN_SERVED_SHARE = 0.4
"""Share of the average at which a kind of job or an organisation goes first.
None may be served less than a quarter as often as all; a started item is not
always a complete group, hence the margin."""

EQUAL_SHARE_TOLERANCE = 1.25
"""Multiple of an equal share of the use up to which organisations of equal
urgency go by due time.  Alternating between jobs at each group would let both
end late."""

MAX_WAIT_SECONDS = 4.0
"""Time in seconds without an engine after which an item goes first while the
engines are under half full.  The platform allows no item to be without an
engine for 5 s."""

HALF_FULL = 0.5


class Pool(NamedTuple):
    """The engines that compete for the same items: a service and a model."""

    service: ServiceName
    model: ModelName


class StartOrder(Enum):
    """Which items of a pool start first."""

    OLDEST_JOB_FIRST = "oldest job first"
    """The oldest job, and of it the longest item."""
    WHOLE_GROUPS = "whole groups"
    """One group after another, those that end in time first."""


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """The slots of a pool's ready engines, and their pace."""

    slots: int
    in_use: int
    events_per_second: float
    """Events that all slots together generate; 0 if no pace is known."""

    @property
    def seconds_per_event(self) -> float:
        """Mean time between two events of a slot."""
        return self.slots / self.events_per_second

    @property
    def is_half_full(self) -> bool:
        """Return whether at least half of the slots are in use."""
        return self.in_use >= HALF_FULL * self.slots


NO_CAPACITY = PoolCapacity(0, 0, 0.0)


@dataclass(frozen=True, slots=True)
class OpenItem:
    """An item that has not ended."""

    key: ItemKey
    group: GroupId
    remaining_events: float
    running: bool = False


@dataclass(frozen=True, slots=True)
class OpenJob:
    """The part of a job that runs in one pool."""

    id: JobId
    pool: Pool
    organisation: OrganisationId
    urgency: int
    """0 is the highest."""
    due_at: float | None
    """Time by which the job's groups count in full; None if it has none."""
    expires_at: float
    wanted_groups: int
    """Number of complete groups that the trainer waits for; 0 for all."""
    items: Sequence[OpenItem]
    complete_groups: int = 0
    failed_groups: frozenset[GroupId] = frozenset()
    """Groups with an errored item, which can't become complete."""
    ended_by_group: Mapping[GroupId, int] = field(default_factory=dict)

    @property
    def ends_by(self) -> float:
        """Time by which the groups that the trainer waits for should end."""
        return self.expires_at if self.due_at is None else self.due_at

    @property
    def missing_groups(self) -> int:
        """Number of groups that the trainer still waits for."""
        open_groups = {item.group for item in self.items}
        total = self.complete_groups + len(open_groups | self.failed_groups)
        wanted = min(self.wanted_groups or total, total)
        return max(0, wanted - self.complete_groups)


@dataclass(frozen=True, slots=True)
class OrderChange:
    """A change of a pool's order, for the log."""

    pool: Pool
    order: StartOrder
    load: float
    """Share of the engines' time until the due times that the work needs."""


@dataclass(slots=True)
class _Group:
    job: OpenJob
    items: list[OpenItem] = field(default_factory=list)
    running: int = 0
    waiting_events: float = 0.0
    all_events: float = 0.0
    longest: float = 0.0

    def add(self, item: OpenItem) -> None:
        self.all_events += item.remaining_events
        self.longest = max(self.longest, item.remaining_events)
        self.items.append(item)
        if item.running:
            self.running += 1
        else:
            self.waiting_events += item.remaining_events

    def begun(self, group: GroupId) -> bool:
        return self.running > 0 or self.job.ended_by_group.get(group, 0) > 0


def load(jobs: Iterable[OpenJob], capacity: PoolCapacity, now: float) -> float:
    """Return the share of the engines' time that the work of jobs needs.

    In the order of due times, all work that is due by then is set against the
    time that the slots have; the greatest of these shares counts.  A job that
    is late has the time until it expires, as the oldest job it
    still starts first.  Jobs without a due time, and those whose trainer waits
    for no further group, are left out.  The load is 0 if no pace is known.
    """
    if capacity.slots <= 0 or capacity.events_per_second <= 0.0:
        return 0.0
    greatest = events = 0.0
    due_jobs = [job for job in jobs if job.due_at is not None and job.missing_groups]
    for job in sorted(due_jobs, key=lambda job: job.ends_by):
        left = (job.ends_by if job.ends_by > now else job.expires_at) - now
        if left <= 0.0:
            continue
        events += sum(item.remaining_events for item in job.items)
        greatest = max(greatest, events / (capacity.events_per_second * left))
    return greatest


class Served:
    """What kinds of jobs and organisations have asked for and received.

    The amounts are expected events.  A kind is the urgency of a job.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self.use = TokenUse()
        self._asked_by_organisation = DecayingCounts[OrganisationId]()
        self._asked_by_urgency = DecayingCounts[int]()
        self._received_by_urgency = DecayingCounts[int]()
        self._known_jobs: set[tuple[JobId, Pool]] = set()

    def note_jobs(self, jobs: Sequence[OpenJob], now: float) -> None:
        """Record the work of jobs that are new."""
        for job in jobs:
            if (job.id, job.pool) not in self._known_jobs:
                events = sum(item.remaining_events for item in job.items)
                self._asked_by_organisation.charge(job.organisation, events, now)
                self._asked_by_urgency.charge(job.urgency, events, now)
        self._known_jobs = {(job.id, job.pool) for job in jobs}

    def note_start(
        self, organisation: OrganisationId, urgency: int, events: float, now: float
    ) -> None:
        """Record that an item with so many expected events starts."""
        self.use.charge(organisation, events, now)
        self._received_by_urgency.charge(urgency, events, now)

    def forecast(self, now: float) -> "_Forecast":
        """Return a copy to which starts that are planned can be added."""
        return _Forecast(
            self.use.counts(now),
            self._asked_by_organisation.counts(now),
            self._received_by_urgency.counts(now),
            self._asked_by_urgency.counts(now),
        )


@dataclass(slots=True)
class _Forecast:
    use: dict[OrganisationId, float]
    asked_by_organisation: dict[OrganisationId, float]
    received_by_urgency: dict[int, float]
    asked_by_urgency: dict[int, float]

    def add(self, job: OpenJob, events: float) -> None:
        self.use[job.organisation] = self.use.get(job.organisation, 0.0) + events
        received = self.received_by_urgency.get(job.urgency, 0.0)
        self.received_by_urgency[job.urgency] = received + events

    def is_owed(self, job: OpenJob) -> bool:
        """Return whether a job's kind or organisation is served too little."""
        return _is_behind(
            self.received_by_urgency, self.asked_by_urgency, job.urgency
        ) or _is_behind(self.use, self.asked_by_organisation, job.organisation)

    def is_ahead(self, job: OpenJob, competing: int) -> bool:
        """Return whether an organisation has had more than an equal share.

        ``competing`` is the number of organisations that wait.
        """
        share = self.use.get(job.organisation, 0.0) * competing
        return share > EQUAL_SHARE_TOLERANCE * sum(self.use.values())


def _is_behind(received: Mapping[K, float], asked: Mapping[K, float], key: K) -> bool:
    total_received = sum(received.values())
    own_asked = asked.get(key, 0.0)
    if len(asked) < 2 or total_received <= 0.0 or own_asked <= 0.0:
        return False
    average = total_received / max(total_received, sum(asked.values()))
    return received.get(key, 0.0) / own_asked < MIN_SERVED_SHARE * average


def in_whole_groups(
    jobs: Sequence[OpenJob], capacity: PoolCapacity, served: Served, now: float
) -> list[OpenItem]:
    """Return the items of a pool, whole groups one after another.

    Items that cannot end before they expire are left out while the engines are
    at least half full.  The pace of the pool must be known.
    """
    forecast = served.forecast(now)
    running_events = sum(
        item.remaining_events for job in jobs for item in job.items if item.running
    )
    queues = [(job, deque(_groups(job))) for job in jobs]
    wanted = [job.missing_groups for job in jobs]
    planner = _Planner(capacity, forecast, now, running_events)
    in_time, late = planner.place(queues, wanted, lambda job: job.ends_by)
    before_expiry, rest = planner.place(late, None, lambda job: job.expires_at)
    ordered = [item for group in (*in_time, *before_expiry) for item in group.items]
    pace = capacity.seconds_per_event
    for job, groups in rest:
        failed = [item for item in job.items if item.group in job.failed_groups]
        remaining = [item for group in groups for item in group.items]
        ordered += (
            item
            for item in (*remaining, *failed)
            if not capacity.is_half_full
            or now + item.remaining_events * pace <= job.expires_at
        )
    return ordered


def _groups(job: OpenJob) -> list[_Group]:
    """Return the groups that can become complete, the nearest to it first."""
    by_id: dict[GroupId, _Group] = {}
    for item in job.items:
        if item.group in job.failed_groups:
            continue
        by_id.setdefault(item.group, _Group(job)).add(item)
    for group in by_id.values():
        group.items.sort(key=lambda item: -item.remaining_events)
    keyed = sorted(
        by_id.items(),
        key=lambda entry: (
            len(entry[1].items),
            not entry[1].begun(entry[0]),
            entry[1].all_events,
        ),
    )
    return [group for _, group in keyed]


_Queues = list[tuple[OpenJob, deque[_Group]]]


class _Planner:
    """Places groups one after another on the slots of a pool."""

    def __init__(
        self,
        capacity: PoolCapacity,
        forecast: _Forecast,
        now: float,
        events_ahead: float,
    ) -> None:
        self._capacity = capacity
        self._forecast = forecast
        self._now = now
        self._events_ahead = events_ahead

    def place(
        self,
        queues: _Queues,
        limits: Sequence[int] | None,
        ends_by: Callable[[OpenJob], float],
    ) -> tuple[list[_Group], _Queues]:
        """Return the groups that end in time, in order, and those left over.

        ``limits`` bound the number of groups placed for each job.  The queues
        are emptied.
        """
        placed: list[_Group] = []
        left: _Queues = [(job, deque()) for job, _ in queues]
        counts = [0] * len(queues)
        while competing := [index for index, (_, queue) in enumerate(queues) if queue]:
            index = self._next(queues, competing, ends_by)
            job, queue = queues[index]
            if limits is not None and counts[index] >= limits[index]:
                left[index][1].extend(queue)
                queue.clear()
                continue
            group = queue.popleft()
            if self._end_of(group) > ends_by(job):
                left[index][1].append(group)
                continue
            placed.append(group)
            counts[index] += 1
            self._events_ahead += group.waiting_events
            self._forecast.add(job, group.waiting_events)
        return placed, left

    def _next(
        self,
        queues: _Queues,
        competing: Sequence[int],
        ends_by: Callable[[OpenJob], float],
    ) -> int:
        """Return the index of the job whose next group comes first."""
        if len(competing) == 1:
            return competing[0]
        organisations = len({queues[index][0].organisation for index in competing})

        def rank(index: int) -> tuple[bool, int, bool, float]:
            job = queues[index][0]
            return (
                not self._forecast.is_owed(job),
                job.urgency,
                self._forecast.is_ahead(job, organisations),
                ends_by(job),
            )

        return min(competing, key=rank)

    def _end_of(self, group: _Group) -> float:
        """Return the time at which a group ends if it is placed next."""
        events = self._events_ahead + group.waiting_events
        return self._now + max(
            group.longest * self._capacity.seconds_per_event,
            events / self._capacity.events_per_second,
        )


@dataclass(slots=True)
class _PoolState:
    order: StartOrder = StartOrder.OLDEST_JOB_FIRST
    changed_at: float = -math.inf
    ranks: dict[ItemKey, int] = field(default_factory=dict)
    """Positions of items; empty unless whole groups come first.  Those of
    running items count once they have to wait again."""
    known: set[ItemKey] = field(default_factory=set)
    """Items at the latest update, also those that are left out."""


def next_order(
    order: StartOrder, pool_load: float, seconds_in_force: float
) -> StartOrder:
    """Return a pool's order, which changes at two different loads."""
    match order:
        case StartOrder.OLDEST_JOB_FIRST if pool_load > SHORT_LOAD:
            return StartOrder.WHOLE_GROUPS
        case StartOrder.WHOLE_GROUPS if (
            pool_load < ENOUGH_LOAD and seconds_in_force >= MIN_ORDER_SECONDS
        ):
            return StartOrder.OLDEST_JOB_FIRST
    return order


def _rank(entry: tuple[int, WaitingItem]) -> int:
    return entry[0]


class ItemOrder:
    """Keeps each pool's order and arranges the items that wait."""

    def __init__(self) -> None:
        """Create an order with the oldest job first in all pools."""
        self.served = Served()
        self._states_by_pool: dict[Pool, _PoolState] = {}

    def update(
        self,
        jobs: Sequence[OpenJob],
        capacity_by_pool: Mapping[Pool, PoolCapacity],
        now: float,
    ) -> list[OrderChange]:
        """Take up the present jobs and engines; return the changed orders."""
        self.served.note_jobs(jobs, now)
        jobs_by_pool: dict[Pool, list[OpenJob]] = {}
        for job in jobs:
            jobs_by_pool.setdefault(job.pool, []).append(job)
        self._states_by_pool = {
            pool: self._states_by_pool.get(pool, _PoolState()) for pool in jobs_by_pool
        }
        changes: list[OrderChange] = []
        for pool, state in self._states_by_pool.items():
            capacity = capacity_by_pool.get(pool, NO_CAPACITY)
            of_pool = jobs_by_pool[pool]
            pool_load = load(of_pool, capacity, now)
            order = state.order
            if capacity.events_per_second > 0.0:
                # Engines that load a version all at once are no reason.
                order = next_order(order, pool_load, now - state.changed_at)
            if order is not state.order:
                state.order, state.changed_at = order, now
                changes.append(OrderChange(pool, order, pool_load))
            self._rank_items(state, of_pool, capacity, now)
        return changes

    def _rank_items(
        self,
        state: _PoolState,
        jobs: Sequence[OpenJob],
        capacity: PoolCapacity,
        now: float,
    ) -> None:
        state.ranks, state.known = {}, set()
        # The engines may all have gone since the order changed.
        if state.order is StartOrder.WHOLE_GROUPS and capacity.events_per_second > 0:
            ordered = in_whole_groups(jobs, capacity, self.served, now)
            state.ranks = {item.key: rank for rank, item in enumerate(ordered)}
            state.known = {item.key for job in jobs for item in job.items}

    def arrange(
        self,
        items: Sequence[WaitingItem],
        overdue: Collection[ItemKey],
        capacity_by_pool: Mapping[Pool, PoolCapacity],
    ) -> list[WaitingItem]:
        """Return waiting items in the order in which they start.

        ``items`` come with the oldest job first.  ``overdue`` are those that
        have been without an engine for ``MAX_WAIT_SECONDS``.
        """
        if not overdue and not any(
            state.ranks or state.known for state in self._states_by_pool.values()
        ):
            return list(items)
        under_half = {
            pool for pool, known in capacity_by_pool.items() if not known.is_half_full
        }
        ranked: list[tuple[int, WaitingItem]] = []
        pool, state = Pool(ServiceName(""), ModelName("")), _PoolState()
        for item in items:
            if item.service != pool.service or item.model != pool.model:
                # Items come job by job, and most jobs have one pool.
                pool = Pool(item.service, item.model)
                state = self._states_by_pool.get(pool, _PoolState())
            key = item.key
            if key in overdue and pool in under_half:
                item = replace(item, overdue=True)
                ranked.append((-1, item))
            elif key not in state.known:
                ranked.append((0, item))
            elif key in state.ranks:
                ranked.append((state.ranks[key], item))
        ranked.sort(key=_rank)
        return [item for _, item in ranked]

    def orders(self) -> Counter[StartOrder]:
        """Return the number of pools with each order."""
        return Counter(state.order for state in self._states_by_pool.values())
