"""Targets that say in their answers that they leave."""

import asyncio
import signal
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from tests.fakes.platform_site import Process, Site
from tests.fakes.platform_targets import StandInTarget

OPEN_PATH = "/score/7"
"""A route that needs no key, so that a front without a lease serves it."""

REQUESTS = 24


@dataclass(frozen=True)
class CutOffCase:
    """What happens to a front that is cut off from control."""

    name: str
    frozen: bool = False
    """Whether the front is frozen for a time after the answer."""


class LeavingAnswerTestCase(unittest.IsolatedAsyncioTestCase):
    """A site with two plain targets."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        # The one that leaves is in the data centre of the first front, which
        # prefers it.
        self.stayer, self.leaver = self.site.services

    async def cut_off(self) -> None:
        """Freeze all control members: every front is cut off from control."""
        for process in self.site.controls:
            process.signal(signal.SIGSTOP)
        self.addAsyncCleanup(self.join)

    async def join(self) -> None:
        for process in self.site.controls:
            process.signal(signal.SIGCONT)

    async def hear(self, target: StandInTarget, front: Process) -> None:
        """Send requests to a front until a target has answered one."""
        others = [other for other in self.site.services if other is not target]
        before = len(target.runs)

        async def answered() -> bool:
            await self.site.ask(OPEN_PATH, front, key=None)
            return len(target.runs) > before

        for other in others:
            other.failing = True
        await self.site.wait(answered, "an answer of the target")
        for other in others:
            other.failing = False

    async def ask_many(self, front: Process) -> list[tuple[int, bytes, dict[str, str]]]:
        return list(
            await asyncio.gather(
                *(self.site.ask(OPEN_PATH, front, key=None) for _ in range(REQUESTS))
            )
        )


class CutOffFrontTests(LeavingAnswerTestCase):
    """Guards against new work for a target that has said that it leaves.

    The front learns of it from the target alone.
    """

    @parameterized.expand(
        [
            (case.name, case)
            for case in (CutOffCase("running"), CutOffCase("frozen", frozen=True))
        ]
    )
    async def test_target_gets_no_more_requests(self, _: str, case: CutOffCase) -> None:
        front = self.site.fronts[0]
        await self.cut_off()
        self.leaver.leaving = ("1",)
        await self.hear(self.leaver, front)
        if case.frozen:
            front.signal(signal.SIGSTOP)
            await asyncio.sleep(1.0)
            front.signal(signal.SIGCONT)
        before = len(self.leaver.runs)
        answers = await self.ask_many(front)
        self.assertEqual({200}, {status for status, _, _ in answers})
        self.assertEqual(before, len(self.leaver.runs))

    async def test_requests_are_refused_when_all_targets_leave(self) -> None:
        """A refusal must be true: none of these requests runs later."""
        front = self.site.fronts[0]
        await self.cut_off()
        for target in self.site.services:
            target.leaving = ("1",)
        await self.hear(self.leaver, front)
        await self.hear(self.stayer, front)
        before = [len(target.runs) for target in self.site.services]
        answers = await self.ask_many(front)
        self.assertEqual({503}, {status for status, _, _ in answers})
        for _, _, headers in answers:
            self.assertGreater(float(headers["Retry-After"]), 0.0)
        await self.join()
        await asyncio.sleep(1.0)
        self.assertEqual(before, [len(target.runs) for target in self.site.services])
