"""Tests of the orders to engines to load weight versions."""

import asyncio
from dataclasses import dataclass, field, replace

from parameterized import parameterized

from goldcrestyard.core.ids import ConfigVersion, ModelName, Term, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import EngineShape
from goldcrestyard.core.states import TargetKind
from goldcrestyard.fleet.duties import Permit
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.commands import NameVersion
from goldcrestyard.fleet.versions.loading import LoadingModels, VersionLoader
from goldcrestyard.fleet.versions.orders import (
    EngineReport,
    LoadOrder,
    OrderOutcome,
)
from goldcrestyard.fleet.versions.slices import VersionsSlice
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.plugins.targets.slices import TargetsSlice
from tests.fakes.announcements import announce
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, MODEL
from tests.fakes.targets import target

LOAD_SECONDS = 0.9
QUIET_SECONDS = 1.0


@dataclass
class FakeEngine:
    """An engine that carries out orders with the expected order count."""

    version: int = 1
    accepted: int = 0
    orders: list[LoadOrder] = field(default_factory=list)
    scripted_outcomes: list[OrderOutcome] = field(default_factory=list)
    """Outcomes returned for the next orders, instead of ACCEPTED."""
    report_seconds: float = 0.0
    delay_seconds: float = 0.0
    """Delay until an order with outcome UNKNOWN is carried out."""

    async def carry_out(self, order: LoadOrder, wait_seconds: float) -> None:
        await asyncio.sleep(wait_seconds)
        if order.expected_orders == self.accepted:
            self.accepted += 1
            await asyncio.sleep(LOAD_SECONDS)
            self.version = order.version


class FakeEngineControl:
    """Control interface of the fake engines, by target id."""

    def __init__(self, count: int) -> None:
        self.engines = {f"e{number}": FakeEngine() for number in range(count)}
        self.tasks: list[asyncio.Task[None]] = []

    async def report(self, target: Target) -> EngineReport | None:
        engine = self.engines[target.id]
        await asyncio.sleep(engine.report_seconds)
        versions = {MODEL: WeightVersion(engine.version)}
        return EngineReport(engine.accepted, False, versions)

    async def load(
        self, target: Target, order: LoadOrder, permit: Permit
    ) -> OrderOutcome:
        engine = self.engines[target.id]
        engine.orders.append(order)
        answer = (
            engine.scripted_outcomes.pop(0)
            if engine.scripted_outcomes
            else OrderOutcome.ACCEPTED
        )
        if answer in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
            delay = engine.delay_seconds if answer is OrderOutcome.UNKNOWN else 0.0
            self.tasks.append(asyncio.create_task(engine.carry_out(order, delay)))
        return answer


