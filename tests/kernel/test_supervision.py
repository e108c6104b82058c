"""Tests of what happens when a background task fails.

Pattern: one unexpected error, caused by one message or one caller, reaches a
task that the whole process depends on.
"""

import asyncio
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.kernel.supervision import (
    AfterFailure,
    FailureHistory,
    FailurePolicy,
    Restart,
    StopProcess,
)
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs


@dataclass(frozen=True)
class Case:
    """Times of failures, and what follows each."""

    name: str
    policy: FailurePolicy
    times: tuple[float, ...]
    expected: str
    """A letter for each failure: ``r`` for restart, ``s`` for stop."""


TWICE = Restart(max_failures=2, forgiven_seconds=10.0)
CASES = [
    Case("state_unknown", StopProcess(), (0.0,), "s"),
    Case("too_many_in_a_row", TWICE, (0.0, 1.0, 2.0), "rrs"),
    Case("far_apart", TWICE, (0.0, 11.0, 22.0, 33.0), "rrrr"),
    Case("again_after_a_calm_time", TWICE, (0.0, 1.0, 20.0, 21.0, 22.0), "rrrrs"),
]


class FailureHistoryTests(PausedClockTestCase):
    """How often a task may fail."""

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_decisions(self, _: str, case: Case) -> None:
        history = FailureHistory(case.policy)
        letters = {AfterFailure.RESTART: "r", AfterFailure.STOP_PROCESS: "s"}
        decisions = [letters[history.record(time)] for time in case.times]
        self.assertEqual("".join(decisions), case.expected)

    async def test_delays_double_up_to_a_bound(self) -> None:
        history = FailureHistory(Restart(0.5, 3.0, 10))
        delays = []
        for time in range(5):
            history.record(float(time))
            delays.append(history.delay_seconds)
        self.assertEqual(delays, [0.5, 1.0, 2.0, 3.0, 3.0])


class SuperviseTests(PausedClockTestCase):
    """Guards against one error that takes a process down."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.app = Application(Settings({}), [], self.clock())
        self.runs = 0
        self.failing = 0

    async def asyncTearDown(self) -> None:
        await self.app.stop()

    async def work(self) -> None:
        self.runs += 1
        if self.runs <= self.failing:
            raise KeyError("unexpected")
        await asyncio.get_running_loop().create_future()

    async def test_task_starts_again(self) -> None:
        self.failing = 3
        self.app.supervise(self.work, "work")
        await asyncio.sleep(10.0)
        self.assertEqual(self.runs, 4)
        self.assertEqual(self.app.task_failures, 3)
        self.assertFalse(self.app.stop_requested.is_set())

    async def test_tries_are_bounded(self) -> None:
        self.failing = 1000
        self.app.supervise(self.work, "work", Restart(max_failures=4))
        await asyncio.sleep(300.0)
        self.assertEqual(self.runs, 5)
        self.assertTrue(self.app.failed)
        self.assertTrue(self.app.stop_requested.is_set())

    async def test_unknown_state_stops_the_process(self) -> None:
        self.failing = 1
        self.app.supervise(self.work, "work", StopProcess())
        await asyncio.sleep(1.0)
        self.assertEqual(self.runs, 1)
        self.assertTrue(self.app.failed)
