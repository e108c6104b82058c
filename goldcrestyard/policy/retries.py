"""Retries of failed requests.

A request that may have run is repeated only if it is idempotent.  Attempts,
time and the share of retries among all requests are limited.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    Withheld,
    verdict_for,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict, combine_verdicts
from goldcrestyard.policy.backoff import Backoff

RETRIES = Backoff(base_seconds=0.05, longest_seconds=2.0)
"""Delays before a retry."""

MAX_TURNED_AWAY = 8
"""Number of attempts turned away by targets after which the caller gets a
refusal."""


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Send the request again after a delay."""

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with a refusal."""

    refusal: Refusal


Decision = RetryAfter | GiveUp


class RetryBudget:
    """Limits retries to a share of the requests.

    Without a limit, a fault that fails every attempt would multiply the load
    by the number of attempts while the targets have the least capacity.
    Each request adds ``share`` to the balance, up to ``reserve``, and each
    retry takes 1 from it.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def deposit(self) -> None:
        """Add a request's share to the balance."""
        self._balance = min(self._reserve, self._balance + self._share)

    def withdraw(self) -> bool:
        """Take one retry from the balance; return False if it is too low."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


def decide(
    failures: Sequence[AttemptFailure],
    *,
    idempotent: bool,
    max_attempts: int,
    seconds_left: float,
    budget: RetryBudget,
    jitter: float,
) -> Decision:
    """Decide whether to retry a request after its failed attempts.

    ``jitter`` is a random number from 0 to 1.
    """
    verdict = overall_verdict(failures)
    # A target that turns a request away has done little work and may soon have
    # capacity, so such attempts have a separate limit.
    counted = [failure for failure in failures if not isinstance(failure, TurnedAway)]
    if verdict is not Verdict.NOT_RUN and not idempotent:
        return GiveUp(refusal_for(failures))
    delay = RETRIES.delay_seconds(len(failures), jitter)
    turned_away = len(failures) - len(counted)
    if len(counted) >= max_attempts or turned_away >= MAX_TURNED_AWAY:
        return GiveUp(refusal_for(failures))
    if delay >= seconds_left:
        return GiveUp(refusal_for(failures))
    if not isinstance(failures[-1], TurnedAway) and not budget.withdraw():
        return GiveUp(refusal_for(failures))
    return RetryAfter(delay)


def overall_verdict(failures: Sequence[AttemptFailure]) -> Verdict:
    """Return the combined verdict on a request's failed attempts."""
    verdict = Verdict.NOT_RUN
    for failure in failures:
        verdict = combine_verdicts(verdict, verdict_for(failure))
    return verdict


def refusal_for(failures: Sequence[AttemptFailure]) -> Refusal:
    """Return the refusal for a request that is not retried any more.

    An empty ``failures`` means that no target had capacity for the request.
    """
    verdict = overall_verdict(failures)
    match failures[-1] if failures else None:
        case None:
            return Refusal(
                RefusalReason.NO_TARGET,
                "no target has free capacity",
                retry_after_seconds=1.0,
            )
        case Unreached(detail=detail):
            return Refusal(RefusalReason.TARGET_FAILED, f"unreached: {detail}", verdict)
        case TurnedAway(detail=detail) | Withheld(detail=detail):
            return Refusal(RefusalReason.CAPACITY, detail, verdict, 1.0)
        case Broken(detail=detail):
            return Refusal(RefusalReason.INCOMPLETE_ANSWER, detail, verdict)
