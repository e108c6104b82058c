"""Tests of hedged calls on the paused clock: budget, room, silence, losers."""

import asyncio
import random
from dataclasses import dataclass, replace

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.core.ids import RequestId
from goldcrestyard.core.jobs import RewardCall
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.gateway.calls import CallAnswer, CallRunner
from goldcrestyard.fleet.gateway.hedging import CallHedging
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.rewards import RewardClient, Scored
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import HOST, entry_view, request, request_guard
from tests.fakes.targets import (
    FULL,
    RESET,
    Answers,
    Behaviour,
    FakeTargetClient,
    Hangs,
    target,
)

NAMES = ("a", "b", "c", "d")
SLOTS = 6
SLOW = Answers(b"slow", seconds=0.15)
"""Slower than the delay of 0.1 s at first: 0.4 of an objective of 0.25 s."""
VERY_SLOW = Answers(b"slow", seconds=1.0)
QUICK = Answers(b"quick", seconds=0.01)


class HedgingTestCase(PausedClockTestCase):
    """Runs calls and reward calls at four targets."""

    def start(self, *behaviours: Behaviour, share: float = 0.1) -> None:
        """Let the targets follow one list of behaviours."""
        quiet_logs(self)
        clock = self.clock()
        shared = list(behaviours)
        self.client = FakeTargetClient(dict.fromkeys(NAMES, shared))
        self.view = entry_view(clock, NAMES)
        self.metrics = FleetMetrics(CollectorRegistry())
        location = CallerLocation(target("a").data_centre, target("a").region)
        self.router = CallRouter(
            self.view.machine.get(TargetsSlice), location, clock, random.Random(1)
        )
        self.hedging = CallHedging(clock, share, self.metrics)
        self.admission = Admission(self.view, clock)
        self.runner = CallRunner(
            self.admission,
            self.router,
            self.client,
            request_guard(self.view, self.client, clock),
            UsageMeter(5.0),
            clock,
            random.Random(1),
            self.hedging,
        )
        self.rewards = RewardClient(
            self.view.machine.get(ServingSlice),
            self.router,
            self.client,
            clock,
            random.Random(1),
            self.hedging,
        )

    async def call(self, number: int = 0) -> CallAnswer:
        """Send a repeatable request and return its answer."""
        sent = replace(request("/again/"), body=b"%d" % number)
        admitted = self.admission.admit(sent, self.clock().monotonic())
        assert isinstance(admitted, AdmittedRequest)
        answer = await self.runner.answer(admitted)
        assert isinstance(answer, CallAnswer), answer
        return answer

    async def score(self, number: int = 0) -> Scored:
        """Send a reward call and return its score."""
        call = RewardCall(RequestId(f"r-{number}"), HOST, "/score/1", b"")
        deadline = self.clock().monotonic() + 10.0
        outcome = await self.rewards.score(call, deadline)
        assert isinstance(outcome, Scored), outcome
        return outcome

    async def send(self, kind: str, number: int = 0) -> None:
        await (self.score(number) if kind == "reward" else self.call(number))

    def hedges(self) -> float:
        """Return the number of hedges sent."""
        return self.metrics.hedges.labels("sent")._value.get()

    def withheld(self, reason: str) -> float:
        """Return the number of hedges withheld for a reason."""
        return self.metrics.hedges_withheld.labels(reason)._value.get()


@dataclass(frozen=True)
class Case:
    """Behaviours of the targets in turn, and what a call sends."""

    name: str
    behaviours: tuple[Behaviour, ...]
    calls: int
    hedges: int
    seconds: float
    share: float = 0.1


CASES = [
    Case("quick_one_is_not_hedged", (QUICK,), 1, 0, 0.01),
    Case("slow_one_is_hedged", (VERY_SLOW, QUICK), 2, 1, 0.11),
    Case("slow_one_without_hedging", (SLOW,), 1, 0, 0.15, 0.0),
    Case("retry_after_a_failure", (RESET, QUICK), 2, 0, 0.02),
    Case("retry_after_a_refusal", (FULL, QUICK), 2, 0, 0.01),
    Case("refused_hedge_is_sent_on", (VERY_SLOW, FULL, QUICK), 3, 1, 0.11),
]


