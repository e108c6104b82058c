"""Requests that crash the targets that run them."""

import asyncio
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from tests.fakes.platform_site import Process, Site

DEADLY_PATH = "/quotes/deadly"
SERVICES = 4
DOWN_SECONDS = 1.0
"""Time after which a crashed target is back, as another run."""

NOTICE_SECONDS = 4.0
MAX_RUNS_AFTER_NOTICE = 3
"""Most runs of the request that begin later than ``NOTICE_SECONDS`` after it
has crashed the third target."""

MEASURED_SECONDS = 12.0


@dataclass(frozen=True)
class CrashCase:
    """What fails beside the request, once it has crashed the third target."""

    name: str
    leader_killed: bool = False
    fronts_killed: bool = False


class CrashingRequestTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a request that crashes target after target.

    It comes again through any front, each time under another id.
    """

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start(services=SERVICES)
        for target in self.site.services:
            target.deadly_path = DEADLY_PATH
            target.down_seconds = DOWN_SECONDS

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                CrashCase("calm"),
                CrashCase("leader_killed", leader_killed=True),
                CrashCase("fronts_killed", fronts_killed=True),
            )
        ]
    )
    async def test_request_that_comes_again_reaches_few_targets(
        self, _: str, case: CrashCase
    ) -> None:
        site = self.site
        load = asyncio.create_task(self._ask_again_and_again())
        self.addAsyncCleanup(self._end, load)

        async def three_crashes() -> bool:
            return len(self._begun_at()) >= 3

        await site.wait(three_crashes, "three crashes")
        if case.leader_killed:
            await self._restart(await site.leader())
        if case.fronts_killed:
            for front in site.fronts:
                await self._restart(front)
        await asyncio.sleep(MEASURED_SECONDS)
        noticed_at = self._begun_at()[2] + NOTICE_SECONDS
        late = [at for at in self._begun_at() if at > noticed_at]
        self.assertLessEqual(len(late), MAX_RUNS_AFTER_NOTICE)
        # The others are served, and the request itself is refused as not run.
        await site.wait(site.all_serve, "targets that serve other requests")
        status, _, headers = await site.ask(DEADLY_PATH)
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def _begun_at(self) -> list[float]:
        """Return the times at which a target began to run the request."""
        return sorted(
            run.started_at
            for target in self.site.services
            for run in target.runs
            if run.path == DEADLY_PATH
        )

    async def _ask_again_and_again(self) -> None:
        while True:
            for front in self.site.fronts:
                await self.site.ask(DEADLY_PATH, front)
                await asyncio.sleep(0.2)

    async def _restart(self, process: Process) -> None:
        await process.kill()
        await process.start()

    async def _end(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
