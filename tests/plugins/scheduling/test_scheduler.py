"""Tests of the scheduler on a paused clock.

They guard against slots that stay occupied after their request has ended,
and against requests that wait for ever.
"""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

from goldcrestyard.core.attempts import Answered, Broken, TokenCount, TurnedAway
from goldcrestyard.core.ids import (
    DataCentre,
    OrganisationId,
    Region,
    TargetId,
)
from goldcrestyard.core.records import Organisation, Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority, TargetKind
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.scheduling.scheduler import (
    Grant,
    Run,
    Scheduler,
    WorkRequest,
)
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.targets.commands import TargetsSnapshot
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.routing import RequestNeeds
from tests.fakes.announcements import announce
from tests.fakes.paused_clock import PausedClockTestCase

MODEL = "inspect-lm"


class SchedulerTests(PausedClockTestCase):
    """Grants, waiting, refusals and clean-up."""

    async def asyncSetUp(self) -> None:
        self.targets = TargetsSlice()
        self.add_target("a", 2)
        self.scheduler = Scheduler(
            self.targets, self.clock(), Region("lisboa"), SchedulingSettings()
        )

    def add_target(self, name: str, concurrency: int, incarnation: str = "") -> None:
        """Announce a target."""
        record = Target(
            TargetId(name),
            TargetKind.ENGINE,
            "127.0.0.1:1",
            DataCentre("lisboa-a"),
            Region("lisboa"),
            (MODEL,),
            max_concurrency=concurrency,
            incarnation=incarnation,
        )
        announce(self.targets, record)

    def work(self, organisation: str = "tejo", **terms: object) -> WorkRequest:
        """Return a request of an organisation with the given terms."""
        return WorkRequest(
            MODEL,
            Organisation(OrganisationId(organisation), **terms),
            RequestNeeds(10.0, Priority.INTERACTIVE),
        )

    async def hold(self, seconds: float, work: WorkRequest | None = None) -> object:
        """Hold a target for some time; return the grant or refusal."""
        async with self.scheduler.acquire(work or self.work()) as granted:
            if isinstance(granted, Grant):
                await asyncio.sleep(seconds)
                granted.finish(
                    Answered(200, "application/json", b""), TokenCount(3, 10)
                )
            return granted

    async def test_no_more_requests_than_the_target_takes(self) -> None:
        started = self.clock().monotonic()
        await asyncio.gather(*(self.hold(1.0) for _ in range(6)))
        self.assertEqual(self.clock().monotonic() - started, 3.0)
        self.assertEqual(self.scheduler.statistics_by_id[TargetId("a")].in_flight, 0)

    async def test_wait_ends_with_a_true_not_run(self) -> None:
        async with AsyncExitStack() as stack:
            for _ in range(2):
                await stack.enter_async_context(self.scheduler.acquire(self.work()))
            refused = await self.hold(0.0)
        assert isinstance(refused, Refusal)
        self.assertIs(refused.reason, RefusalReason.CAPACITY)
        self.assertIs(refused.verdict, Verdict.NOT_RUN)
        self.assertEqual(self.scheduler.waiting, 0)

    async def test_cancelled_requests_give_back_their_place(self) -> None:
        holding = [asyncio.create_task(self.hold(100.0)) for _ in range(2)]
        waiting = [asyncio.create_task(self.hold(100.0)) for _ in range(3)]
        await asyncio.sleep(1.0)
        for task in (*waiting, *holding):
            task.cancel()
        await asyncio.gather(*waiting, *holding, return_exceptions=True)
        self.assertEqual(self.scheduler.waiting, 0)
        self.assertEqual(self.scheduler.statistics_by_id[TargetId("a")].in_flight, 0)

    async def test_cancel_at_the_moment_of_the_grant_leaks_nothing(self) -> None:
        async with AsyncExitStack() as stack:
            for _ in range(2):
                await stack.enter_async_context(self.scheduler.acquire(self.work()))
            waiting = asyncio.create_task(self.hold(1.0))
            await asyncio.sleep(0.1)
        # The grant was given when the context closed, but the waiting task
        # has not run since.
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.scheduler.statistics_by_id[TargetId("a")].in_flight, 0)

    async def fail_requests(self, times: int) -> None:
        """Send requests to the first target that all fail."""
        for _ in range(times):
            async with self.scheduler.acquire(self.work()) as granted:
                assert isinstance(granted, Grant)
                self.assertEqual(granted.target.id, "a")
                granted.finish(Broken("reset"))

    async def test_failing_target_is_ejected_and_comes_back(self) -> None:
        await self.fail_requests(3)
        self.add_target("b", 1)
        scheduler_task = asyncio.create_task(self.scheduler.run())
        self.addCleanup(scheduler_task.cancel)
        started = self.clock().monotonic()
        async with self.scheduler.acquire(self.work()) as first:
            assert isinstance(first, Grant)
            self.assertEqual(first.target.id, "b")
            async with self.scheduler.acquire(self.work()) as second:
                assert isinstance(second, Grant)
                self.assertEqual(second.target.id, "a")
                self.assertGreaterEqual(self.clock().monotonic() - started, 1.0)

    async def test_only_target_is_used_one_request_at_a_time(self) -> None:
        """Guards against waiting in vain when all targets are ejected."""
        await self.fail_requests(3)
        started = self.clock().monotonic()
        await asyncio.gather(self.hold(0.1), self.hold(0.1))
        self.assertAlmostEqual(self.clock().monotonic() - started, 0.1, delta=0.11)

    async def test_request_that_no_target_can_have_does_not_wait(self) -> None:
        """Guards against a wait although all targets have been tried."""
        started = self.clock().monotonic()
        tried = replace(self.work(), tried=frozenset({TargetId("a")}))
        refused = await self.hold(0.0, tried)
        assert isinstance(refused, Refusal)
        self.assertIs(refused.reason, RefusalReason.NO_TARGET)
        self.assertEqual(self.clock().monotonic(), started)

    async def test_limit_of_tokens_holds_for_one_organisation(self) -> None:
        limited = self.work("bien", tokens_per_minute=60)
        for _ in range(10):
            granted = await self.hold(0.0, limited)
        assert isinstance(granted, Refusal)
        self.assertIs(granted.reason, RefusalReason.LIMIT)
        self.assertIsInstance(await self.hold(0.0), Grant)

    async def test_each_attempt_that_ran_is_reported_once(self) -> None:
        """Guards against attempts that are billed twice or not at all."""
        runs: list[Run] = []
        self.scheduler.observe_runs(runs.append)
        await self.hold(0.0)
        async with self.scheduler.acquire(self.work()) as granted:
            assert isinstance(granted, Grant)
            granted.finish(TurnedAway(503, "full"))
        async with self.scheduler.acquire(self.work("bien")) as granted:
            assert isinstance(granted, Grant)
            granted.token_count = TokenCount(3, 4)
            granted.finish(Broken("reset"))
        self.assertEqual(
            [(run.organisation, run.tokens) for run in runs],
            [("tejo", TokenCount(3, 10)), ("bien", TokenCount(3, 4))],
        )
        self.assertEqual(len({run.attempt for run in runs}), 2)

    async def test_burst_after_a_quiet_time_is_not_refused(self) -> None:
        """Guards against a low rate of requests that is taken for capacity.

        The queue refuses requests that it cannot serve in time at the service
        rate observed so far.
        """
        for _ in range(5):
            await self.hold(0.01)
            await asyncio.sleep(10.0)
        first = [asyncio.create_task(self.hold(0.1)) for _ in range(50)]
        # The first answers of the burst have come by now.
        await asyncio.sleep(0.35)
        second = [asyncio.create_task(self.hold(0.1)) for _ in range(50)]
        results = await asyncio.gather(*first, *second)
        self.assertEqual([r for r in results if isinstance(r, Refusal)], [])

    async def test_target_that_starts_again_is_not_held_to_be_ejected(self) -> None:
        await self.fail_requests(3)
        self.add_target("a", 2, incarnation="second")
        started = self.clock().monotonic()
        await asyncio.gather(self.hold(0.1), self.hold(0.1))
        self.assertAlmostEqual(self.clock().monotonic() - started, 0.1)

    async def test_lost_target_is_forgotten(self) -> None:
        """Guards against statistics that are kept after a target's removal."""
        await self.hold(0.0)
        self.targets.load_snapshot(TargetsSnapshot((), ()))
        self.scheduler.on_targets_changed()
        self.assertEqual(self.scheduler.statistics_by_id, {})
