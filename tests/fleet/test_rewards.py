"""Tests of reward calls to scoring services that are full, slow or failing."""

import asyncio
import random
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, RequestId
from goldcrestyard.core.jobs import RewardCall
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.rewards import NoScore, RewardClient, Scored
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from tests.fakes.announcements import announce
from tests.fakes.member import apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, HOST
from tests.fakes.targets import (
    DOWN,
    FULL,
    RESET,
    Answers,
    Behaviour,
    FakeTargetClient,
    Hangs,
    target,
)

CALL_SECONDS = 10.0
"""Time limit of a reward call."""

MAX_TRIES = 24
"""Maximum number of attempts within ``CALL_SECONDS`` at a target that never
answers: a dozen, since the pause between two rounds grows to a second, and as
many for hedges."""

SLOTS = 6
"""Number of calls that each fake target runs concurrently."""


@dataclass(frozen=True)
class Case:
    """Successive behaviours of each scoring target, and the call's outcome."""

    name: str
    scorers: tuple[tuple[Behaviour, ...], ...]
    outcome: Scored | NoScore
    max_tries: int = MAX_TRIES


SCORE = Scored("score")
SCORED = Answers(signature="score")
SERVER_ERROR = Answers(status=500)
SLOW_ANSWER = Answers(signature="score", seconds=0.4)
"""Answers within twice the route's latency objective."""

CASES = [
    Case("whole", ((SCORED,),), SCORE, 1),
    Case("full_for_good", ((FULL,),), NoScore()),
    Case("all_full_for_good", ((FULL,), (FULL,), (FULL,)), NoScore(), 3 * MAX_TRIES),
    Case("down_for_good", ((DOWN,),), NoScore()),
    Case("cut_for_good", ((RESET,),), NoScore()),
    Case("one_hangs_and_one_is_full", ((Hangs(),), (FULL,)), NoScore(), 2 * MAX_TRIES),
    Case("full_at_first", ((FULL, FULL, FULL, SCORED),), SCORE, 4),
    Case("another_is_free", ((FULL,), (SCORED,)), SCORE, 2),
    Case("silent_connection", ((Hangs(), SCORED),), SCORE, 2),
    # A second request at a slow target only makes it slower.
    Case("slow_one_is_not_asked_twice", ((SLOW_ANSWER,),), SCORE, 1),
    Case("always_at_fault", ((SERVER_ERROR,),), NoScore(), 4),
]


def _call(number: int = 1) -> RewardCall:
    return RewardCall(RequestId(f"reward-{number}"), HOST, "/score/1", b"")


class RewardTests(PausedClockTestCase):
    """Guards against calls that overload a service instead of waiting."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(ServingSlice, TargetsSlice)
        apply(self.machine, PutServing(CONFIG, b""))

    def _reward_client(
        self, scorers: tuple[tuple[Behaviour, ...], ...]
    ) -> RewardClient:
        targets = self.machine.get(TargetsSlice)
        behaviours = {f"s{number}": list(each) for number, each in enumerate(scorers)}
        for name in behaviours:
            announce(targets, target(name))
        self.client = FakeTargetClient(behaviours)
        location = CallerLocation(DataCentre("dc"), Region("r"))
        clock = self.clock()
        return RewardClient(
            self.machine.get(ServingSlice),
            CallRouter(targets, location, clock, random.Random(1)),
            self.client,
            clock,
            random.Random(1),
        )

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_call(self, _: str, case: Case) -> None:
        reward_client = self._reward_client(case.scorers)
        deadline = self.clock().monotonic() + CALL_SECONDS
        outcome = await reward_client.score(_call(), deadline)
        self.assertEqual(case.outcome, outcome)
        self.assertLessEqual(len(self.client.calls), case.max_tries)
        await asyncio.sleep(0.0)
        self.assertEqual(0, self.client.open_calls)

    async def test_wave_leaves_the_queue_to_callers(self) -> None:
        # Reward calls come in bursts, at the end of a group.  More calls than
        # slots fill the queue of the only target, which then refuses callers'
        # requests.
        reward_client = self._reward_client(
            ((Answers(signature="score", seconds=0.2),),)
        )
        deadline = self.clock().monotonic() + CALL_SECONDS
        calls = [
            asyncio.create_task(reward_client.score(_call(number), deadline))
            for number in range(4 * SLOTS)
        ]
        most_open = 0
        while not all(call.done() for call in calls):
            most_open = max(most_open, self.client.open_calls)
            await asyncio.sleep(0.01)
        self.assertEqual([SCORE] * len(calls), [call.result() for call in calls])
        self.assertGreater(most_open, 1)
        self.assertLessEqual(most_open, SLOTS)

    async def test_group_after_group(self) -> None:
        # A group counts only with all its scores.  Scored in random order, no
        # group is complete at the deadline of the training step.
        reward_client = self._reward_client(
            ((Answers(signature="score", seconds=0.2),),)
        )
        deadline = self.clock().monotonic() + CALL_SECONDS
        groups = [number % 4 for number in range(SLOTS * 4)]
        await asyncio.gather(
            *(
                reward_client.score(_call(number), deadline, (0.0, group))
                for number, group in enumerate(groups)
            )
        )
        started = [
            groups[int(call.request.removeprefix("reward-"))]
            for _, call in self.client.calls
        ]
        self.assertEqual(len(groups), len(started))
        # The first calls take free slots before other calls are waiting.
        self.assertEqual(sorted(started[SLOTS:]), started[SLOTS:])
