"""Tests of the start order of items that compete for too few slots.

Load: steps of several trainers that need more engine time than there is.
"""

import heapq
import random
import unittest
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    GroupId,
    ItemId,
    JobId,
    ModelName,
    OrganisationId,
    ServiceName,
    WeightVersion,
)
from goldcrestyard.policy.item_order import (
    ENOUGH_LOAD,
    MIN_ORDER_SECONDS,
    SHORT_LOAD,
    ItemOrder,
    OpenItem,
    OpenJob,
    Pool,
    PoolCapacity,
    Served,
    StartOrder,
    in_whole_groups,
    load,
    next_order,
)
from goldcrestyard.policy.job_schedule import ItemKey, WaitingItem, longest_first

POOL = Pool(ServiceName("engines"), ModelName("m"))
ROOM = PoolCapacity(4, 4, 40.0)
"""Four slots, all in use, of 10 events a second each."""
HALF = replace(ROOM, in_use=1)
OLDEST, GROUPS = StartOrder.OLDEST_JOB_FIRST, StartOrder.WHOLE_GROUPS


def open_item(
    job: str, group: str, number: int, events: float, *, running: bool = False
) -> OpenItem:
    key = ItemKey(JobId(job), ItemId(f"{group}{number}"))
    return OpenItem(key, GroupId(group), events, running)


def open_job(
    name: str = "j",
    due_at: float | None = 10.0,
    groups: Sequence[tuple[str, Sequence[float]]] = (("a", (10.0,)),),
    **rest: object,
) -> OpenJob:
    items = tuple(
        open_item(name, group, number, events)
        for group, lengths in groups
        for number, events in enumerate(lengths)
    )
    fields: dict[str, object] = {
        "organisation": OrganisationId("o"),
        "urgency": 0,
        "expires_at": 15.0,
        "wanted_groups": 0,
    } | rest
    return OpenJob(JobId(name), POOL, due_at=due_at, items=items, **fields)  # type: ignore[arg-type]


def waiting(item: OpenItem) -> WaitingItem:
    return WaitingItem(
        item.key,
        POOL.service,
        POOL.model,
        WeightVersion(0),
        item.group,
        remaining_events=item.remaining_events,
    )


@dataclass(frozen=True)
class LoadCase:
    """Jobs on four slots of 10 events a second, at time 0; the load."""

    name: str
    jobs: tuple[OpenJob, ...]
    expected: float
    capacity: PoolCapacity = ROOM


def one(due_at: float | None, events: float, **rest: object) -> OpenJob:
    return open_job(f"j{due_at}", due_at, (("a", (events,)),), **rest)


LOADS = [
    LoadCase("half", (one(10.0, 200.0),), 0.5),
    LoadCase("two_jobs", (one(10.0, 200.0), one(20.0, 400.0)), 0.75),
    LoadCase("earlier_one_is_short", (one(20.0, 10.0), one(10.0, 600.0)), 1.5),
    LoadCase("late_one_has_until_it_expires", (one(-1.0, 300.0),), 0.5),
    LoadCase("late_one_delays_others", (one(-1.0, 100.0), one(5.0, 100.0)), 1.0),
    LoadCase("expired", (one(-9.0, 100.0, expires_at=-1.0),), 0.0),
    LoadCase("not_due", (one(None, 9000.0),), 0.0),
    LoadCase("no_pace", (one(1.0, 9000.0),), 0.0, PoolCapacity(4, 0, 0.0)),
    LoadCase(
        "trainer_waits_for_no_more",
        (one(1.0, 9000.0, wanted_groups=1, complete_groups=1),),
        0.0,
    ),
]


@dataclass(frozen=True)
class ChangeCase:
    """An order, a load and for how long the order is in force; the next."""

    name: str
    order: StartOrder
    load: float
    expected: StartOrder
    seconds: float = MIN_ORDER_SECONDS


CHANGES = [
    ChangeCase("enough", OLDEST, SHORT_LOAD, OLDEST),
    ChangeCase("short", OLDEST, SHORT_LOAD + 0.01, GROUPS, 0.0),
    ChangeCase("between_stays", GROUPS, ENOUGH_LOAD, GROUPS),
    ChangeCase("between_stays_oldest", OLDEST, ENOUGH_LOAD, OLDEST),
    ChangeCase("enough_again", GROUPS, ENOUGH_LOAD - 0.01, OLDEST),
    ChangeCase("too_soon", GROUPS, 0.0, GROUPS, MIN_ORDER_SECONDS - 0.1),
]


