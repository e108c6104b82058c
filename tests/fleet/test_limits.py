"""Tests of the exchange of request limits and of permits."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.core.attempts import Withheld
from goldcrestyard.core.ids import RequestRate
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.gateway.calls import CallRunner
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.limits.cold import ColdTargets, HeardFromTargets
from goldcrestyard.fleet.limits.known import RECORD_SECONDS, KnownLimits
from goldcrestyard.fleet.limits.messages import LimitRecord
from goldcrestyard.fleet.limits.permits import (
    IssuedByLeader,
    LimitedTargetClient,
    PermitIssuer,
    TargetPermits,
)
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.wire.connection import Handlers, NoAnswer
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import entry_view, request, request_guard
from tests.fakes.targets import Answers, Behaviour, FakeTargetClient, Hangs, target

LIMITED = target("a")
RATE = RequestRate(2.0)


class LeaderStub:
    """A link of an entry to the leader, with a delay and failures."""

    def __init__(self, handlers: Handlers) -> None:
        self.leader: str | None = "m1"
        self.lost = False
        self.seconds = 0.02
        self.asked = 0
        self.handlers = handlers

    async def request(self, message: object, timeout: float) -> object:
        self.asked += 1
        await asyncio.sleep(self.seconds)
        if self.lost:
            return NoAnswer("connection closed")
        handler = self.handlers.find(message)
        assert handler is not None
        return await handler(message, None)  # type: ignore[arg-type]


class LimitsTestCase(PausedClockTestCase):
    """A leader and entries that know the same limited target."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(EvacuationsSlice, ServingSlice, TargetsSlice)
        self.member = FakeMember(self.machine, self.clock())
        self.leader_known = self.known()
        self.issuer = PermitIssuer(
            self.member,  # type: ignore[arg-type]
            self.leader_known,
            self.cold(),
            self.clock(),
        )
        handlers = Handlers()
        self.issuer.register(handlers)
        self.link = LeaderStub(handlers)

    def known(self) -> KnownLimits:
        return KnownLimits(FleetMetrics(CollectorRegistry()), self.clock())

    def cold(self) -> ColdTargets:
        knowledge = HeardFromTargets(lambda _: 0.0)
        return ColdTargets(self.machine, knowledge, ColdTargetSettings(), self.clock())

    def permits(self, known: KnownLimits) -> TargetPermits:
        return TargetPermits(
            known,
            self.cold(),
            IssuedByLeader(self.link),  # type: ignore[arg-type]
            FleetMetrics(CollectorRegistry()),
            self.clock(),
        )


@dataclass(frozen=True)
class AcquireCase:
    """What happens to the leader, and whether a request may be sent."""

    name: str
    change: Callable[["AcquireTests"], None]
    sent: bool


def _lose_leader(test: "AcquireTests") -> None:
    test.link.leader = None


def _lose_answer(test: "AcquireTests") -> None:
    test.link.lost = True


def _lose_lease(test: "AcquireTests") -> None:
    test.member.lease = False


def _delay_answer(test: "AcquireTests") -> None:
    """Stand for an entry that is suspended while it waits for its permit."""
    test.link.seconds = 3.0


def _end_limit(test: "AcquireTests") -> None:
    test.leader_known.observe(LIMITED, RATE)
    test.leader_known.observe(LIMITED, None)


class AcquireTests(LimitsTestCase):
    """Guards against requests to a limited target without a valid permit."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                AcquireCase("leader_answers", lambda test: None, True),
                AcquireCase("no_leader", _lose_leader, False),
                AcquireCase("answer_lost", _lose_answer, False),
                AcquireCase("leader_without_lease", _lose_lease, False),
                AcquireCase("permit_expired_meanwhile", _delay_answer, False),
                AcquireCase("limit_ended_elsewhere", _end_limit, True),
            )
        ]
    )
    async def test_request_is_sent(self, _: str, case: AcquireCase) -> None:
        known = self.known()
        known.observe(LIMITED, RATE)
        await asyncio.sleep(1.0)
        case.change(self)
        outcome = await self.permits(known).acquire(LIMITED)
        self.assertEqual(case.sent, outcome is None)
        if outcome is not None:
            self.assertGreater(outcome.retry_after_seconds, 0.0)

    async def test_senders_share_the_rate(self) -> None:
        """Five entries ask as often as they can for 20 seconds."""
        sent: Counter[int] = Counter()

        async def ask(number: int) -> None:
            known = self.known()
            permits = self.permits(known)
            while True:
                known.observe(LIMITED, RATE)
                outcome = await permits.acquire(LIMITED)
                if outcome is None:
                    sent[number] += 1
                else:
                    await asyncio.sleep(outcome.retry_after_seconds)

        tasks = [asyncio.create_task(ask(number)) for number in range(5)]
        await asyncio.sleep(20.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertLessEqual(sum(sent.values()), RATE * 20.0 + 3)
        self.assertGreaterEqual(sum(sent.values()), 0.9 * RATE * 20.0)


@dataclass(frozen=True)
class AdoptCase:
    """What this process saw, what another tells later, and what holds."""

    name: str
    own: tuple[float | None, ...]
    told: float | None
    age_seconds: float
    expected: float | None


class KnownLimitsTests(LimitsTestCase):
    """Guards against an old limit that replaces newer knowledge."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                AdoptCase("nothing_known", (), 2.0, 1.0, 2.0),
                AdoptCase("newer", (3.0,), 2.0, 0.5, 2.0),
                AdoptCase("older", (3.0,), 2.0, 9.0, 3.0),
                AdoptCase("newer_end", (3.0,), None, 0.5, None),
                AdoptCase("ended_before_it_was_told", (3.0, None), 2.0, 9.0, None),
                # Its transit makes a returned record look newer.
                AdoptCase("own_record_returned", (3.0, None), 3.0, 4.9, None),
                AdoptCase("too_old", (), 2.0, RECORD_SECONDS + 1.0, None),
            )
        ]
    )
    async def test_adopted(self, _: str, case: AdoptCase) -> None:
        known = self.known()
        for rate in case.own:
            known.observe(LIMITED, None if rate is None else RequestRate(rate))
        await asyncio.sleep(5.0)
        told = None if case.told is None else RequestRate(case.told)
        known.adopt(
            LimitRecord(LIMITED.id, LIMITED.incarnation, told, case.age_seconds)
        )
        self.assertEqual(case.expected, known.rate(LIMITED))

    async def test_limit_without_answers_is_forgotten(self) -> None:
        known = self.known()
        known.observe(LIMITED, RATE)
        await asyncio.sleep(RECORD_SECONDS + 1.0)
        self.assertIsNone(known.rate(LIMITED))

    async def test_entries_send_only_what_they_have_seen(self) -> None:
        """A record that goes back and forth would never grow old."""
        known = self.known()
        known.adopt(LimitRecord(LIMITED.id, LIMITED.incarnation, RATE, 0.0))
        self.assertEqual(0, len(known.records(own=True).records))
        self.assertEqual(1, len(known.records(own=False).records))


