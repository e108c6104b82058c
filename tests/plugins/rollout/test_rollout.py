"""Tests of rollouts on a paused clock.

They guard against engines that stay on old weights unnoticed, activations
before the other engines are ready, and orders of a former leader.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.core.records import PublishedWeights, Target
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.plugins.orders.client import OrderClient
from goldcrestyard.plugins.orders.commands import Order
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.orders.sender import OrderSender
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settlements import SettlementBatcher
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.rollout.rollout import RolloutManager, rollout_status
from goldcrestyard.plugins.rollout.settings import RolloutSettings
from goldcrestyard.plugins.targets.commands import AnnounceTarget, RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.orders import NoAnswer, OrderAnswer
from goldcrestyard.policy.rollouts import VersionsReported, VersionsUnknown
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.plugins.orders.receivers import headers_of

MODEL = "lm"
ORDER_ANSWER_SECONDS = 0.3


@dataclass
class FakeEngine:
    """An engine with an optional fault.

    With ``fail`` it refuses orders, with ``lie`` it confirms them without
    effect, with ``stuck`` it does not answer them, and with ``hang`` it does
    not answer anything.
    """

    fault: str = ""
    swap_seconds: float = 0.0
    """How long an activation takes, during which the old version is served."""
    active: int | None = 1
    staged: tuple[int, ...] = ()
    orders: list[tuple[str, int]] = field(default_factory=list)
    ids: list[str] = field(default_factory=list)

    def take(self, request: bytes) -> OrderAnswer | None:
        head, body = request.split(b"\r\n\r\n")
        step = head.split(b" ")[1].decode().removeprefix("/weights/")
        version = json.loads(body)["version"]
        self.orders.append((step, version))
        self.ids.append(headers_of(request)["idempotency-key"])
        match self.fault:
            case "fail":
                return OrderAnswer(400, b"{}")
            case "hang" | "stuck":
                return None
            case "" if step == "stage":
                self.staged = (version,)
            case "" if version in self.staged:
                loop = asyncio.get_running_loop()
                loop.call_later(self.swap_seconds, self._activate, version)
        return OrderAnswer(200, b"{}")

    def _activate(self, version: int) -> None:
        self.active = version


@dataclass
class FakeEngines:
    """Engines by address, for version queries, orders and order look-ups."""

    by_address: dict[str, FakeEngine] = field(default_factory=dict)
    most_asked: int = 0
    most_open: int = 0
    open_now: int = 0

    async def open(self, address: str) -> "FakeConnection":
        await asyncio.sleep(0.01)
        self.open_now += 1
        self.most_open = max(self.most_open, self.open_now)
        return FakeConnection(self, self.by_address[address])

    async def query(self, target: Target) -> VersionsReported | VersionsUnknown:
        await asyncio.sleep(0.01)
        engine = self.by_address[target.address]
        if engine.fault == "hang":
            return VersionsUnknown("timeout")
        return VersionsReported(engine.active, engine.staged)

    async def look_up(self, order: Order) -> NoAnswer:
        return NoAnswer("not supported")


class FakeConnection:
    """A connection over which one order is sent to an engine."""

    def __init__(self, engines: FakeEngines, engine: FakeEngine) -> None:
        self._engines = engines
        self._engine = engine
        self._data = b""
        self._answer: OrderAnswer | None = None

    async def send(self, data: bytes) -> None:
        self._data = data

    def send_last(self, data: bytes) -> bool:
        self._answer = self._engine.take(self._data + data)
        return True

    async def read_answer(self) -> OrderAnswer:
        await asyncio.sleep(ORDER_ANSWER_SECONDS + self._engine.swap_seconds)
        if self._answer is None:
            await asyncio.sleep(3600.0)
            raise AssertionError("the order client did not abort its wait")
        return self._answer

    def abort(self) -> None:
        self._engines.open_now -= 1


class RolloutTests(PausedClockTestCase):
    """Rollouts from a publication until the engines serve it."""

    def setUp(self) -> None:
        self.machine = machine_of(OrdersSlice, TargetsSlice)
        self.engines = FakeEngines()
        self.publications = SimpleNamespace(published_by_model={MODEL: []})

    def announce(self, name: str, engine: FakeEngine, run: str = "i1") -> None:
        self.engines.by_address[f"{name}:1"] = engine
        target = Target(
            TargetId(name),
            TargetKind.ENGINE,
            f"{name}:1",
            "a",
            "r",
            (MODEL,),
            incarnation=run,
        )
        apply(self.machine, AnnounceTarget(target, InstanceId("e1")))

    def publish(self, version: int) -> None:
        weights = PublishedWeights(MODEL, version, f"store/{version}", "digest")
        self.publications.published_by_model[MODEL].append(weights)

    def start(self, name: str = "m1", term: int = 1) -> FakeMember:
        member = FakeMember(self.machine, self.clock(), name)
        member.lead(term)
        options = OrderSettings(concurrency=64)
        sender = OrderSender(
            member,
            OrderClient(self.engines, options, member.holds_lease, member.instance),
            self.engines,
            SettlementBatcher(member),
            self.clock(),
            options,
        )
        self.rollouts = RolloutManager(
            member,
            self.publications,
            OrderOutbox(member),
            self.engines,
            self.clock(),
            RolloutSettings(),
        )
        tasks = [
            asyncio.create_task(sender.run()),
            asyncio.create_task(self.rollouts.run()),
        ]
        self.addAsyncCleanup(self._stop, tasks)
        return member

    async def _stop(self, tasks: "list[asyncio.Task[None]]") -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(600.0):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.05)

    def progress(self) -> dict[str, object]:
        return rollout_status(self.rollouts.rollouts_by_model[MODEL])

    async def test_design_size_is_staged_and_then_activated(self) -> None:
        """Guards against sequential orders and unlimited concurrency."""
        engines = [FakeEngine() for _ in range(930)]
        for number, engine in enumerate(engines):
            self.announce(f"t{number}", engine)
        self.start()
        await asyncio.sleep(5.0)
        self.publish(2)
        while not any(engine.active == 2 for engine in engines):
            self.assertEqual({engine.active for engine in engines}, {1})
            await asyncio.sleep(0.05)
        self.assertTrue(all(engine.staged == (2,) for engine in engines))
        await asyncio.sleep(9.0)
        self.assertEqual({engine.active for engine in engines}, {2})
        self.assertEqual(self.progress()["engines"]["serving"], 930)
        self.assertLessEqual(self.engines.most_open, 64)
        steps = {tuple(engine.orders) for engine in engines}
        self.assertEqual(steps, {(("stage", 2), ("activate", 2))})

    @parameterized.expand([("fail",), ("lie",), ("stuck",), ("hang",)])
    async def test_faulty_engine_is_behind_and_holds_up_no_other(
        self, fault: str
    ) -> None:
        """Guards against trusting a faulty engine or waiting for it."""
        good = [FakeEngine() for _ in range(5)]
        bad = FakeEngine(fault)
        for number, engine in enumerate([*good, bad]):
            self.announce(f"t{number}", engine)
        self.start()
        await asyncio.sleep(5.0)
        self.publish(2)
        await asyncio.sleep(12.0)
        self.assertEqual({engine.active for engine in good}, {2})
        await asyncio.sleep(20.0)
        progress = self.progress()
        self.assertEqual(progress["engines"]["serving"], 5)
        if progress["engines"]["behind"]:
            self.assertEqual(list(progress["behind"]), ["t5"])
        bad.fault = ""
        await asyncio.sleep(400.0)
        self.assertEqual(bad.active, 2)
        self.assertEqual(self.progress()["behind"], {})

    async def test_retries_are_bounded(self) -> None:
        """Guards against orders to a faulty engine without a delay."""
        bad = FakeEngine("lie")
        self.announce("t1", bad)
        self.start()
        self.publish(2)
        await asyncio.sleep(300.0)
        self.assertLess(len(bad.orders), 40)
        self.assertGreater(len(bad.orders), 5)

    async def test_engine_that_starts_again_is_brought_up(self) -> None:
        """Guards against a restarted engine that serves its old weights."""
        self.announce("t1", FakeEngine())
        self.start()
        self.publish(2)
        await asyncio.sleep(10.0)
        self.assertEqual(self.progress()["engines"]["serving"], 1)
        again = FakeEngine()
        self.announce("t1", again, "i2")
        await asyncio.sleep(10.0)
        self.assertEqual(again.active, 2)

    async def test_engine_that_reverts_is_found(self) -> None:
        """Guards against an engine that reverts to old weights unnoticed."""
        engine = FakeEngine()
        self.announce("t1", engine)
        self.start()
        self.publish(2)
        await asyncio.sleep(10.0)
        engine.active, engine.staged = 1, ()
        await asyncio.sleep(310.0)
        self.assertEqual(engine.active, 2)

    async def test_newer_version_replaces_a_rollout(self) -> None:
        """Guards against a rollout that continues with an old version."""
        engine = FakeEngine()
        self.announce("t1", engine)
        self.start()
        await asyncio.sleep(5.0)
        self.publish(2)
        await asyncio.sleep(0.4)
        self.publish(3)
        await asyncio.sleep(15.0)
        self.assertEqual(engine.active, 3)
        self.assertEqual(self.progress()["version"], 3)

    async def test_new_leader_orders_nothing_a_second_time(self) -> None:
        """Guards against repeated orders after a change of leader."""
        engines = [FakeEngine(swap_seconds=2.0) for _ in range(10)]
        for number, engine in enumerate(engines):
            self.announce(f"t{number}", engine)
        old = self.start("old")
        await asyncio.sleep(5.0)
        self.publish(2)
        await self._until(lambda: all(len(e.orders) == 2 for e in engines))
        old.is_leader = False
        self.start("new", 2)
        await asyncio.sleep(20.0)
        self.assertEqual({engine.active for engine in engines}, {2})
        for engine in engines:
            self.assertEqual(len(set(engine.ids)), 2)

    async def test_member_that_was_replaced_orders_nothing(self) -> None:
        """Guards against orders from two members at the same time."""
        engine = FakeEngine()
        self.announce("t1", engine)
        member = self.start()
        await asyncio.sleep(5.0)
        member.is_leader = False
        self.publish(2)
        await asyncio.sleep(60.0)
        self.assertEqual(engine.orders, [])
        self.assertEqual(dict(self.rollouts.rollouts_by_model), {})

    async def test_engine_that_has_left_is_not_listed(self) -> None:
        """Guards against a removed engine in the operators' view."""
        self.announce("t1", FakeEngine("lie"))
        self.start()
        self.publish(2)
        await asyncio.sleep(5.0)
        # During a retry, the engine is listed as staging instead.
        await self._until(lambda: list(self.progress()["behind"]) == ["t1"])
        apply(self.machine, RemoveTarget(TargetId("t1"), "i1", TargetState.LEFT))
        await asyncio.sleep(5.0)
        self.assertEqual(self.progress()["behind"], {})