@dataclass(frozen=True)
class OrderCase:
    """Jobs that compete, and the order of their groups at time 0."""

    name: str
    jobs: tuple[OpenJob, ...]
    expected: str
    capacity: PoolCapacity = ROOM
    used: tuple[tuple[str, float], ...] = ()
    """What organisations have had, in events."""


def begun(job: OpenJob, *keys: str) -> OpenJob:
    """Return a job of which the items with the given ids run."""
    items = tuple(
        replace(item, running=item.key.item in keys) if item.key.item in keys else item
        for item in job.items
    )
    return replace(job, items=items)


THREE = (("a", (40.0, 40.0)), ("b", (30.0, 30.0)), ("c", (20.0, 20.0)))
"""Three groups of a job, which need 180 events."""
SMALL = (("a", (10.0, 10.0)),)
BIG, TINY = OrganisationId("big"), OrganisationId("tiny")

ORDERS = [
    OrderCase("cheapest_group_first", (open_job(groups=THREE),), "j.c j.b j.a"),
    OrderCase(
        "nearest_to_complete_first",
        (open_job(groups=(*THREE, ("d", (90.0,)))),),
        "j.d j.c j.b j.a",
    ),
    OrderCase(
        "begun_group_goes_on",
        (begun(open_job(groups=THREE), "a1"),),
        "j.a j.c j.b",
    ),
    OrderCase(
        "beyond_the_wanted_come_later",
        (
            open_job("x", 9.0, THREE, wanted_groups=2, urgency=0),
            open_job("y", 10.0, SMALL),
        ),
        "x.c x.b y.a x.a",
    ),
    OrderCase(
        "complete_groups_count_as_wanted",
        (
            open_job("x", 9.0, THREE, wanted_groups=2, complete_groups=1),
            open_job("y", 10.0, SMALL),
        ),
        "x.c y.a x.b x.a",
    ),
    OrderCase(
        "too_late_for_the_due_time",
        (open_job("x", 0.5, THREE), open_job("y", 10.0, SMALL)),
        "y.a x.c x.b x.a",
    ),
    OrderCase(
        "failed_group_comes_last",
        (open_job(groups=THREE, failed_groups=frozenset({GroupId("c")})),),
        "j.b j.a j.c",
    ),
    OrderCase(
        "cannot_end_before_it_expires",
        (open_job(groups=(*THREE, ("d", (200.0,)))),),
        "j.c j.b j.a",
    ),
    OrderCase(
        "cannot_end_but_engines_are_idle",
        (open_job(groups=(*THREE, ("d", (200.0,)))),),
        "j.c j.b j.a j.d",
        HALF,
    ),
    OrderCase(
        "urgent_before_due",
        (open_job("x", 5.0, SMALL, urgency=1), open_job("y", 10.0, SMALL)),
        "y.a x.a",
    ),
    OrderCase(
        "due_first_at_equal_urgency",
        (open_job("x", 10.0, SMALL), open_job("y", 5.0, SMALL)),
        "y.a x.a",
    ),
    OrderCase(
        "organisation_that_had_more_comes_later",
        (
            open_job("x", 5.0, SMALL, organisation=BIG),
            open_job("y", 10.0, SMALL, organisation=TINY),
        ),
        "y.a x.a",
        used=(("big", 300.0), ("tiny", 100.0)),
    ),
    OrderCase(
        "organisations_that_had_as_much_go_by_due_time",
        (
            open_job("x", 10.0, SMALL, organisation=BIG),
            open_job("y", 5.0, SMALL, organisation=TINY),
        ),
        "y.a x.a",
        used=(("big", 110.0), ("tiny", 100.0)),
    ),
]


class OrderTests(unittest.TestCase):
    """Guards against steps that all end too late, and none in time."""

    @parameterized.expand([(case.name, case) for case in LOADS])
    def test_load(self, _: str, case: LoadCase) -> None:
        """Guards against an order for a shortage that is not there."""
        self.assertAlmostEqual(load(case.jobs, case.capacity, 0.0), case.expected)

    @parameterized.expand([(case.name, case) for case in CHANGES])
    def test_change_of_the_order(self, _: str, case: ChangeCase) -> None:
        """Guards against orders that alternate at each pass."""
        order = next_order(case.order, case.load, case.seconds)
        self.assertIs(order, case.expected)

    @parameterized.expand([(case.name, case) for case in ORDERS])
    def test_whole_groups(self, _: str, case: OrderCase) -> None:
        served = Served()
        served.note_jobs(case.jobs, 0.0)
        for organisation, events in case.used:
            served.note_start(OrganisationId(organisation), 0, events, 0.0)
        ordered = in_whole_groups(case.jobs, case.capacity, served, 0.0)
        groups = dict.fromkeys(f"{item.key.job}.{item.group}" for item in ordered)
        self.assertEqual(" ".join(groups), case.expected)
        by_group = [f"{item.key.job}.{item.group}" for item in ordered]
        self.assertEqual(
            by_group, sorted(by_group, key=list(groups).index), "groups are mixed"
        )


