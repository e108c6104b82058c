"""Targets that name the number of requests a second that they accept."""

import asyncio
import random
import time
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from tests.fakes.platform_site import Process, Site
from tests.fakes.platform_targets import StandInTarget

LIMIT = 1.0
WINDOW_SECONDS = 4.0
MAX_REQUESTS_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
SETTLING_SECONDS = 4.0
"""Time from the first answer that names a limit until the limit must hold."""
MEASURED_SECONDS = 10.0
MIN_SHARE_USED = 0.5
"""Smallest share of the requests that the targets accept which must reach
them, so that a process that refuses everything does not pass."""


@dataclass(frozen=True)
class LimitCase:
    """What fails while the limits are in force."""

    name: str
    leader_killed: bool = False
    front_killed: bool = False


class RequestLimitTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a target that gets more requests than its limit.

    The limit is for the sum over all processes: callers' requests through two
    fronts and the reward calls of the leader, which come in bursts.
    """

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        self.served = 0

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                LimitCase("calm"),
                LimitCase("leader_killed", leader_killed=True),
                LimitCase("front_killed", front_killed=True),
            )
        ]
    )
    async def test_sum_over_all_processes_stays_within_the_limit_of_a_target(
        self, _: str, case: LimitCase
    ) -> None:
        site = self.site
        for target in site.services:
            target.request_limit = LIMIT
        since = time.time()
        load = asyncio.create_task(self._load())
        await asyncio.sleep(SETTLING_SECONDS + 1.0)
        await site.submit("job", 16)
        if case.leader_killed:
            await self._restart(await site.leader())
        if case.front_killed:
            await self._restart(site.fronts[0])
        served_before = self.served
        await asyncio.sleep(MEASURED_SECONDS)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        for target in site.services:
            self.assertLessEqual(most_in_window(target, since), MAX_REQUESTS_IN_WINDOW)
        accepted = LIMIT * len(site.services) * MEASURED_SECONDS
        rewards = sum(
            run.path.startswith("/score/")
            for target in site.services
            for run in target.runs
        )
        self.assertGreaterEqual(
            self.served - served_before + rewards, MIN_SHARE_USED * accepted
        )

    async def test_calls_are_not_limited_any_more_once_the_limit_is_gone(self) -> None:
        site = self.site
        for target in site.services:
            target.request_limit = LIMIT
        load = asyncio.create_task(self._load())
        await asyncio.sleep(SETTLING_SECONDS)
        for target in site.services:
            target.request_limit = None

        async def nearly_all_served() -> bool:
            answers = await asyncio.gather(
                *(site.ask("/quotes/7", site.fronts[n % 2]) for n in range(20))
            )
            return all(status == 200 for status, _, _ in answers)

        await site.wait(nearly_all_served, "an end of the limits")
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)

    async def _load(self) -> None:
        """Send several times as many requests as the targets accept."""
        async with asyncio.TaskGroup() as calls:
            while True:
                calls.create_task(self._call())
                await asyncio.sleep(0.06)

    async def _call(self) -> None:
        front = random.choice(self.site.fronts)
        status, _, _ = await self.site.ask("/quotes/7", front)
        self.served += status == 200

    async def _restart(self, process: Process) -> None:
        await process.kill()
        await process.start()


def most_in_window(target: StandInTarget, since: float) -> int:
    """Return the largest number of requests in a window, after settling."""
    counted = [
        run.started_at
        for run in target.runs
        if run.started_at >= since + SETTLING_SECONDS
    ]
    return max(
        (
            sum(begin <= at < begin + WINDOW_SECONDS for at in counted)
            for begin in counted
        ),
        default=0,
    )
