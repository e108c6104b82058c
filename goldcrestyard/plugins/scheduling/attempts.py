"""Tracking of the attempts at a request, with retries by the retry policy."""

import asyncio
import random
from dataclasses import dataclass, field

from goldcrestyard.core.attempts import AttemptFailure, Broken, TurnedAway
from goldcrestyard.core.ids import TargetId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.scheduling.scheduler import Grant, Scheduler
from goldcrestyard.policy import retries


@dataclass(frozen=True, slots=True)
class AttemptPolicy:
    """Limits on attempts, shared by all requests that a plug-in serves."""

    clock: Clock
    scheduler: Scheduler
    max_attempts: int
    budget: retries.RetryBudget = field(default_factory=retries.RetryBudget)


@dataclass(slots=True)
class Attempts:
    """The failed attempts at one request and its deadline.

    ``tried`` holds the targets that the next attempt must not use.
    """

    policy: AttemptPolicy
    deadline: float
    idempotent: bool
    failures: list[AttemptFailure] = field(default_factory=list)
    tried: set[TargetId] = field(default_factory=set)

    @classmethod
    def begin(
        cls, policy: AttemptPolicy, seconds: float, *, idempotent: bool
    ) -> "Attempts":
        """Start to track a new request that may take ``seconds``."""
        policy.budget.deposit()
        return cls(policy, policy.clock.monotonic() + seconds, idempotent)

    @property
    def seconds_left(self) -> float:
        """Seconds until the request's deadline; negative after it."""
        return self.deadline - self.policy.clock.monotonic()

    def refusal_without_target(self, refusal: Refusal) -> Refusal:
        """Return the refusal of a request that is not granted a target.

        After failed attempts, the refusal has a verdict that covers them;
        otherwise it is the scheduler's ``refusal``.
        """
        return retries.refusal_for(self.failures) if self.failures else refusal

    async def handle_failure(
        self, grant: Grant, failure: AttemptFailure
    ) -> Refusal | None:
        """Wait until the next attempt; return a refusal if there is none."""
        self._record_failure(grant, failure)
        decision = retries.decide(
            self.failures,
            idempotent=self.idempotent,
            max_attempts=self.policy.max_attempts,
            seconds_left=self.seconds_left,
            budget=self.policy.budget,
            jitter=random.random(),
        )
        match decision:
            case retries.RetryAfter(delay_seconds=delay_seconds):
                self.policy.scheduler.report_retry()
                await asyncio.sleep(delay_seconds)
                return None
            case retries.GiveUp(refusal=refusal):
                return refusal

    def _record_failure(self, grant: Grant, failure: AttemptFailure) -> None:
        """Record a failure; exclude its target unless it may recover soon."""
        self.failures.append(failure)
        match failure:
            case TurnedAway():
                # The target may have a free slot by the next attempt.
                pass
            case Broken(target_answers=True):
                # Only the connection failed; the target answered a probe.
                self.tried.clear()
            case _:
                self.tried.add(grant.target.id)
