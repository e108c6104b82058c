"""Claims, which keep a non-idempotent call from running twice.

An entry claims a call in the replicated log, under the organisation and the
request id, before it sends the call.  ``decide_claim`` decides on the claim
when the log entry is applied; ``next_claim_step`` decides what the claiming
entry does with the result.
"""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from enum import Enum

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import AttemptId, InstanceId, OrganisationId, RequestId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.state.commands import Rejected

CLAIM_RETENTION_SECONDS = 24 * 3600.0
"""Retention time of a claim, with or without an outcome."""

MAX_INLINE_BODY_BYTES = 64 * 1024
"""Largest response body that is stored with an outcome, since bodies are part
of the log and of each snapshot.  A resend of a call with a larger response
gets the outcome without the body."""

CLAIM_RETRIES = Backoff(base_seconds=0.1, longest_seconds=2.0)
"""Delays between repeated proposals of a claim.  Each one is a log entry, so
the delay grows."""

RUNNING_MARGIN_SECONDS = 5.0
"""Time after a call's deadline in which its outcome may still be committed.
The holder of a claim that is still running afterwards counts as failed."""

COMMIT_MARGIN_SECONDS = 0.2
"""Minimum time in seconds before a call's deadline that is reserved for the
commit of a claim."""


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identity of a call; request ids are unique within an organisation."""

    organisation: OrganisationId
    request: RequestId


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """A target's complete response; ``body`` is None if it was not stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_bytes: int


class ClaimState(Enum):
    """Life cycle of a claim; a released claim is removed."""

    RUNNING = "running"
    """The call may be sent or in progress."""
    SETTLED = "settled"
    """The call has run and its outcome is stored."""
    UNKNOWN = "unknown"
    """The call was sent, but whether it ran is unknown."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A claimed call.  Only ``attempt`` may settle or release the claim.

    ``entry`` is the instance that made the attempt.  ``route`` and
    ``fingerprint`` tell apart calls that reuse a request id.
    """

    key: ClaimKey
    route: str
    fingerprint: str
    entry: InstanceId
    attempt: AttemptId
    claimed_at: float
    expires_at: float
    state: ClaimState = ClaimState.RUNNING
    outcome: StoredOutcome | None = None


@dataclass(frozen=True, slots=True)
class Granted:
    """The attempt holds the claim and may send the call."""


@dataclass(frozen=True, slots=True)
class HeldByOther:
    """Another attempt holds the claim and has not settled or released it."""

    entry: InstanceId
    age_seconds: float


@dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """The call has run and has a stored outcome."""

    outcome: StoredOutcome


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The call was sent, but no complete response arrived."""


@dataclass(frozen=True, slots=True)
class DifferentCall:
    """The request id was used for a call with a different route or content."""


ClaimDecision = Granted | HeldByOther | AlreadyAnswered | OutcomeUnknown | DifferentCall


@dataclass(frozen=True, slots=True)
class Send:
    """The claim is confirmed: send the call."""


@dataclass(frozen=True, slots=True)
class ProposeAgain:
    """Propose the same claim again after a delay."""

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class AnswerStored:
    """Answer the caller with the stored outcome."""

    outcome: StoredOutcome


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a refusal.

    ``in_doubt`` states that the claim may still be committed and must be
    released.
    """

    refusal: Refusal
    in_doubt: bool = False


Step = Send | ProposeAgain | AnswerStored | Refuse


def decide_claim(known: Claim | None, requested: Claim) -> ClaimDecision:
    """Decide on a requested claim, given the recorded claim with its key.

    The current time is ``requested.claimed_at``.
    """
    if known is None or known.expires_at <= requested.claimed_at:
        return Granted()
    if (known.route, known.fingerprint) != (requested.route, requested.fingerprint):
        return DifferentCall()
    match known:
        case Claim(state=ClaimState.SETTLED, outcome=StoredOutcome() as outcome):
            return AlreadyAnswered(outcome)
        case Claim(state=ClaimState.RUNNING, attempt=requested.attempt):
            return Granted()
        case Claim(state=ClaimState.RUNNING):
            return HeldByOther(known.entry, requested.claimed_at - known.claimed_at)
        case _:
            return OutcomeUnknown()


def may_end_claim(known: Claim | None, attempt: AttemptId) -> bool:
    """Return whether an attempt may settle or release the recorded claim."""
    return (
        known is not None
        and known.attempt == attempt
        and known.state is ClaimState.RUNNING
    )


def next_claim_step(
    result: ProposalResult,
    *,
    earlier_proposals: int,
    seconds_left: float,
    call_seconds: float,
    id_is_generated: bool,
    entries: AbstractSet[InstanceId],
) -> Step:
    """Decide what an entry does after it has proposed a claim.

    ``earlier_proposals`` counts the earlier proposals of the same claim.  A
    holder that is not in ``entries``, the known entries, counts as failed.
    ``id_is_generated`` states that the entry generated the request id.  A
    request id that the caller chose may have been sent before through another
    entry, so the call may have run as long as the result is not known.
    """
    delay = CLAIM_RETRIES.delay_seconds(earlier_proposals, jitter=1.0)
    retry_fits_deadline = delay + COMMIT_MARGIN_SECONDS < seconds_left
    unconfirmed_verdict = Verdict.NOT_RUN if id_is_generated else Verdict.MAY_HAVE_RUN
    match result:
        case Applied(outcome=Granted()):
            return Send()
        case Applied(outcome=AlreadyAnswered(outcome=outcome)):
            return AnswerStored(outcome)
        case Applied(outcome=DifferentCall()):
            return Refuse(
                Refusal(
                    RefusalReason.CONFLICT,
                    "the request id was used for a call with other content",
                )
            )
        case Applied(outcome=Rejected(reason=RefusalReason.CAPACITY, detail=detail)):
            # The call has no claim in the log, so it was never sent.
            return Refuse(Refusal(RefusalReason.CAPACITY, detail, Verdict.NOT_RUN, 60))
        case Applied(outcome=HeldByOther(entry=holder, age_seconds=age)):
            holder_may_run = age < call_seconds + RUNNING_MARGIN_SECONDS
            if retry_fits_deadline and holder_may_run and holder in entries:
                return ProposeAgain(delay)
            return Refuse(
                _unknown_outcome("the call was sent before and has no outcome yet")
            )
        case Applied():
            return Refuse(
                _unknown_outcome("the call was sent before and its outcome is unknown")
            )
        case NotProposed() | InDoubt() if retry_fits_deadline:
            return ProposeAgain(delay)
        case NotProposed(detail=detail):
            return Refuse(
                Refusal(RefusalReason.NO_LEADER, detail, unconfirmed_verdict, 1.0)
            )
        case InDoubt(detail=detail):
            return Refuse(
                Refusal(
                    RefusalReason.UNKNOWN_OUTCOME, detail, unconfirmed_verdict, 1.0
                ),
                in_doubt=True,
            )


def without_large_body(outcome: StoredOutcome) -> StoredOutcome:
    """Return the outcome to store, without a body that is too large."""
    if outcome.body is None or len(outcome.body) <= MAX_INLINE_BODY_BYTES:
        return outcome
    return replace(outcome, body=None)


def refusal_without_body(outcome: StoredOutcome) -> Refusal:
    """Return the refusal for a resend whose outcome has no stored body."""
    return Refusal(
        RefusalReason.UNKNOWN_OUTCOME,
        f"the call has run and was answered with status {outcome.status}; the "
        f"answer of {outcome.body_bytes} bytes was not kept",
        Verdict.RAN,
    )


def _unknown_outcome(detail: str) -> Refusal:
    return Refusal(RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN)