class LoadingTests(PausedClockTestCase):
    """Guards against interleaved orders of two leaders and needless loads."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(JobsSlice, ServingSlice, TargetsSlice, VersionsSlice)
        apply(self.machine, PutServing(CONFIG, b""))
        self.member = FakeMember(self.machine, self.clock())

    def _start(
        self, count: int, leaving: frozenset[str] = frozenset()
    ) -> FakeEngineControl:
        control = FakeEngineControl(count)
        tracker = self.tracker = TargetTracker(
            self.member,  # type: ignore[arg-type]
            {},
            1.0,
            self.clock(),
        )
        for name in control.engines:
            engine = target(name, "engines", TargetKind.ENGINE)
            announce(self.machine.get(TargetsSlice), engine)
        loader = VersionLoader(
            self.member,  # type: ignore[arg-type]
            tracker,
            control,
            LoadingModels(),
            JobWork(),
            QUIET_SECONDS,
            self.clock(),
            lambda target: target.id in leaving,
        )
        task = asyncio.create_task(loader.run())
        self.addCleanup(task.cancel)
        return control

    def _publish(self, version: int) -> None:
        apply(self.machine, NameVersion(MODEL, WeightVersion(version)))

    async def test_each_engine_loads_once(self) -> None:
        control = self._start(5)
        self._publish(2)
        await asyncio.sleep(8.0)
        for engine in control.engines.values():
            self.assertEqual((engine.version, len(engine.orders)), (2, 1))

    async def test_engine_that_leaves_gets_no_orders(self) -> None:
        """Guards against loads on a target that has said that it leaves."""
        control = self._start(3, frozenset({"e1"}))
        self._publish(2)
        await asyncio.sleep(8.0)
        orders = {name: len(each.orders) for name, each in control.engines.items()}
        self.assertEqual({"e0": 1, "e1": 0, "e2": 1}, orders)

    async def test_no_more_than_two_load_at_once(self) -> None:
        control = self._start(5)
        self._publish(2)
        for _ in range(50):
            await asyncio.sleep(0.1)
            loading = sum(
                engine.accepted > engine.version - 1
                for engine in control.engines.values()
            )
            self.assertLessEqual(loading, 2)

    async def test_new_leader_is_quiet_at_first(self) -> None:
        control = self._start(1)
        self._publish(2)
        await asyncio.sleep(QUIET_SECONDS - 0.1)
        self.assertEqual(control.engines["e0"].orders, [])

    async def test_engine_without_an_answer_delays_no_other(self) -> None:
        """Pattern: the lead passes on while some engines are dark."""
        control = self._start(3)
        control.engines["e1"].report_seconds = 1.0
        await asyncio.sleep(0.1)
        known = {
            name for name in control.engines if self.tracker.tracked_by_id.get(name)
        }
        self.assertEqual(known, {"e0", "e2"})

    async def test_nothing_is_ordered_without_the_lease(self) -> None:
        self.member.lease = False
        control = self._start(1)
        self._publish(2)
        await asyncio.sleep(5.0)
        self.assertEqual(control.engines["e0"].orders, [])

    async def test_versions_that_were_passed_over_are_not_loaded(self) -> None:
        control = self._start(1)
        self._publish(2)
        self._publish(5)
        await asyncio.sleep(5.0)
        engine = control.engines["e0"]
        self.assertEqual([order.version for order in engine.orders], [5])

    async def test_orders_carry_the_term(self) -> None:
        self.member.lead(7)
        control = self._start(1)
        self._publish(2)
        await asyncio.sleep(5.0)
        self.assertEqual(control.engines["e0"].orders[0].fence, Term(7))

    @parameterized.expand(
        [
            ("conflict", OrderOutcome.CONFLICT),
            ("refused", OrderOutcome.REFUSED),
            ("lost", OrderOutcome.UNKNOWN),
        ]
    )
    async def test_order_that_failed_is_repeated(
        self, _: str, answer: OrderOutcome
    ) -> None:
        control = self._start(1)
        engine = control.engines["e0"]
        engine.scripted_outcomes = [answer]
        engine.delay_seconds = 1000.0
        self._publish(2)
        await asyncio.sleep(15.0)
        self.assertEqual((engine.version, len(engine.orders)), (2, 2))

    async def test_order_carried_out_late_is_void(self) -> None:
        """An unanswered order reaches the engine after newer ones."""
        control = self._start(1)
        engine = control.engines["e0"]
        engine.scripted_outcomes = [OrderOutcome.UNKNOWN]
        engine.delay_seconds = 12.0
        self._publish(2)
        await asyncio.sleep(3.0)
        self._publish(3)
        await asyncio.sleep(30.0)
        self.assertEqual(engine.version, 3)
        self._publish(4)
        await asyncio.sleep(5.0)
        self.assertEqual(engine.version, 4)

    @parameterized.expand(
        [
            ("all_answer", ()),
            ("first_never_answers", ("e0",)),
            ("second_never_answers", ("e1",)),
        ]
    )
    async def test_model_without_an_engine_of_its_own(
        self, _: str, silent: tuple[str, ...]
    ) -> None:
        """Guards against versions that no engine loads for want of engines."""
        shape = EngineShape(8, (MODEL, ModelName("n"), ModelName("o")))
        config = replace(
            CONFIG,
            version=ConfigVersion(2),
            services=tuple(
                replace(service, engine=shape) if service.engine else service
                for service in CONFIG.services
            ),
        )
        apply(self.machine, PutServing(config, b""))
        control = self._start(2)
        await asyncio.sleep(QUIET_SECONDS)
        for name in silent:
            control.engines[name].report_seconds = 1000.0
        self._publish(2)
        await asyncio.sleep(8.0)
        loaded = [e for e in control.engines.values() if e.version == 2]
        self.assertEqual([len(engine.orders) for engine in loaded], [1])
