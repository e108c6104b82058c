"""Decisions that keep a non-idempotent call from running twice.

A call is claimed in the replicated log under its organisation and request id
before it is sent.  ``judge`` runs where the claim is applied, ``next_step`` in
the entry that asked for it.
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

KEEP_SECONDS = 24 * 3600.0
"""How long an outcome, or a claim without one, is kept."""

MAX_INLINE_BODY_BYTES = 64 * 1024
"""Bodies of outcomes are part of the log and of each snapshot, so larger ones
are not kept; a resend is then told the outcome without the body."""

QUESTIONS = Backoff(base_seconds=0.1, longest_seconds=2.0)
"""Each question about a running call is a log entry, so the delay grows."""

RUNNING_MARGIN_SECONDS = 5.0
"""Time after a call's own deadline in which its outcome may still be
committed; a claim that is open for longer has lost its holder."""

COMMIT_MARGIN_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Names a call: request ids are unique within an organisation."""

    organisation: OrganisationId
    request: RequestId


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """A target's whole answer; ``body`` is None if it was not kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_bytes: int


class ClaimState(Enum):
    """Life cycle of a claim; a released claim is removed."""

    RUNNING = "running"
    SETTLED = "settled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """A claimed call.  Only the holder of ``attempt`` may end the claim."""

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
    """The asking attempt holds the claim and may send the call."""


@dataclass(frozen=True, slots=True)
class HeldByOther:
    """Another attempt holds the claim and has not ended it."""

    entry: InstanceId
    age_seconds: float


@dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """The call has run; this is its outcome."""

    outcome: StoredOutcome


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The call was sent, and no whole answer came back."""


@dataclass(frozen=True, slots=True)
class DifferentCall:
    """The request id belongs to a call with another content."""


Standing = Granted | HeldByOther | AlreadyAnswered | OutcomeUnknown | DifferentCall


@dataclass(frozen=True, slots=True)
class Send:
    """The claim is confirmed: send the call."""


@dataclass(frozen=True, slots=True)
class AskAgain:
    """Ask the log again, with the same claim, after a delay."""

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class AnswerStored:
    """Answer with the stored outcome."""

    outcome: StoredOutcome


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with a refusal; ``in_doubt`` if the claim may be committed."""

    refusal: Refusal
    in_doubt: bool = False


Step = Send | AskAgain | AnswerStored | Refuse


def judge(known: Claim | None, asked: Claim) -> Standing:
    """Return how a claim that is asked for stands to a known one.

    The time of the question is ``asked.claimed_at``.
    """
    if known is None or known.expires_at <= asked.claimed_at:
        return Granted()
    if (known.route, known.fingerprint) != (asked.route, asked.fingerprint):
        return DifferentCall()
    match known:
        case Claim(state=ClaimState.SETTLED, outcome=StoredOutcome() as outcome):
            return AlreadyAnswered(outcome)
        case Claim(state=ClaimState.RUNNING, attempt=asked.attempt):
            return Granted()
        case Claim(state=ClaimState.RUNNING):
            return HeldByOther(known.entry, asked.claimed_at - known.claimed_at)
        case _:
            return OutcomeUnknown()


def may_end(known: Claim | None, attempt: AttemptId) -> bool:
    """Return whether an attempt may settle or release a claim."""
    return (
        known is not None
        and known.attempt == attempt
        and known.state is ClaimState.RUNNING
    )


def next_step(
    result: ProposalResult,
    *,
    asked_before: int,
    seconds_left: float,
    call_seconds: float,
    id_is_new: bool,
    entries: AbstractSet[InstanceId],
) -> Step:
    """Decide what an entry does after it has asked for a claim.

    A holder that is not among the known ``entries`` is taken to be gone.
    ``id_is_new`` says that the entry made the request id up.  A request id
    of the caller may have been sent before, through another entry; while the
    log has not told, nothing proves that the call has not run.
    """
    delay = QUESTIONS.delay_seconds(asked_before, jitter=1.0)
    in_time = delay + COMMIT_MARGIN_SECONDS < seconds_left
    unproven = Verdict.NOT_RUN if id_is_new else Verdict.MAY_HAVE_RUN
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
            # The log knows no claim of this call, so it was never sent.
            return Refuse(Refusal(RefusalReason.CAPACITY, detail, Verdict.NOT_RUN, 60))
        case Applied(outcome=HeldByOther(entry=holder, age_seconds=age)):
            running = age < call_seconds + RUNNING_MARGIN_SECONDS
            if in_time and running and holder in entries:
                return AskAgain(delay)
            return Refuse(
                _may_have_run("the call was sent before and has no outcome yet")
            )
        case Applied():
            return Refuse(
                _may_have_run("the call was sent before and its outcome is unknown")
            )
        case NotProposed() | InDoubt() if in_time:
            return AskAgain(delay)
        case NotProposed(detail=detail):
            return Refuse(Refusal(RefusalReason.NO_LEADER, detail, unproven, 1.0))
        case InDoubt(detail=detail):
            return Refuse(
                Refusal(RefusalReason.UNKNOWN_OUTCOME, detail, unproven, 1.0),
                in_doubt=True,
            )


def to_keep(outcome: StoredOutcome) -> StoredOutcome:
    """Return the outcome without its body if that is too large to keep."""
    if outcome.body is None or len(outcome.body) <= MAX_INLINE_BODY_BYTES:
        return outcome
    return replace(outcome, body=None)


def refusal_without_body(outcome: StoredOutcome) -> Refusal:
    """Return what a resend is told whose outcome has no body any more."""
    return Refusal(
        RefusalReason.UNKNOWN_OUTCOME,
        f"the call has run and was answered with status {outcome.status}; the "
        f"answer of {outcome.body_bytes} bytes was not kept",
        Verdict.RAN,
    )


def _may_have_run(detail: str) -> Refusal:
    return Refusal(RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN)
