"""Tests of the reward calls of items, at services that are short of places."""

import asyncio
import random
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, RequestId
from goldcrestyard.core.jobs import RewardCall
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.rewards import NoScore, RewardCaller, Scored
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import Place
from tests.fakes.announcements import announce
from tests.fakes.member import apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, HOST
from tests.fakes.targets import (
    CUT,
    DOWN,
    FULL,
    Answers,
    Behaviour,
    FakeTargetClient,
    Hangs,
    target,
)

SECONDS = 10.0
"""Time that a call has."""

MOST_TRIES = 24
"""Tries in that time at a service that takes none: with a pause that grows to
a second between two rounds, a dozen, and as many for hedges."""

PLACES = 6
"""Concurrency of the stand-in's targets."""


@dataclass(frozen=True)
class Case:
    """What the scorers do in turn, and what the call comes to."""

    name: str
    scorers: tuple[tuple[Behaviour, ...], ...]
    outcome: Scored | NoScore
    most_tries: int = MOST_TRIES


SCORE = Scored("score")
GOOD = Answers(signature="score")
FAULT = Answers(status=500)
SLOW = Answers(signature="score", seconds=0.4)
"""Within two objectives of the route."""

CASES = [
    Case("whole", ((GOOD,),), SCORE, 1),
    Case("full_for_good", ((FULL,),), NoScore()),
    Case("all_full_for_good", ((FULL,), (FULL,), (FULL,)), NoScore(), 3 * MOST_TRIES),
    Case("down_for_good", ((DOWN,),), NoScore()),
    Case("cut_for_good", ((CUT,),), NoScore()),
    Case("one_hangs_and_one_is_full", ((Hangs(),), (FULL,)), NoScore(), 2 * MOST_TRIES),
    Case("full_at_first", ((FULL, FULL, FULL, GOOD),), SCORE, 4),
    Case("another_is_free", ((FULL,), (GOOD,)), SCORE, 2),
    Case("silent_connection", ((Hangs(), GOOD),), SCORE, 2),
    # A second request at a slow target only makes it slower.
    Case("slow_one_is_not_asked_twice", ((SLOW,),), SCORE, 1),
    Case("always_at_fault", ((FAULT,),), NoScore(), 4),
]


def _call(number: int = 1) -> RewardCall:
    return RewardCall(RequestId(f"reward-{number}"), HOST, "/score/1", b"")


class RewardTests(PausedClockTestCase):
    """Guards against calls that crowd a service out instead of waiting."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(ServingSlice, TargetsSlice)
        apply(self.machine, PutServing(CONFIG, b""))

    def _caller(self, scorers: tuple[tuple[Behaviour, ...], ...]) -> RewardCaller:
        targets = self.machine.get(TargetsSlice)
        behaviours = {f"s{number}": list(each) for number, each in enumerate(scorers)}
        for name in behaviours:
            announce(targets, target(name))
        self.client = FakeTargetClient(behaviours)
        place = Place(DataCentre("dc"), Region("r"))
        clock = self.clock()
        return RewardCaller(
            self.machine.get(ServingSlice),
            CallRouter(targets, place, clock, random.Random(1)),
            self.client,
            clock,
            random.Random(1),
        )

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_call(self, _: str, case: Case) -> None:
        caller = self._caller(case.scorers)
        deadline = self.clock().monotonic() + SECONDS
        outcome = await caller.score(_call(), deadline)
        self.assertEqual(case.outcome, outcome)
        self.assertLessEqual(len(self.client.calls), case.most_tries)
        await asyncio.sleep(0.0)
        self.assertEqual(0, self.client.open_now)

    async def test_wave_leaves_the_queue_to_callers(self) -> None:
        # Reward calls come in waves, at the end of a group; they once filled
        # the queue of the only target, and live requests were refused.
        caller = self._caller(((Answers(signature="score", seconds=0.2),),))
        deadline = self.clock().monotonic() + SECONDS
        calls = [
            asyncio.create_task(caller.score(_call(number), deadline))
            for number in range(4 * PLACES)
        ]
        most = 0
        while not all(call.done() for call in calls):
            most = max(most, self.client.open_now)
            await asyncio.sleep(0.01)
        self.assertEqual([SCORE] * len(calls), [call.result() for call in calls])
        self.assertGreater(most, 1)
        self.assertLessEqual(most, PLACES)

    async def test_group_after_group(self) -> None:
        # With scores spread over all groups at random, none was whole when
        # the step's time was up.
        caller = self._caller(((Answers(signature="score", seconds=0.2),),))
        deadline = self.clock().monotonic() + SECONDS
        groups = [number % 4 for number in range(PLACES * 4)]
        await asyncio.gather(
            *(
                caller.score(_call(number), deadline, (0.0, group))
                for number, group in enumerate(groups)
            )
        )
        started = [
            groups[int(call.request.removeprefix("reward-"))]
            for _, call in self.client.calls
        ]
        self.assertEqual(len(groups), len(started))
        # The first calls find places before any others have come.
        self.assertEqual(sorted(started[PLACES:]), started[PLACES:])
