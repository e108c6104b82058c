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


SETTLING_SECONDS = 2.0
"""Time from an answer until all processes must know of it: a renewal, a commit
and a change of the leader."""


@dataclass(frozen=True)
class CutOffCase:
    """What happens to a front that is cut off from control."""

    name: str
    frozen: bool = False
    """Whether the front is frozen for a time after the answer."""


@dataclass(frozen=True)
class SharedCase:
    """What fails once one front has heard that a target leaves."""

    name: str
    leader_killed: bool = False
    front_restarted: bool = False


@dataclass(frozen=True)
class ReuseCase:
    """The target that follows at the address of one that has left."""

    name: str
    same_id: bool


class LeavingAnswerTestCase(unittest.IsolatedAsyncioTestCase):
    """A site with two plain targets."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        # The one that leaves is in the data centre of the first front, which
        # prefers it.
        self.stayer, self.leaver = self.site.services
        # A front that is cut off learns of no further target.
        for front in self.site.fronts:
            for target in self.site.services:
                await self.hear(target, front)

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

    @parameterized.expand(
        [
            (case.name, case)
            for case in (ReuseCase("another_target", False), ReuseCase("same_id", True))
        ]
    )
    async def test_next_target_at_the_address_is_used(
        self, _: str, case: ReuseCase
    ) -> None:
        """Guards against a notice that outlives the run that gave it."""
        site = self.site
        front = site.fronts[0]
        await self.cut_off()
        self.leaver.leaving = ("1",)
        await self.hear(self.leaver, front)
        await self.leaver.stop()
        follower = site.new_target(3, engine=False)
        if case.same_id:
            follower.id = self.leaver.id
        await follower.listen(int(self.leaver.address.rpartition(":")[2]))
        site.targets.append(follower)
        follower.announce()
        await self.ask_many(front)
        self.assertEqual([], follower.runs)
        await self.join()
        await self.hear(follower, front)


class SharedNoticeTests(LeavingAnswerTestCase):
    """Guards against a notice that only the front that got it knows.

    The heartbeats of the target say that it is ready all the while.
    """

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                SharedCase("calm"),
                SharedCase("leader_killed", leader_killed=True),
                SharedCase("front_restarted", front_restarted=True),
            )
        ]
    )
    async def test_no_front_uses_the_target(self, _: str, case: SharedCase) -> None:
        site = self.site
        self.leaver.leaving = ("1",)
        await self.hear(self.leaver, site.fronts[0])
        if case.leader_killed:
            leader = await site.leader()
            await leader.kill()
            await leader.start()
        await asyncio.sleep(SETTLING_SECONDS)
        if case.front_restarted:
            await site.fronts[0].kill()
            await site.fronts[0].start()
        await site.wait(site.all_serve, "fronts that serve")
        before = len(self.leaver.runs)
        for front in site.fronts:
            answers = await self.ask_many(front)
            self.assertEqual({200}, {status for status, _, _ in answers}, answers)
        self.assertEqual(before, len(self.leaver.runs))

    async def test_leader_starts_no_items_or_reward_calls_there(self) -> None:
        site = self.site
        leaving = [site.engines[0], self.leaver]
        await site.submit("first", 24)
        await site.results("first", 24)
        for target in leaving:
            self.assertTrue(target.runs)
            target.leaving = ("1",)
        await site.submit("second", 24)
        await site.results("second", 24)
        before = [len(target.runs) for target in leaving]
        await site.submit("third", 24)
        await site.results("third", 24)
        self.assertEqual(before, [len(target.runs) for target in leaving])
