"""Tests of the distribution of models and weight versions over engines."""

import unittest
from collections import Counter
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import ModelName, Region, TargetId, WeightVersion
from goldcrestyard.policy.version_loads import (
    JobDemand,
    LoadableEngine,
    LoadReason,
    NewestVersion,
    VersionLoad,
    WaitingItems,
    assign_models,
    next_loads,
)

A, B, C = ModelName("a"), ModelName("b"), ModelName("c")


def ids(count: int) -> list[TargetId]:
    return [TargetId(f"e{number}") for number in range(count)]


class ShareOutTests(unittest.TestCase):
    """Guards against loads that cost money and that no trainer needs."""

    @parameterized.expand(
        [
            ("even", 4, {A: 1.0, B: 1.0}, {A: 2, B: 2}),
            ("by_weight", 8, {A: 3.0, B: 1.0}, {A: 6, B: 2}),
            ("each_has_one", 3, {A: 100.0, B: 1.0}, {A: 2, B: 1}),
            ("fewer_engines_than_models", 1, {A: 1.0, B: 5.0}, {B: 1}),
            ("no_engine", 0, {A: 1.0}, {}),
            ("no_model", 2, {}, {}),
        ]
    )
    def test_counts(
        self,
        _: str,
        engines: int,
        shares: dict[ModelName, float],
        expected: dict[ModelName, int],
    ) -> None:
        assigned = assign_models(ids(engines), shares, {})
        self.assertEqual(dict(Counter(assigned.values())), expected)

    def test_engines_keep_their_model_when_one_is_lost(self) -> None:
        shares = {A: 1.0, B: 1.0}
        before = assign_models(ids(4), shares, {})
        remaining = ids(4)[1:]
        after = assign_models(remaining, shares, before)
        changed = [target for target in remaining if after[target] != before[target]]
        self.assertLessEqual(len(changed), 1)


@dataclass(frozen=True)
class Case:
    """Engines of model a, its newest version 5, and the engines that load.

    An engine is a tuple of its version, and optionally the number of items
    that it runs and whether it is busy with a load.
    """

    name: str
    engines: tuple[tuple[int, int, bool], ...]
    demand: JobDemand | None
    expected: tuple[int, ...]
    reason: LoadReason = LoadReason.UNUSED_BY_JOBS
    age_seconds: float = 0.0


def engine(version: int, running: int = 0, busy: bool = False) -> tuple[int, int, bool]:
    return version, running, busy


def demand(
    oldest: int, items: int, waiting: int = 0, seconds: float | None = None
) -> JobDemand:
    """Return the demand of a step whose waiting items allow ``oldest``."""
    version = WeightVersion(oldest)
    waiting_items = (WaitingItems(waiting, version),) if waiting else ()
    return JobDemand(version, items, waiting_items, seconds)


SLOTS = 8
WAITED_FOR, NEXT_STEP = LoadReason.WAITED_FOR, LoadReason.NEXT_STEP
CASES = [
    Case("all_have_it", (engine(5), engine(5)), None, ()),
    Case("two_at_once", (engine(4),) * 3, None, (0, 1)),
    Case("busy_ones_count", (engine(4, busy=True), engine(4), engine(4)), None, (1,)),
    Case("no_room", (engine(4, busy=True),) * 2 + (engine(4),), None, ()),
    Case("newer_than_named", (engine(6), engine(4)), None, (1,)),
    # A version is named while the items of two steps run.
    Case("version_that_still_serves", (engine(4, 8), engine(4, 8)), demand(4, 16), ()),
    Case("nobody_waits", (engine(3, 4), engine(3, 4)), demand(4, 16), ()),
    Case(
        "a_wave_arrives_at_old_engines",
        (engine(3), engine(3)),
        demand(4, 16, 16),
        (0, 1),
        WAITED_FOR,
    ),
    Case(
        "one_more_engine_suffices",
        (engine(4, 8), engine(3), engine(3)),
        demand(4, 16, 8),
        (1,),
        WAITED_FOR,
    ),
    Case(
        "idle_engine_before_a_running_one",
        (engine(4, 8), engine(3, 2), engine(3)),
        demand(4, 16, 8),
        (2,),
        WAITED_FOR,
    ),
    Case(
        "short_items_are_done_before_the_load",
        (engine(4, 8), engine(3)),
        demand(4, 16, 8, 0.4),
        (),
    ),
    Case(
        "short_items_without_any_engine",
        (engine(3), engine(3)),
        demand(4, 8, 8, 0.4),
        (0,),
        WAITED_FOR,
    ),
    Case(
        "load_in_progress_is_counted",
        (engine(3, busy=True), engine(3)),
        demand(4, 8, 8),
        (),
    ),
    Case(
        "idle_engine_before_the_next_step",
        (engine(5), engine(4)),
        demand(4, 16),
        (1,),
        NEXT_STEP,
    ),
    Case("next_step_needs_one_engine", (engine(5), engine(4)), demand(4, 8), ()),
    Case("next_step_waits_for_the_text", (engine(4, 1),), demand(4, 8), ()),
    Case("version_of_the_next_step_is_not_named", (engine(4),), demand(5, 8), ()),
    Case(
        "old_version_is_replaced_in_time",
        (engine(4, 1), engine(5)),
        demand(4, 8),
        (0,),
        LoadReason.OVERDUE,
        7.0,
    ),
]


