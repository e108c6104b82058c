"""Tests of the configuration planner against a scripted leader.

They guard against reporting a change as in force without the leader's
confirmation, and against a wait that ends when the leader changes.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from parameterized import parameterized

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import (
    CorrelationId,
    InstanceId,
    LogIndex,
    PlanNumber,
    RequestId,
    Revision,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.operators.commands import InForceReply, WaitInForce
from goldcrestyard.plugins.operators.leader_side import PlanRequestHandlers
from goldcrestyard.plugins.operators.planning import (
    Author,
    ChangeStatus,
    ConfigurationPlanner,
    InForce,
    NotYetInForce,
)
from goldcrestyard.state.commands import Rejected
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, NoAnswer, NotSent
from goldcrestyard.wire.messages import NotLeader
from tests.fakes.paused_clock import PausedClockTestCase

ANA = Author("ana", RequestId("r-1"), CorrelationId("c-1"))
REVISION = Revision(12)
BEHIND = (InstanceId("porto-a-1"),)


class FakeLeaderLink:
    """Returns prepared answers in place of the leader."""

    def __init__(self, *answers: object) -> None:
        self._answers = list(answers)
        self.asked = 0

    async def request(self, message: object, timeout: float) -> object:
        """Return the next answer; the last one is repeated."""
        self.asked += 1
        await asyncio.sleep(0.1)
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]

    async def propose(self, *_: object) -> object:
        """Return the next answer."""
        return await self.request(None, 0.0)


@dataclass(frozen=True)
class WaitCase:
    """Answers of the leader, and the status that the planner reports."""

    name: str
    answers: tuple[object, ...]
    expected: ChangeStatus


WAIT_CASES = [
    WaitCase("in_force", (InForceReply(()),), InForce(REVISION)),
    WaitCase(
        "behind",
        (InForceReply(BEHIND),),
        NotYetInForce(REVISION, BEHIND, "entries have not applied the change"),
    ),
    WaitCase(
        "leader_changes",
        (NoAnswer("connection closed"), NotLeader(None), InForceReply(())),
        InForce(REVISION),
    ),
    WaitCase(
        "no_leader", (NotSent("no leader"),), NotYetInForce(REVISION, (), "no leader")
    ),
]


@dataclass(frozen=True)
class ProposalCase:
    """Result of a proposal, and the refusal that it leads to."""

    name: str
    result: object
    reason: RefusalReason
    verdict: Verdict


PROPOSAL_CASES = [
    ProposalCase(
        "rejected",
        Applied(LogIndex(3), Rejected(RefusalReason.STALE_PLAN, "moved on")),
        RefusalReason.STALE_PLAN,
        Verdict.NOT_RUN,
    ),
    ProposalCase(
        "not_proposed",
        NotProposed("no leader"),
        RefusalReason.NO_LEADER,
        Verdict.NOT_RUN,
    ),
    ProposalCase(
        "in_doubt",
        InDoubt("no answer"),
        RefusalReason.UNKNOWN_OUTCOME,
        Verdict.MAY_HAVE_RUN,
    ),
]


class FakeMember:
    """A control member with prepared answers to ``holds_lease``."""

    leader = InstanceId("lisboa-b-1")

    def __init__(self, *leases: bool) -> None:
        self._leases = list(leases)

    def holds_lease(self) -> bool:
        """Return the next prepared answer."""
        return self._leases.pop(0)


class FakeEntrySessions:
    """Returns prepared entries that have not applied a revision."""

    def __init__(self, behind: tuple[InstanceId, ...]) -> None:
        self._behind = behind
        self.waited_for: list[tuple[Revision, float]] = []

    async def wait_in_force(
        self, revision: Revision, timeout: float
    ) -> list[InstanceId]:
        """Return the prepared entries."""
        self.waited_for.append((revision, timeout))
        return list(self._behind)


LEADER_CASES = [
    ("in_force", (True, True), (), InForceReply(())),
    ("behind", (True, True), BEHIND, InForceReply(BEHIND)),
    ("not_the_leader", (False,), (), NotLeader(FakeMember.leader)),
    ("lease_lost_meanwhile", (True, False), (), NotLeader(FakeMember.leader)),
]


class PlanRequestHandlersTests(PausedClockTestCase):
    """Guards against a member without the lease that reports "in force"."""

    @parameterized.expand(LEADER_CASES)
    async def test_answer_to_a_wait(
        self,
        _: str,
        leases: tuple[bool, ...],
        behind: tuple[InstanceId, ...],
        expected: object,
    ) -> None:
        member: Any = FakeMember(*leases)
        sessions: Any = FakeEntrySessions(behind)
        handlers = Handlers()
        PlanRequestHandlers(member, sessions).register(handlers)
        message = WaitInForce(REVISION, 8.0)
        handler = handlers.find(message)
        assert handler is not None
        connection: Any = None
        self.assertEqual(await handler(message, connection), expected)
        if leases[0]:
            self.assertEqual(sessions.waited_for, [(REVISION, 8.0)])


class ConfigurationPlannerTests(PausedClockTestCase):
    """Statuses and refusals that the planner returns."""

    def planner(self, link: Any) -> ConfigurationPlanner:
        clock = self.clock()
        view = EntryView(StateMachine([]), Codec(), clock)
        return ConfigurationPlanner(view, link, clock, ())

    @parameterized.expand([(case.name, case) for case in WAIT_CASES])
    async def test_wait_in_force(self, _: str, case: WaitCase) -> None:
        planner = self.planner(FakeLeaderLink(*case.answers))
        self.assertEqual(await planner.wait_in_force(REVISION), case.expected)

    @parameterized.expand([(case.name, case) for case in PROPOSAL_CASES])
    async def test_confirmation_that_fails(self, _: str, case: ProposalCase) -> None:
        planner = self.planner(FakeLeaderLink(case.result))
        refusal = await planner.confirm(PlanNumber(7), "0" * 64, ANA)
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.reason, refusal.verdict), (case.reason, case.verdict))

    async def test_plan_is_asked_for_again_while_the_view_is_behind(self) -> None:
        stale = Applied(LogIndex(3), Rejected(RefusalReason.STALE_PLAN, "behind"))
        full = Applied(LogIndex(4), Rejected(RefusalReason.CONFLICT, "taken"))
        link = FakeLeaderLink(stale, stale, full)
        refusal = await self.planner(link).plan("", None, ANA)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.CONFLICT)
        self.assertEqual(link.asked, 3)
