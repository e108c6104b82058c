"""Tests of the claims slice.

They guard against claims that are ended by an attempt that does not hold them,
against the loss of outcomes in a snapshot, and against unbounded growth of the
state.
"""

import unittest
from dataclasses import replace
from unittest import mock

from goldcrestyard.core.ids import (
    AttemptId,
    CorrelationId,
    InstanceId,
    LogIndex,
    OrganisationId,
    RequestId,
    Term,
)
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.claims import slices
from goldcrestyard.plugins.claims.apps import ClaimsConfig
from goldcrestyard.plugins.claims.commands import (
    ClaimCall,
    ReleaseClaim,
    SettleClaim,
)
from goldcrestyard.plugins.claims.slices import MAX_TOTAL_BODY_BYTES, ClaimsSlice
from goldcrestyard.policy.claims import (
    CLAIM_RETENTION_SECONDS,
    MAX_INLINE_BODY_BYTES,
    AlreadyAnswered,
    Granted,
    HeldByOther,
    OutcomeUnknown,
    StoredOutcome,
)
from goldcrestyard.state.commands import Command, Envelope, Outcome, Rejected
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec

TEJO = OrganisationId("tejo")


def claim(request: str, attempt: str = "a1", body: str = "f") -> ClaimCall:
    """Return the command that claims a request."""
    return ClaimCall(
        TEJO,
        RequestId(request),
        "POST desk",
        body,
        InstanceId("lisboa-a-1"),
        AttemptId(attempt),
    )


def settle(request: str, attempt: str = "a1", size: int = 4) -> SettleClaim:
    """Return the command that settles a claim with a body of some size."""
    outcome = StoredOutcome(200, (), b"x" * size, size)
    return SettleClaim(TEJO, RequestId(request), AttemptId(attempt), outcome)


def release(request: str, attempt: str = "a1") -> ReleaseClaim:
    """Return the command that releases a claim."""
    return ReleaseClaim(TEJO, RequestId(request), AttemptId(attempt))


class ClaimsSliceTests(unittest.TestCase):
    """Claims, outcomes, expiry, limits and snapshots."""

    def setUp(self) -> None:
        self.slice = ClaimsSlice()
        self.machine = StateMachine([self.slice])
        self.index = 0

    def apply(self, command: Command, time: float = 0.0) -> Outcome:
        self.index += 1
        envelope = Envelope(command, "lisboa-a-1", CorrelationId(""), time)
        return self.machine.apply(LogIndex(self.index), Term(1), envelope).outcome

    def test_resend_gets_the_outcome(self) -> None:
        self.assertEqual(self.apply(claim("r1")), Granted())
        self.assertIsInstance(self.apply(claim("r1", "a2")), HeldByOther)
        self.apply(settle("r1"))
        answered = self.apply(claim("r1", "a3"))
        assert isinstance(answered, AlreadyAnswered)
        self.assertEqual(answered.outcome.body, b"xxxx")

    def test_other_attempt_ends_no_claim(self) -> None:
        self.apply(claim("r1"))
        self.assertIsInstance(self.apply(settle("r1", "a2")), Rejected)
        self.assertIsInstance(self.apply(release("r1", "a2")), Rejected)
        self.assertEqual(self.apply(claim("r1", "a1")), Granted())

    def test_released_claim_goes_to_the_next(self) -> None:
        self.apply(claim("r1"))
        self.apply(release("r1"))
        self.assertEqual(self.apply(claim("r1", "a2")), Granted())
        # The former holder can no longer end it.
        self.assertIsInstance(self.apply(release("r1", "a1")), Rejected)

    def test_unknown_outcome_is_kept(self) -> None:
        self.apply(claim("r1"))
        self.apply(SettleClaim(TEJO, RequestId("r1"), AttemptId("a1"), None))
        self.assertEqual(self.apply(claim("r1", "a2")), OutcomeUnknown())

    def test_expiry_is_exact_and_its_work_bounded(self) -> None:
        for number in range(100):
            self.apply(claim(f"r{number}"))
        later = CLAIM_RETENTION_SECONDS + 1.0
        self.apply(claim("late"), later)
        self.assertGreater(len(self.slice.claims_by_key), 80)
        # An expired claim that is not yet removed does not block a new one.
        self.assertEqual(self.apply(claim("r99", "a2", "other"), later), Granted())
        for number in range(20):
            self.apply(release(f"no-{number}"), later)
        self.assertEqual(
            {key.request for key in self.slice.claims_by_key}, {"late", "r99"}
        )

    def test_settling_prolongs_a_claim(self) -> None:
        self.apply(claim("r1"))
        self.apply(settle("r1"), 1000.0)
        outcome = self.apply(claim("r1", "a2"), CLAIM_RETENTION_SECONDS + 500.0)
        self.assertIsInstance(outcome, AlreadyAnswered)

    def test_large_body_is_not_kept(self) -> None:
        self.apply(claim("r1"))
        self.apply(settle("r1", size=MAX_INLINE_BODY_BYTES + 1))
        answered = self.apply(claim("r1", "a2"))
        assert isinstance(answered, AlreadyAnswered)
        self.assertIsNone(answered.outcome.body)
        self.assertEqual(answered.outcome.body_bytes, MAX_INLINE_BODY_BYTES + 1)

    def test_bodies_together_are_bounded(self) -> None:
        count = MAX_TOTAL_BODY_BYTES // MAX_INLINE_BODY_BYTES + 10
        for number in range(count):
            self.apply(claim(f"r{number}"))
            self.apply(settle(f"r{number}", size=MAX_INLINE_BODY_BYTES))
        oldest = self.apply(claim("r0", "a2"))
        newest = self.apply(claim(f"r{count - 1}", "a2"))
        assert isinstance(oldest, AlreadyAnswered)
        assert isinstance(newest, AlreadyAnswered)
        self.assertIsNone(oldest.outcome.body)
        self.assertIsNotNone(newest.outcome.body)

    def test_snapshot_round_trip(self) -> None:
        codec = Codec()
        codec.register(*ClaimsConfig.messages)
        self.apply(claim("r1"))
        self.apply(settle("r1"))
        self.apply(claim("r2"))
        copy = ClaimsSlice()
        copy.load_snapshot(codec.decode(codec.encode(self.slice.to_snapshot())))
        self.assertEqual(copy.claims_by_key, self.slice.claims_by_key)
        self.assertEqual(list(copy.claims_by_key), list(self.slice.claims_by_key))

    def test_one_organisation_cannot_fill_the_memory(self) -> None:
        with mock.patch.object(slices, "MAX_CLAIMS_PER_ORGANISATION", 2):
            self.apply(claim("r1"))
            self.apply(claim("r2"))
            refused = self.apply(claim("r3"))
            self.assertEqual(refused.reason, RefusalReason.CAPACITY)
            # Known claims are still answered, and a release makes room.
            self.assertIsInstance(self.apply(claim("r1", "a2")), HeldByOther)
            other = replace(claim("r3"), organisation=OrganisationId("sado"))
            self.assertEqual(self.apply(other), Granted())
            self.apply(release("r1"))
            self.assertEqual(self.apply(claim("r3")), Granted())

    def test_count_survives_a_snapshot(self) -> None:
        self.apply(claim("r1"))
        self.slice.load_snapshot(self.slice.to_snapshot())
        with mock.patch.object(slices, "MAX_CLAIMS_PER_ORGANISATION", 1):
            self.assertIsInstance(self.apply(claim("r2")), Rejected)