class NextLoadsTests(unittest.TestCase):
    """Pattern: versions that are named faster than engines can load them.

    Guards against loads that interrupt long texts of the step before, that
    take all engines of a model away when its step arrives, or that no step
    needs, and against engines that keep an old version.
    """

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_loads(self, _: str, case: Case) -> None:
        engines = [
            LoadableEngine(
                target,
                {A: WeightVersion(version)},
                A if busy else None,
                slots=SLOTS,
                running=running,
            )
            for target, (version, running, busy) in zip(
                ids(len(case.engines)), case.engines, strict=True
            )
        ]
        models = dict.fromkeys(ids(len(engines)), A)
        newest = NewestVersion(WeightVersion(5), case.age_seconds, case.demand)
        loads = next_loads(engines, models, {A: newest}, 2)
        self.assertEqual(
            loads,
            [
                VersionLoad(TargetId(f"e{n}"), A, WeightVersion(5), case.reason)
                for n in case.expected
            ],
        )

    def test_waiting_items_come_before_other_models(self) -> None:
        engines = [
            LoadableEngine(target, dict.fromkeys((A, B), WeightVersion(3)), slots=SLOTS)
            for target in ids(3)
        ]
        models = dict(zip(ids(3), (A, A, B), strict=True))
        newest = {
            A: NewestVersion(WeightVersion(5), 9.0, demand(3, 8)),
            B: NewestVersion(WeightVersion(5), 0.0, demand(4, 8, 8)),
        }
        (load,) = next_loads(engines, models, newest, 1)
        self.assertEqual((load.model, load.reason), (B, WAITED_FOR))


def loadable(
    number: int, versions: dict[ModelName, int], **rest: object
) -> LoadableEngine:
    return LoadableEngine(
        TargetId(f"e{number}"),
        {model: WeightVersion(versions.get(model, 1)) for model in (A, B, C)},
        slots=SLOTS,
        **rest,  # type: ignore[arg-type]
    )


def waiting(version: int, items: int = 8, age_seconds: float = 10.0) -> NewestVersion:
    """Return a version for which items wait that need it."""
    return NewestVersion(WeightVersion(version), age_seconds, demand(version, 8, items))


HOME, AWAY = Region("home"), Region("away")


def waiting_at_home() -> NewestVersion:
    """Return a version for which items wait that may run in one region."""
    version = WeightVersion(2)
    items = WaitingItems(8, version, frozenset({HOME}))
    return NewestVersion(version, 1.0, JobDemand(version, 8, (items,), 0.1))


UNUSED = NewestVersion(WeightVersion(1))


@dataclass(frozen=True)
class BorrowingCase:
    """Engines, the models that two of them load, and the loads of a pass."""

    name: str
    engines: tuple[LoadableEngine, ...]
    newest: dict[ModelName, NewestVersion]
    expected: tuple[tuple[int, ModelName], ...]
    models: tuple[ModelName, ...] = (B, C)


