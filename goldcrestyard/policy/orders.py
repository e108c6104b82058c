"""What follows an attempt to carry out an order."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.policy.backoff import Backoff

RETRIES = Backoff(base_seconds=0.1, longest_seconds=5.0)
"""Retries beyond the budget are not dropped but come at the longest delay,
since an order stays due until its deadline."""


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """A fencing number; the log index is unique over all terms."""

    term: Term
    index: LogIndex


@dataclass(frozen=True, slots=True)
class Guards:
    """What a receiver does against repeated orders and stale senders."""

    checks_fencing: bool = False
    honours_keys: bool = False
    can_look_up: bool = False


class OrderState(Enum):
    """What is known of an order."""

    OPEN = "open"
    DONE = "done"
    REFUSED = "refused"
    """The receiver answered that it does not carry the order out."""
    EXPIRED = "expired"
    """The order was never sent whole before its deadline."""
    IN_DOUBT = "in_doubt"
    """The receiver may or may not have carried the order out."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No receiver can have had the whole request."""

    detail: str


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease check failed; the request was aborted before its end."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The whole request was sent, but no whole answer came."""

    detail: str


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The receiver's whole answer."""

    status: int
    body: bytes


SendOutcome = NotSent | LeaseLost | NoAnswer | OrderAnswer


@dataclass(frozen=True, slots=True)
class Send:
    """Send the order, first under a new fencing number if so marked."""

    renumber: bool = False


@dataclass(frozen=True, slots=True)
class LookUp:
    """Ask the receiver what became of the order before anything else."""


@dataclass(frozen=True, slots=True)
class Settle:
    """Record the outcome."""

    state: OrderState
    detail: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class StandDown:
    """This member is no longer in charge; leave the order open."""


NextStep = Send | LookUp | Settle | StandDown


@dataclass(frozen=True, slots=True)
class Progress:
    """What the sender knows of an order between two steps."""

    fence: Fence
    maybe_sent: bool
    """An earlier attempt, of this or of an earlier leader, may have reached
    the receiver whole."""


class _FencedAnswer(msgspec.Struct):
    error: str = ""
    highest: tuple[int, int] = (0, 0)


def first_step(guards: Guards, maybe_sent: bool) -> NextStep:
    """Return how to go on with an order that may have been sent before."""
    match guards:
        case _ if not maybe_sent:
            return Send()
        case Guards(honours_keys=True, checks_fencing=checks_fencing):
            # The key makes the repetition harmless, so the order takes a new
            # number: from then on the receiver refuses an earlier leader.
            return Send(renumber=checks_fencing)
        case Guards(checks_fencing=True):
            # Without keys only the unchanged number tells the receiver that
            # it has seen this order.
            return Send()
        case Guards(can_look_up=True):
            return LookUp()
        case _:
            return Settle(
                OrderState.IN_DOUBT,
                "may have been sent; the receiver can neither tell repetitions "
                "apart nor be asked",
            )


def after_outcome(outcome: SendOutcome, guards: Guards, progress: Progress) -> NextStep:
    """Return what follows an attempt to send."""
    match outcome:
        case LeaseLost():
            return StandDown()
        case NotSent():
            return first_step(guards, progress.maybe_sent)
        case NoAnswer():
            return first_step(guards, True)
        case OrderAnswer(status=status, body=body) if 200 <= status < 300:
            return Settle(OrderState.DONE, f"answered {status}", body)
        case OrderAnswer(status=409, body=body) if (
            highest := _highest_fence(body)
        ) is not None:
            return _after_fencing(highest, guards, progress)
        case OrderAnswer(status=429 | 503):
            return first_step(guards, progress.maybe_sent)
        case OrderAnswer(status=status, body=body) if 400 <= status < 500:
            return Settle(OrderState.REFUSED, f"answered {status}", body)
        case OrderAnswer():
            return first_step(guards, True)


def after_look_up(answer: OrderAnswer | NotSent | NoAnswer) -> NextStep:
    """Return what follows the question what became of an order."""
    match answer:
        case OrderAnswer(status=200, body=body):
            return Settle(OrderState.DONE, "found by look-up", body)
        case OrderAnswer(status=404):
            return Send()
        case _:
            return LookUp()


def at_deadline(maybe_sent: bool) -> Settle:
    """Return the outcome of an order whose deadline has passed."""
    if maybe_sent:
        return Settle(OrderState.IN_DOUBT, "deadline passed without an answer")
    return Settle(OrderState.EXPIRED, "deadline passed before it was sent")


def _after_fencing(highest: Fence, guards: Guards, progress: Progress) -> NextStep:
    if highest.term > progress.fence.term and not progress.maybe_sent:
        return StandDown()
    if highest == progress.fence:
        return Settle(OrderState.DONE, "the receiver had carried it out before")
    if guards.honours_keys or not progress.maybe_sent:
        return Send(renumber=True)
    if guards.can_look_up:
        return LookUp()
    return Settle(OrderState.IN_DOUBT, f"refused as older than {highest}")


def _highest_fence(body: bytes) -> Fence | None:
    try:
        answer = msgspec.json.decode(body, type=_FencedAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if answer.error != "stale_fencing":
        return None
    term, index = answer.highest
    return Fence(Term(term), LogIndex(index))
