"""The attempts at one request, as the retry policy allows them."""

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
class AttemptRules:
    """What bounds the attempts of a front end's requests."""

    clock: Clock
    scheduler: Scheduler
    max_attempts: int
    budget: retries.RetryBudget = field(default_factory=retries.RetryBudget)


@dataclass(slots=True)
class Attempts:
    """What has been tried for one request, and whether to try again."""

    rules: AttemptRules
    deadline: float
    idempotent: bool
    failures: list[AttemptFailure] = field(default_factory=list)
    tried: set[TargetId] = field(default_factory=set)

    @classmethod
    def begin(
        cls, rules: AttemptRules, seconds: float, *, idempotent: bool
    ) -> "Attempts":
        """Return the attempts at a new request, with its time in seconds."""
        rules.budget.deposit()
        return cls(rules, rules.clock.monotonic() + seconds, idempotent)

    @property
    def seconds_left(self) -> float:
        """The time until the request's deadline."""
        return self.deadline - self.rules.clock.monotonic()

    def without_target(self, refusal: Refusal) -> Refusal:
        """Return the refusal of a request that gets no further target.

        The verdict covers the attempts before.
        """
        return retries.refusal_for(self.failures) if self.failures else refusal

    async def after_failure(
        self, grant: Grant, failure: AttemptFailure
    ) -> Refusal | None:
        """Wait before the next attempt, or return why there is none."""
        self._note(grant, failure)
        decision = retries.decide(
            self.failures,
            idempotent=self.idempotent,
            max_attempts=self.rules.max_attempts,
            seconds_left=self.seconds_left,
            budget=self.rules.budget,
            jitter=random.random(),
        )
        match decision:
            case retries.RetryAfter(delay_seconds=delay_seconds):
                self.rules.scheduler.note_retry()
                await asyncio.sleep(delay_seconds)
                return None
            case retries.GiveUp(refusal=refusal):
                return refusal

    def _note(self, grant: Grant, failure: AttemptFailure) -> None:
        """Leave out a target that failed, unless it may serve next time."""
        self.failures.append(failure)
        match failure:
            case TurnedAway():
                # It may have room soon.
                pass
            case Broken(target_answers=True):
                # Only the connection was dead.
                self.tried.clear()
            case _:
                self.tried.add(grant.target.id)
