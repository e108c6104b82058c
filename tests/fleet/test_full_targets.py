"""Tests of calls to targets that are known to be full, on the paused clock."""

import asyncio
from dataclasses import replace

from parameterized import parameterized

from goldcrestyard.core.attempts import TurnedAway
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import AdmittedRequest
from goldcrestyard.fleet.gateway.calls import CallAnswer
from tests.fakes.serving import request
from tests.fakes.targets import FULL, RESET, Answers, target
from tests.fleet.test_hedging import NAMES, HedgingTestCase

FULL_SECONDS = 0.01
"""Time for which a target without a known response time is not asked."""


class FullTargetTests(HedgingTestCase):
    """Guards against callers that each ask each full target in turn."""

    def _fill(self, *names: str) -> None:
        for name in names:
            self.router.begin_call(target(name)).in_flight = 0
            self.router.note_failure(target(name), TurnedAway(503, "full"))

    async def _answer(
        self, prefix: str = "/once/", priority: int = 0, seconds_left: float = 2.0
    ) -> CallAnswer | Refusal:
        sent = replace(request(prefix), seconds_left=seconds_left)
        admitted = self.admission.admit(sent, self.clock().monotonic())
        assert isinstance(admitted, AdmittedRequest)
        return await self.runner.answer(replace(admitted, priority=priority))

    @parameterized.expand([("/once/",), ("/again/",)])
    async def test_refused_at_once_while_all_are_full(self, prefix: str) -> None:
        self.start(Answers())
        self._fill(*NAMES)
        began = self.clock().monotonic()
        answer = await self._answer(prefix)
        assert isinstance(answer, Refusal)
        self.assertEqual(answer.reason, RefusalReason.CAPACITY)
        self.assertIs(answer.verdict, Verdict.NOT_RUN)
        self.assertEqual(answer.detail, "no target has a free slot")
        self.assertEqual(self.client.calls, [])
        self.assertEqual(self.clock().monotonic(), began)

    async def test_asked_again_once_a_slot_may_be_free(self) -> None:
        self.start(Answers())
        self._fill(*NAMES)
        await asyncio.sleep(FULL_SECONDS)
        self.assertIsInstance(await self._answer(), CallAnswer)

    async def test_asked_again_after_an_answer(self) -> None:
        self.start(Answers())
        self._fill(*NAMES)
        now = self.clock().monotonic()
        self.router.statistics_by_id[target("b").id].record_success(0.1, now)
        self.assertIsInstance(await self._answer(), CallAnswer)
        self.assertEqual(self.client.called_targets, ["b"])

    async def test_the_one_with_room_takes_the_call(self) -> None:
        self.start(Answers())
        self._fill(*NAMES[1:])
        self.assertIsInstance(await self._answer(), CallAnswer)
        self.assertEqual(self.client.called_targets, ["a"])

    async def test_only_full_targets_are_left_alone(self) -> None:
        self.start(Answers())
        for name in NAMES:
            self.router.begin_call(target(name)).in_flight = 0
            self.router.note_failure(target(name), TurnedAway(421, "another"))
        self.assertIsInstance(await self._answer(), CallAnswer)

    async def test_later_callers_learn_from_the_first(self) -> None:
        self.start(FULL)
        await self._answer()
        asked = len(self.client.calls)
        self.assertEqual(asked, 3)
        for _number in range(10):
            self.assertIsInstance(await self._answer(), Refusal)
        # Only the fourth target was not known to be full.
        self.assertEqual(len(self.client.calls), len(NAMES))

    async def test_no_hedge_while_most_targets_say_that_they_are_full(self) -> None:
        slow = Answers(seconds=0.15)
        self.start(slow)
        for name in NAMES:
            self.router.begin_call(target(name)).in_flight = 0
        for name in NAMES[1:]:
            self.router.statistics_by_id[target(name).id].full_until = 1e9
        self.assertIsInstance(await self._answer("/again/"), CallAnswer)
        self.assertEqual(self.client.called_targets, ["a"])
        self.assertEqual(self.withheld("no_room"), 1)

    async def test_a_call_that_may_have_run_asks_full_targets_too(self) -> None:
        # Refused now, its caller could not tell whether it has run.
        self.start(RESET, Answers())
        self._fill(*NAMES[1:])
        for name in NAMES[1:]:
            self.router.statistics_by_id[target(name).id].full_until = 1e9
        self.assertIsInstance(await self._answer("/again/"), CallAnswer)
        self.assertEqual(len(self.client.calls), 2)

    @parameterized.expand(
        [
            ("urgent", 0, 2.0, 0.3),
            ("less_urgent", 9, 2.0, 0.5),
            ("has_waited", 0, 1.0, 0.25),
        ]
    )
    async def test_return(
        self, _: str, priority: int, seconds_left: float, expected: float
    ) -> None:
        self.start(Answers())
        self._fill(*NAMES)
        answer = await self._answer("/once/", priority, seconds_left)
        assert isinstance(answer, Refusal)
        assert answer.retry_after_seconds is not None
        self.assertAlmostEqual(answer.retry_after_seconds, expected)