class SecondAttemptTests(HedgingTestCase):
    """Guards against copies that nobody needs, and against missing ones."""

    @parameterized.expand(
        [
            (f"{case.name}_{kind}", case, kind)
            for case in CASES
            for kind in ("call", "reward")
        ]
    )
    async def test_copies(self, _: str, case: Case, kind: str) -> None:
        self.start(*case.behaviours, share=case.share)
        began = self.clock().monotonic()
        await self.send(kind)
        self.assertAlmostEqual(self.clock().monotonic() - began, case.seconds, 2)
        self.assertEqual(len(self.client.calls), case.calls)
        self.assertEqual(self.hedges(), case.hedges)
        await asyncio.sleep(0.0)
        self.assertEqual(self.client.open_calls, 0)

    @parameterized.expand([("call",), ("reward",)])
    async def test_budget_is_not_exceeded(self, kind: str) -> None:
        # Far slower than at first known, but never silent for long.
        self.start(VERY_SLOW)
        for number in range(40):
            await self.send(kind, number)
        self.assertLessEqual(self.hedges(), 3 + 40 * 0.1)
        self.assertGreater(self.hedges(), 0)

    @parameterized.expand([("call",), ("reward",)])
    async def test_no_hedge_when_the_targets_are_full(self, kind: str) -> None:
        self.start(SLOW)
        for name in NAMES:
            self.router.begin_call(target(name)).in_flight = SLOTS - 1
        self.router.statistics_by_id[target("a").id].in_flight = 0
        for name in NAMES[1:]:
            self.router.statistics_by_id[target(name).id].in_flight = SLOTS
        await self.send(kind)
        self.assertEqual(len(self.client.calls), 1)
        self.assertEqual((self.hedges(), self.withheld("no_room")), (0, 1))

    async def test_no_hedge_at_a_target_that_failed(self) -> None:
        self.start(SLOW)
        for name in NAMES[1:]:
            self.router.begin_call(target(name)).record_failure(0.0)
            self.router.statistics_by_id[target(name).id].in_flight = 0
        await self.call()
        self.assertEqual(self.client.called_targets, ["a"])

    @parameterized.expand(
        [
            (f"{name}_{kind}", kind, latency, answer, hedges)
            for kind in ("call", "reward")
            for name, latency, answer, hedges in (
                ("usually_slow", 0.2, 0.19, 0),
                ("usually_slow_and_slower_now", 0.2, 0.4, 1),
                ("usually_quick", 0.02, 0.095, 1),
            )
        ]
    )
    async def test_delay_follows_the_latencies(
        self, _: str, kind: str, latency: float, answer: float, hedges: int
    ) -> None:
        self.start(Answers(seconds=answer))
        path = "/again/x" if kind == "call" else "/score/x"
        table = self.view.machine.get(ServingSlice).table
        assert table is not None
        route = table.route(HOST, path)
        assert route is not None
        for _number in range(25):
            self.hedging.of_route(route).note_latency(latency)
        await self.send(kind)
        self.assertEqual(self.hedges(), hedges)

    async def test_quickly_answered_losers_do_not_shorten_the_delay(self) -> None:
        self.start(*[VERY_SLOW, QUICK] * 10, QUICK)
        route = self.admission.admit(request("/again/"), 0.0)
        assert isinstance(route, AdmittedRequest)
        for number in range(3):
            await self.call(number)
        histogram = self.hedging.of_route(route.route)._latencies
        # Each hedge leaves the time of its winner and that of its loser.
        self.assertEqual(sum(histogram.counts), 6)

    @parameterized.expand([("call",), ("reward",)])
    async def test_silent_target_is_covered_without_a_budget(self, kind: str) -> None:
        self.start(Hangs(), QUICK, share=0.0)
        began = self.clock().monotonic()
        await self.send(kind)
        self.assertAlmostEqual(self.clock().monotonic() - began, 0.21, 2)
        self.assertEqual((len(self.client.calls), self.hedges()), (2, 0))

    @parameterized.expand([("call",), ("reward",)])
    async def test_silent_targets_do_not_lengthen_the_delay(self, kind: str) -> None:
        """Guards against silent targets that are covered later and later."""
        self.start(*[Hangs(), QUICK] * 60, share=0.0)
        for number in range(59):
            await self.send(kind, number)
        began = self.clock().monotonic()
        await self.send(kind, 59)
        # The first delay with no latency known, and the answer.
        self.assertLess(self.clock().monotonic() - began, 0.3)

    async def test_frozen_target_is_left_out_after_two_silent_calls(self) -> None:
        """Guards against a frozen target that uses up the budget."""
        self.start(QUICK)
        # Slower than a target that is not known yet, which is preferred.
        usual = Answers(seconds=0.06)
        self.client.behaviours_by_target = {name: [usual] for name in NAMES}
        self.client.behaviours_by_target["a"] = [Hangs()]
        for number in range(9):
            await self.call(number)
        self.assertEqual(self.client.called_targets.count("a"), 2)
