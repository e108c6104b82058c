"""Tests of the decisions about claims.

They guard against sending a non-idempotent call twice, against a refusal that
says "not run" although the call may have run, and against waiting for a holder
that has failed.
"""

import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import (
    AttemptId,
    InstanceId,
    LogIndex,
    OrganisationId,
    RequestId,
)
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.policy.claims import (
    CLAIM_RETENTION_SECONDS,
    RUNNING_MARGIN_SECONDS,
    AlreadyAnswered,
    AnswerStored,
    Claim,
    ClaimDecision,
    ClaimKey,
    ClaimState,
    DifferentCall,
    Granted,
    HeldByOther,
    OutcomeUnknown,
    ProposeAgain,
    Refuse,
    Send,
    StoredOutcome,
    decide_claim,
    may_end_claim,
    next_claim_step,
)
from goldcrestyard.state.commands import Rejected

OUTCOME = StoredOutcome(200, (), b"done", 4)
RUNNING = Claim(
    ClaimKey(OrganisationId("tejo"), RequestId("r1")),
    "POST desk",
    "f1",
    InstanceId("lisboa-a-1"),
    AttemptId("a1"),
    100.0,
    100.0 + CLAIM_RETENTION_SECONDS,
)
SETTLED = replace(RUNNING, state=ClaimState.SETTLED, outcome=OUTCOME)
UNKNOWN = replace(RUNNING, state=ClaimState.UNKNOWN)
RESEND = replace(RUNNING, attempt=AttemptId("a2"), claimed_at=110.0)
HELD = HeldByOther(RUNNING.entry, 10.0)


@dataclass(frozen=True)
class DecisionCase:
    """A known claim, a requested one, and the decision on the latter."""

    name: str
    known: Claim | None
    requested: Claim
    expected: ClaimDecision


DECISION_CASES = [
    DecisionCase("new", None, RESEND, Granted()),
    DecisionCase("same_attempt_asks_again", RUNNING, RUNNING, Granted()),
    DecisionCase("running", RUNNING, RESEND, HELD),
    DecisionCase("settled", SETTLED, RESEND, AlreadyAnswered(OUTCOME)),
    DecisionCase("holder_after_settling", SETTLED, RUNNING, AlreadyAnswered(OUTCOME)),
    DecisionCase("unknown", UNKNOWN, RESEND, OutcomeUnknown()),
    DecisionCase("holder_after_unknown", UNKNOWN, RUNNING, OutcomeUnknown()),
    DecisionCase(
        "other_body", SETTLED, replace(RESEND, fingerprint="f2"), DifferentCall()
    ),
    DecisionCase(
        "other_route", RUNNING, replace(RESEND, route="PUT x"), DifferentCall()
    ),
    DecisionCase(
        "expired",
        SETTLED,
        replace(RESEND, claimed_at=SETTLED.expires_at),
        Granted(),
    ),
]


@dataclass(frozen=True)
class StepCase:
    """The result of a proposed claim, and the entry's next step."""

    name: str
    result: ProposalResult
    expected: type
    verdict: Verdict | None = None
    reason: RefusalReason | None = None
    seconds_left: float = 60.0
    id_is_generated: bool = False
    entries: tuple[InstanceId, ...] = (RUNNING.entry,)


def applied(decision: ClaimDecision) -> Applied:
    """Return the result of a committed claim."""
    return Applied(LogIndex(1), decision)


STEP_CASES = [
    StepCase("granted", applied(Granted()), Send),
    StepCase("answered", applied(AlreadyAnswered(OUTCOME)), AnswerStored),
    StepCase(
        "different_call",
        applied(DifferentCall()),
        Refuse,
        Verdict.NOT_RUN,
        RefusalReason.CONFLICT,
    ),
    StepCase("running", applied(HELD), ProposeAgain),
    StepCase(
        "running_past_the_deadline",
        applied(HELD),
        Refuse,
        Verdict.MAY_HAVE_RUN,
        seconds_left=0.1,
    ),
    StepCase(
        "holder_is_gone",
        applied(HeldByOther(RUNNING.entry, 60.0 + RUNNING_MARGIN_SECONDS)),
        Refuse,
        Verdict.MAY_HAVE_RUN,
    ),
    StepCase(
        "holder_is_not_listed",
        applied(HELD),
        Refuse,
        Verdict.MAY_HAVE_RUN,
        entries=(),
    ),
    StepCase(
        "no_room",
        applied(Rejected(RefusalReason.CAPACITY, "full")),
        Refuse,
        Verdict.NOT_RUN,
    ),
    StepCase("unknown", applied(OutcomeUnknown()), Refuse, Verdict.MAY_HAVE_RUN),
    StepCase("no_leader", NotProposed("none"), ProposeAgain),
    StepCase("in_doubt", InDoubt("lost"), ProposeAgain),
    StepCase(
        "no_leader_until_the_deadline",
        NotProposed("none"),
        Refuse,
        Verdict.MAY_HAVE_RUN,
        RefusalReason.NO_LEADER,
        seconds_left=0.1,
    ),
    StepCase(
        "no_leader_with_a_new_id",
        NotProposed("none"),
        Refuse,
        Verdict.NOT_RUN,
        seconds_left=0.1,
        id_is_generated=True,
    ),
    StepCase(
        "in_doubt_until_the_deadline",
        InDoubt("lost"),
        Refuse,
        Verdict.MAY_HAVE_RUN,
        seconds_left=0.1,
    ),
]


class ClaimPolicyTests(unittest.TestCase):
    """Decisions on a requested claim, and the entry's next step."""

    @parameterized.expand([(case.name, case) for case in DECISION_CASES])
    def test_judge(self, _: str, case: DecisionCase) -> None:
        self.assertEqual(decide_claim(case.known, case.requested), case.expected)

    @parameterized.expand([(case.name, case) for case in STEP_CASES])
    def test_next_step(self, _: str, case: StepCase) -> None:
        step = next_claim_step(
            case.result,
            earlier_proposals=0,
            seconds_left=case.seconds_left,
            call_seconds=60.0,
            id_is_generated=case.id_is_generated,
            entries=set(case.entries),
        )
        self.assertIsInstance(step, case.expected)
        if isinstance(step, Refuse):
            self.assertIs(step.refusal.verdict, case.verdict)
            if case.reason is not None:
                self.assertIs(step.refusal.reason, case.reason)

    def test_delay_grows_to_a_bound(self) -> None:
        delays = []
        for earlier_proposals in range(10):
            step = next_claim_step(
                applied(HELD),
                earlier_proposals=earlier_proposals,
                seconds_left=60.0,
                call_seconds=60.0,
                id_is_generated=False,
                entries={RUNNING.entry},
            )
            assert isinstance(step, ProposeAgain)
            delays.append(step.delay_seconds)
        self.assertEqual(delays, sorted(delays))
        self.assertLess(delays[0], delays[3])
        self.assertEqual(delays[-1], delays[-2])

    @parameterized.expand(
        [
            ("holder", RUNNING, "a1", True),
            ("other_attempt", RUNNING, "a2", False),
            ("settled", SETTLED, "a1", False),
            ("none", None, "a1", False),
        ]
    )
    def test_only_the_holder_ends_a_claim(
        self, _: str, known: Claim | None, attempt: str, expected: bool
    ) -> None:
        self.assertEqual(may_end_claim(known, AttemptId(attempt)), expected)