@dataclass(frozen=True)
class ArrangeCase:
    """A job on some slots, and the first items to start."""

    name: str
    capacity: PoolCapacity
    expected: tuple[str, ...]
    overdue: frozenset[str] = frozenset()


MANY = PoolCapacity(40, 40, 400.0)
IDLE = replace(MANY, in_use=19)
ARRANGED = [
    ArrangeCase("all_can_end", MANY, ("a0", "a1", "b0", "b1", "c0", "c1")),
    ArrangeCase("short", ROOM, ("c0", "c1", "b0", "b1", "a0", "a1")),
    ArrangeCase(
        "waited_long_while_engines_idle",
        IDLE,
        ("c1", "a0", "a1", "b0", "b1", "c0"),
        frozenset({"c1"}),
    ),
    ArrangeCase(
        "waited_long_while_engines_are_busy",
        MANY,
        ("a0", "a1", "b0", "b1", "c0", "c1"),
        frozenset({"c1"}),
    ),
    ArrangeCase(
        "no_engines_yet",
        PoolCapacity(0, 0, 0.0),
        ("a0", "a1", "b0", "b1", "c0", "c1"),
    ),
]


class ArrangeTests(unittest.TestCase):
    """Guards against another order than before where there is enough room."""

    @parameterized.expand([(case.name, case) for case in ARRANGED])
    def test_arrange(self, _: str, case: ArrangeCase) -> None:
        job = open_job(due_at=4.0, groups=THREE)
        order = ItemOrder()
        order.update([job], {POOL: case.capacity}, 0.0)
        items = longest_first(map(waiting, job.items))
        overdue = {ItemKey(job.id, ItemId(item)) for item in case.overdue}
        arranged = order.arrange(items, overdue, {POOL: case.capacity})
        self.assertEqual(tuple(item.key.item for item in arranged), case.expected)

    def test_order_stays_while_no_engine_is_known(self) -> None:
        """Guards against an order that alternates with the engines' loads."""
        job = open_job(due_at=4.0, groups=THREE)
        order = ItemOrder()
        order.update([job], {POOL: ROOM}, 0.0)
        self.assertEqual(order.update([job], {}, 2.0), [])
        self.assertEqual(order.orders(), {GROUPS: 1})

    def test_interrupted_item_stays_with_its_group(self) -> None:
        """Guards against an item that waits until the next update."""
        job = open_job(due_at=4.0, groups=THREE)
        order = ItemOrder()
        order.update([begun(job, "a1")], {POOL: ROOM}, 0.0)
        items = longest_first(map(waiting, job.items))
        arranged = order.arrange(items, frozenset(), {POOL: ROOM})
        self.assertEqual([item.key.item for item in arranged[:2]], ["a0", "a1"])


def whole_groups_in_time(seed: int, *, by_groups: bool, slots: int = 16) -> int:
    """Return how many groups of three steps are whole when they are due.

    Each step has 8 groups of 8 items; one is submitted every 2 s, and they
    need about twice the time that the slots have.
    """
    source = random.Random(seed)
    steps = [
        open_job(
            f"j{step}",
            step * 2.0 + 7.5,
            [
                (f"{group}", [source.uniform(5.0, 40.0) for _ in range(8)])
                for group in range(8)
            ],
            expires_at=step * 2.0 + 12.0,
            wanted_groups=7,
        )
        for step in range(3)
    ]
    order = ItemOrder()
    running: list[tuple[float, ItemKey]] = []
    ended: dict[ItemKey, float] = {}
    now = 0.0
    while now < 20.0:
        while running and running[0][0] <= now:
            at, key = heapq.heappop(running)
            ended[key] = at
        active = {key: at for at, key in running}
        jobs = [
            _state(job, active, ended, now)
            for step, job in enumerate(steps)
            if step * 2.0 <= now
        ]
        capacity = PoolCapacity(slots, len(running), slots * 10.0)
        items = [
            entry
            for job in jobs
            for entry in longest_first(
                waiting(item) for item in job.items if not item.running
            )
        ]
        if by_groups:
            order.update(jobs, {POOL: capacity}, now)
            items = order.arrange(items, frozenset(), {POOL: capacity})
        for entry in items[: slots - len(running)]:
            end = now + entry.remaining_events / 10.0
            heapq.heappush(running, (end, entry.key))
        now += 0.1
    whole = 0
    for job in steps:
        lacking = Counter(
            item.group
            for item in job.items
            if ended.get(item.key, 99.0) > (job.due_at or 0.0)
        )
        whole += 8 - len(lacking)
    return whole


