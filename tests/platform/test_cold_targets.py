"""Targets that are cold, with real processes."""

import asyncio
import time
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from tests.fakes.platform_site import Site, configuration
from tests.fakes.platform_targets import StandInTarget

COLD_SECONDS = 6.0
COLD_PER_SECOND = 4.0
MOST_IN_A_SECOND = COLD_PER_SECOND * 1.5 + 5
SENDERS_PER_FRONT = 12
ZONE = "a"


@dataclass(frozen=True)
class ColdCase:
    """How a target becomes cold, and what happens meanwhile."""

    name: str
    evacuated: bool = False
    restarted: bool = False
    reports: bool = False
    """Whether it says so in its heartbeats, without a restart."""
    leader_killed: bool = False


COLD_CASES = [
    ColdCase("evacuation_ended", evacuated=True),
    ColdCase("restarted", restarted=True),
    ColdCase("restarted_and_leader_killed", restarted=True, leader_killed=True),
    ColdCase("reported", reports=True),
]


class ColdTargetTests(unittest.IsolatedAsyncioTestCase):
    """Guards against more requests than a cold target bears.

    The bound is for the sum over both fronts and the leader's reward calls.
    """

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        document = configuration(2)
        document["services"][0] |= {
            "cold_s": COLD_SECONDS,
            "cold_per_s": COLD_PER_SECOND,
        }
        await self.site.put_configuration(document)
        self.warm, self.cold = self.site.services
        # The other target alone is too slow for all requests.
        self.warm.answer_seconds = 0.3

    async def _send(self) -> None:
        async def send(number: int) -> None:
            front = self.site.fronts[number % 2]
            while True:
                await self.site.ask("/score/1", front, key=None)
                await asyncio.sleep(0.01)

        await asyncio.gather(*(send(n) for n in range(2 * SENDERS_PER_FRONT)))

    def _runs(self, since: float, until: float) -> list[float]:
        found = [run.started_at for run in self.cold.runs]
        return [at for at in found if since <= at < until]

    async def _evacuate(self, method: str) -> None:
        async def answered() -> bool:
            control = self.site.controls[0].address("ctl")
            url = f"http://{control}/v1/evacuate/{ZONE}"
            return (await self.site.call(method, url))[0] == 200

        await self.site.wait(answered, f"{method} {ZONE}")

    async def _make_cold(self, case: ColdCase) -> float:
        """Make the target cold; return the time from which it must hold."""
        if case.evacuated:
            await self._evacuate("POST")
            await asyncio.sleep(2.0)
            since = time.time()
            await self._evacuate("DELETE")
            return since
        if case.restarted:
            since = time.time()
            await self.cold.crash()
            return since + self.cold.down_seconds
        self.cold.cold_left_seconds = COLD_SECONDS
        # A heartbeat to the leader, and a renewal of each front.
        await asyncio.sleep(1.5)
        return time.time()

    @parameterized.expand([(case.name, case) for case in COLD_CASES])
    async def test_any_second(self, _: str, case: ColdCase) -> None:
        site = self.site
        assert isinstance(self.cold, StandInTarget)
        await asyncio.sleep(COLD_SECONDS + 2.0)
        load = asyncio.create_task(self._send())
        await asyncio.sleep(2.0)
        busiest = _most_in_a_second(self._runs(0.0, time.time()))
        # Otherwise the load is too small to show anything.
        self.assertGreater(busiest, 2 * MOST_IN_A_SECOND)
        since = await self._make_cold(case)
        if case.leader_killed:
            await asyncio.sleep(1.0)
            leader = await site.leader()
            await leader.kill()
            await leader.start()
        await site.submit("job", 8)
        until = since + COLD_SECONDS - 0.5
        await asyncio.sleep(max(0.0, until - time.time()))
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        found = self._runs(since, until)
        self.assertLessEqual(_most_in_a_second(found), MOST_IN_A_SECOND)
        self.assertGreater(len(found), COLD_PER_SECOND)


def _most_in_a_second(times: list[float]) -> int:
    return max(
        (sum(begin <= at < begin + 1.0 for at in times) for begin in times), default=0
    )
