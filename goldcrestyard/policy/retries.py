"""Whether a failed attempt is followed by another one."""

from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    verdict_on,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict, combine
from goldcrestyard.policy.backoff import Backoff

RETRIES = Backoff(base_seconds=0.05, longest_seconds=2.0)
MAX_TURNED_AWAY = 8


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
    """Bounds retries to a share of the requests.

    Without it, a fault that fails every attempt would multiply the load by
    the number of attempts just when the targets can bear it least.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def deposit(self) -> None:
        """Count a request."""
        self._balance = min(self._reserve, self._balance + self._share)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return False if it is spent."""
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
    """Decide what follows the last of the failures.

    ``jitter`` is a random number from 0 to 1.
    """
    verdict = overall_verdict(failures)
    # A target that turned the request away has cost little and may have room
    # soon, so that such attempts have a bound of their own.
    spent = [failure for failure in failures if not isinstance(failure, TurnedAway)]
    if verdict is not Verdict.NOT_RUN and not idempotent:
        return GiveUp(refusal_for(failures))
    delay = RETRIES.delay_seconds(len(failures), jitter)
    turned_away = len(failures) - len(spent)
    if len(spent) >= max_attempts or turned_away >= MAX_TURNED_AWAY:
        return GiveUp(refusal_for(failures))
    if delay >= seconds_left:
        return GiveUp(refusal_for(failures))
    if not isinstance(failures[-1], TurnedAway) and not budget.withdraw():
        return GiveUp(refusal_for(failures))
    return RetryAfter(delay)


def overall_verdict(failures: Sequence[AttemptFailure]) -> Verdict:
    """Return the verdict on a request all of whose attempts failed."""
    verdict = Verdict.NOT_RUN
    for failure in failures:
        verdict = combine(verdict, verdict_on(failure))
    return verdict


def refusal_for(failures: Sequence[AttemptFailure]) -> Refusal:
    """Return the refusal that ends a request after these failures."""
    verdict = overall_verdict(failures)
    match failures[-1] if failures else None:
        case None:
            return Refusal(
                RefusalReason.NO_TARGET, "no target has room", retry_after_seconds=1.0
            )
        case Unreached(detail=detail):
            return Refusal(RefusalReason.TARGET_FAILED, f"unreached: {detail}", verdict)
        case TurnedAway(detail=detail):
            return Refusal(RefusalReason.CAPACITY, detail, verdict, 1.0)
        case Broken(detail=detail):
            return Refusal(RefusalReason.INCOMPLETE_ANSWER, detail, verdict)