def _state(
    job: OpenJob, active: dict[ItemKey, float], ended: dict[ItemKey, float], now: float
) -> OpenJob:
    """Return a job as it is now, without the items that have ended."""
    items = tuple(
        replace(item, running=True, remaining_events=(active[item.key] - now) * 10.0)
        if item.key in active
        else item
        for item in job.items
        if item.key not in ended
    )
    if now >= job.expires_at:
        items = ()
    total = {item.group for item in job.items}
    return replace(
        job,
        items=items,
        complete_groups=len(total - {item.group for item in items}),
        ended_by_group=Counter(item.group for item in job.items if item.key in ended),
    )


class ShortageTests(unittest.TestCase):
    """Guards against engine time spent on groups that end too late."""

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_more_groups_are_whole_in_time(self, seed: int) -> None:
        before = whole_groups_in_time(seed, by_groups=False)
        self.assertGreater(whole_groups_in_time(seed, by_groups=True), before)

    @parameterized.expand([(36,), (40,), (44,)])
    def test_never_fewer_groups_where_the_work_just_fits(self, slots: int) -> None:
        for seed in range(4):
            before = whole_groups_in_time(seed, by_groups=False, slots=slots)
            after = whole_groups_in_time(seed, by_groups=True, slots=slots)
            self.assertGreaterEqual(after, before, f"seed {seed}")

    @parameterized.expand([(seed,) for seed in range(3)])
    def test_as_many_groups_with_enough_room(self, seed: int) -> None:
        before = whole_groups_in_time(seed, by_groups=False, slots=64)
        after = whole_groups_in_time(seed, by_groups=True, slots=64)
        self.assertEqual((before, after), (24, 24))

    def test_large_organisation_among_small_ones(self) -> None:
        """Guards against one that gets no more than a small one's part."""
        small = [
            open_job(f"s{n}", 50.0, SMALL, organisation=OrganisationId(f"s{n}"))
            for n in range(30)
        ]
        large = open_job(
            "large",
            60.0,
            [(f"g{n}", (10.0, 10.0)) for n in range(12)],
            organisation=BIG,
            expires_at=70.0,
        )
        served = Served()
        served.note_jobs([*small, large], 0.0)
        for job in small:
            served.note_start(job.organisation, 0, 20.0, 0.0)
        served.note_start(BIG, 0, 60.0, 0.0)
        head = in_whole_groups([*small, large], ROOM, served, 0.0)[0]
        self.assertEqual(head.key.job, large.id)

    @parameterized.expand([("urgency", 0, 1), ("organisation", 0, 0)])
    def test_no_kind_starves(self, name: str, first: int, second: int) -> None:
        """Guards against a kind that is served under a quarter as often."""
        served, started = Served(), Counter[str]()
        asked = 400.0
        large = "tiny" if name == "urgency" else "big"
        jobs = [
            open_job(
                "x",
                5.0,
                [(f"x{n}", (10.0, 10.0)) for n in range(20)],
                urgency=first,
                organisation=OrganisationId(large),
            ),
            open_job(
                "y",
                50.0,
                [(f"y{n}", (10.0, 10.0)) for n in range(20)],
                urgency=second,
                organisation=TINY,
                expires_at=60.0,
            ),
        ]
        capacity = PoolCapacity(4, 4, 40.0)
        for turn in range(200):
            # What has started is asked for again, in another job.
            now = turn * 0.05
            served.note_jobs(
                [replace(job, id=JobId(f"{job.id}{turn // 20}")) for job in jobs], now
            )
            head = in_whole_groups(jobs, capacity, served, 0.0)[0]
            job = next(job for job in jobs if job.id == head.key.job)
            served.note_start(job.organisation, job.urgency, head.remaining_events, now)
            started[job.id] += 1
        shares = {key: count * 10.0 / asked for key, count in started.items()}
        mean = sum(shares.values()) / 2
        self.assertGreaterEqual(min(shares.get("x", 0), shares.get("y", 0)), mean / 4)