BORROWING = [
    BorrowingCase(
        "idle_engine",
        (loadable(0, {}, running=3), loadable(1, {})),
        {A: waiting(2)},
        ((1, A),),
    ),
    BorrowingCase(
        "no_engine_is_idle",
        (loadable(0, {}, running=6), loadable(1, {}, running=5)),
        {A: waiting(2)},
        ((1, A),),
    ),
    BorrowingCase(
        "another_model_loads_there",
        (loadable(0, {}, loading=B), loadable(1, {}, running=8)),
        {A: waiting(2)},
        ((1, A),),
    ),
    BorrowingCase(
        "load_in_progress",
        (loadable(0, {}, loading=A), loadable(1, {})),
        {A: waiting(2)},
        (),
    ),
    BorrowingCase(
        "load_that_stalls",
        (loadable(0, {}, loading=A, trying_seconds=3.0), loadable(1, {})),
        {A: waiting(2)},
        ((1, A),),
    ),
    BorrowingCase(
        "engine_that_has_failed",
        (loadable(0, {}, trying_seconds=3.0), loadable(1, {}, running=2)),
        {A: waiting(2)},
        ((1, A),),
    ),
    BorrowingCase(
        "more_items_than_one_engine_takes",
        (loadable(0, {A: 2}, running=8), loadable(1, {}, running=3)),
        {A: waiting(2)},
        ((1, A),),
    ),
    BorrowingCase(
        "engine_that_is_half_full_keeps_its_cache",
        (loadable(0, {A: 2}, running=8), loadable(1, {}, running=4)),
        {A: waiting(2)},
        (),
    ),
    BorrowingCase(
        "nobody_waits_and_one_engine_has_it",
        (loadable(0, {A: 2}), loadable(1, {})),
        {A: waiting(2, items=0)},
        (),
    ),
    BorrowingCase(
        "overdue_on_one_engine",
        (loadable(0, {}), loadable(1, {})),
        {A: waiting(2, items=0)},
        ((0, A),),
    ),
    BorrowingCase(
        "version_that_is_not_named",
        (loadable(0, {A: 2}), loadable(1, {})),
        {A: NewestVersion(WeightVersion(2), 1.0, demand(3, 8, 8))},
        (),
    ),
    BorrowingCase(
        "one_engine_for_all_models_loads_the_oldest_version_first",
        (loadable(0, {}),),
        {
            A: waiting(2, age_seconds=1.0),
            B: waiting(2, age_seconds=2.0),
            C: waiting(2, age_seconds=9.0),
        },
        ((0, C),),
        models=(B,),
    ),
    BorrowingCase(
        "own_engine_stalls",
        (loadable(0, {}, loading=A, trying_seconds=4.0), loadable(1, {})),
        {A: waiting(2)},
        ((1, A),),
        models=(A, B),
    ),
    BorrowingCase(
        "own_engine_is_loading",
        (loadable(0, {}, loading=A, trying_seconds=2.0), loadable(1, {})),
        {A: waiting(2)},
        (),
        models=(A, B),
    ),
    BorrowingCase(
        "own_engine_is_in_another_region",
        (loadable(0, {}, region=AWAY), loadable(1, {}, region=HOME, running=5)),
        {A: waiting_at_home()},
        ((1, A),),
        models=(A, B),
    ),
    BorrowingCase(
        "engine_with_the_version_is_in_another_region",
        (loadable(0, {A: 2}, region=AWAY), loadable(1, {}, region=HOME)),
        {A: waiting_at_home()},
        ((1, A),),
    ),
    BorrowingCase(
        "no_engine_in_their_region",
        (loadable(0, {A: 2}, region=AWAY), loadable(1, {}, region=AWAY)),
        {A: waiting_at_home()},
        (),
    ),
    BorrowingCase(
        "own_engine_suffices",
        (loadable(0, {}), loadable(1, {})),
        {A: waiting(2)},
        ((0, A),),
        models=(A, B),
    ),
]


class BorrowedEngineTests(unittest.TestCase):
    """Guards against a model whose items wait for ever beside idle engines.

    With fewer engines than models, or while a model's own engines answer no
    order, its new versions were loaded nowhere.
    """

    @parameterized.expand([(case.name, case) for case in BORROWING])
    def test_loads(self, _: str, case: BorrowingCase) -> None:
        models = {
            engine.id: model
            for engine, model in zip(case.engines, case.models, strict=False)
        }
        newest = {model: case.newest.get(model, UNUSED) for model in (A, B, C)}
        loads = next_loads(case.engines, models, newest, 2)
        self.assertEqual(
            tuple((load.target, load.model) for load in loads),
            tuple((TargetId(f"e{number}"), model) for number, model in case.expected),
        )

    @parameterized.expand([("one", 1), ("two", 2), ("five", 5)])
    def test_each_version_is_loaded_in_the_end(self, _: str, count: int) -> None:
        """All models' items wait at once; a load ends before the next pass."""
        versions: dict[TargetId, dict[ModelName, WeightVersion]] = {
            target: dict.fromkeys((A, B, C), WeightVersion(1)) for target in ids(count)
        }
        assigned = assign_models(ids(count), {A: 1.0, B: 1.0, C: 1.0}, {})
        for _pass in range(4):
            engines = [
                LoadableEngine(target, dict(known), slots=SLOTS)
                for target, known in versions.items()
            ]
            held = {m: max(v[m] for v in versions.values()) for m in (A, B, C)}
            newest = {
                model: waiting(2, items=8 if held[model] < 2 else 0)
                for model in (A, B, C)
            }
            loads = next_loads(engines, assigned, newest, 2)
            self.assertEqual(len({load.target for load in loads}), len(loads))
            for load in loads:
                versions[load.target][load.model] = load.version
        self.assertEqual(set(held.values()), {2})
