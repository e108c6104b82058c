"""Delivery of orders to outside receivers.

An order is an HTTP request that must take effect at most once.  The functions
return the next step after each attempt, from the receiver's answer and from
its protection against duplicates.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from goldcrestyard.core.decoding import Count, Malformed, decode_json
from goldcrestyard.core.ids import LogIndex, Term
from goldcrestyard.policy.backoff import Backoff

RETRIES = Backoff(base_seconds=0.1, longest_seconds=5.0)
"""Delays between attempts.  A retry beyond the retry budget is not dropped,
but waits for the longest delay, since an order stays due until its
deadline."""


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """A fencing token: the term and index of the log entry that issued it.

    It rises with each issue, and the log index is unique over all terms.
    """

    term: Term
    index: LogIndex


@dataclass(frozen=True, slots=True)
class Guards:
    """A receiver's protection against duplicate orders and deposed leaders."""

    checks_fencing: bool = False
    """The receiver refuses an order with a lower fencing token than the
    highest seen."""
    honours_keys: bool = False
    """The receiver carries out only one order for each idempotency key."""
    can_look_up: bool = False
    """The receiver offers a look-up of the outcome of an order."""


class OrderState(Enum):
    """Outcome of an order, or ``OPEN`` while there is none."""

    OPEN = "open"
    DONE = "done"
    REFUSED = "refused"
    """The receiver rejected the order."""
    EXPIRED = "expired"
    """The deadline passed before the order was sent completely."""
    IN_DOUBT = "in_doubt"
    """The receiver may or may not have carried the order out."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent completely, so it had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The leader's lease expired while the order was sent; it was aborted."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request was sent completely, but no complete answer arrived."""

    detail: str


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The receiver's complete answer."""

    status: int
    body: bytes


SendOutcome = NotSent | LeaseLost | NoAnswer | OrderAnswer


@dataclass(frozen=True, slots=True)
class Send:
    """Send the order, under a new fencing token if ``renumber`` is set."""

    renumber: bool = False


@dataclass(frozen=True, slots=True)
class LookUp:
    """Ask the receiver for the outcome of the order before sending again."""


@dataclass(frozen=True, slots=True)
class Settle:
    """Record the final state of the order and the answer."""

    state: OrderState
    detail: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class LeaveOpen:
    """Leave the order open, since this member is no longer the leader."""


NextStep = Send | LookUp | Settle | LeaveOpen


@dataclass(frozen=True, slots=True)
class Progress:
    """State of an order's delivery between two steps."""

    fence: Fence
    maybe_sent: bool
    """An earlier attempt, by this or an earlier leader, may have reached the
    receiver completely."""


class _StaleFenceAnswer(msgspec.Struct):
    error: str = ""
    highest: tuple[Count, Count] = (0, 0)


def first_step(guards: Guards, maybe_sent: bool) -> NextStep:
    """Return the next step for an open order.

    ``maybe_sent`` states that an earlier attempt may have reached the
    receiver.
    """
    match guards:
        case _ if not maybe_sent:
            return Send()
        case Guards(honours_keys=True, checks_fencing=checks_fencing):
            # The key makes a duplicate harmless, so the order gets a new
            # token, after which the receiver refuses orders of an earlier
            # leader.
            return Send(renumber=checks_fencing)
        case Guards(checks_fencing=True):
            # Without keys, only the unchanged token lets the receiver detect
            # a duplicate.
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
    """Return the next step after an attempt to send an order."""
    match outcome:
        case LeaseLost():
            return LeaveOpen()
        case NotSent():
            return first_step(guards, progress.maybe_sent)
        case NoAnswer():
            return first_step(guards, True)
        case OrderAnswer(status=status, body=body) if 200 <= status < 300:
            return Settle(OrderState.DONE, f"answered {status}", body)
        case OrderAnswer(status=409, body=body) if (
            highest := _highest_fence(body)
        ) is not None:
            return _after_stale_fence(highest, guards, progress)
        case OrderAnswer(status=429 | 503):
            return first_step(guards, progress.maybe_sent)
        case OrderAnswer(status=status, body=body) if 400 <= status < 500:
            return Settle(OrderState.REFUSED, f"answered {status}", body)
        case OrderAnswer():
            return first_step(guards, True)


def after_lookup(answer: OrderAnswer | NotSent | NoAnswer) -> NextStep:
    """Return the next step after a look-up of an order's outcome."""
    match answer:
        case OrderAnswer(status=200, body=body):
            return Settle(OrderState.DONE, "found by look-up", body)
        case OrderAnswer(status=404):
            return Send()
        case _:
            return LookUp()


def at_deadline(maybe_sent: bool) -> Settle:
    """Return the final state of an order whose deadline has passed."""
    if maybe_sent:
        return Settle(OrderState.IN_DOUBT, "deadline passed without an answer")
    return Settle(OrderState.EXPIRED, "deadline passed before it was sent")


def _after_stale_fence(highest: Fence, guards: Guards, progress: Progress) -> NextStep:
    if highest.term > progress.fence.term and not progress.maybe_sent:
        return LeaveOpen()
    if highest == progress.fence:
        return Settle(OrderState.DONE, "the receiver had carried it out before")
    if guards.honours_keys or not progress.maybe_sent:
        return Send(renumber=True)
    if guards.can_look_up:
        return LookUp()
    return Settle(OrderState.IN_DOUBT, f"refused as older than {highest}")


def _highest_fence(body: bytes) -> Fence | None:
    answer = decode_json(body, _StaleFenceAnswer)
    if isinstance(answer, Malformed) or answer.error != "stale_fencing":
        return None
    term, index = answer.highest
    return Fence(Term(term), LogIndex(index))