class LimitedCallTests(LimitsTestCase):
    """Guards against calls that wait or hedge where a limit is used up."""

    async def _answers(
        self,
        calls: int,
        names: tuple[str, ...],
        limited: tuple[str, ...],
        behaviours: dict[str, Behaviour] | None = None,
        busy: tuple[str, ...] = (),
    ) -> list[object]:
        clock = self.clock()
        view = entry_view(clock, names)
        known = self.known()
        for name in limited:
            known.observe(target(name), RATE)
        permits = self.permits(known)
        self.client = FakeTargetClient(
            {name: [(behaviours or {}).get(name, Answers())] for name in names}
        )
        admission = Admission(view, clock)
        router = CallRouter(
            view.machine.get(TargetsSlice),
            CallerLocation(LIMITED.data_centre, LIMITED.region),
            clock,
            random.Random(1),
            permits.is_limited,
        )
        for name in busy * 60:
            router.begin_call(target(name))
        limited_client = LimitedTargetClient(self.client, permits, clock)
        self.runner = runner = CallRunner(
            admission,
            router,
            limited_client,
            request_guard(view, limited_client, clock),
            UsageMeter(5.0),
            clock,
            random.Random(1),
        )
        self.admitted = admitted = admission.admit(
            request("/again/"), clock.monotonic()
        )
        assert isinstance(admitted, AdmittedRequest)
        return list(
            await asyncio.gather(*(runner.answer(admitted) for _ in range(calls)))
        )

    async def test_calls_beyond_the_limits_are_refused_at_once(self) -> None:
        began = self.clock().monotonic()
        answers = await self._answers(20, ("a", "b"), ("a", "b"))
        self.assertLess(self.clock().monotonic() - began, 0.25)
        refused = [answer for answer in answers if isinstance(answer, Refusal)]
        self.assertEqual(20, len(refused) + len(self.client.calls))
        self.assertLessEqual(len(self.client.calls), 2)
        for refusal in refused:
            self.assertGreater(refusal.retry_after_seconds or 0.0, 0.0)

    async def test_used_up_limit_is_not_asked_for_again(self) -> None:
        await self._answers(20, ("a", "b"), ("a", "b"))
        asked = self.link.asked
        assert isinstance(self.admitted, AdmittedRequest)
        answer = await self.runner.answer(self.admitted)
        self.assertIsInstance(answer, Refusal)
        self.assertEqual(asked, self.link.asked)

    async def test_withheld_requests_do_not_count_as_attempts(self) -> None:
        """The route allows three attempts; four targets have no permit."""
        self.link.leader = None
        names = ("a", "b", "c", "d", "e")
        (answer,) = await self._answers(1, names, names[:4], busy=("e",))
        self.assertNotIsInstance(answer, Refusal)
        self.assertEqual(["e"], self.client.called_targets)

    async def test_hedges_avoid_targets_with_a_limit(self) -> None:
        await self._answers(1, ("a", "b"), ("a",), {"b": Hangs()})
        self.assertEqual(["b"], self.client.called_targets)

    async def test_targets_without_a_limit_take_the_rest(self) -> None:
        answers = await self._answers(20, ("a", "b"), ("a",))
        self.assertFalse([each for each in answers if isinstance(each, Refusal)])
        self.assertLessEqual(self.client.called_targets.count("a"), 1)

    async def test_withheld_request_is_not_sent(self) -> None:
        self.link.leader = None
        known = self.known()
        known.observe(LIMITED, RATE)
        client = FakeTargetClient({"a": [Answers()]})
        limited = LimitedTargetClient(client, self.permits(known), self.clock())
        call = AdmittedRequest.to_call  # The call's content does not matter.
        async with limited.open(LIMITED, call, 1.0) as reply:  # type: ignore[arg-type]
            self.assertIsInstance(reply, Withheld)
        self.assertEqual([], client.calls)
