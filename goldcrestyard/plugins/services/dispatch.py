"""Sends a request to a service's targets as the retry policy allows."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from goldcrestyard.core.attempts import Answered, AttemptFailure, TokenCount, TurnedAway
from goldcrestyard.core.ids import (
    CorrelationId,
    OrganisationId,
    TargetId,
)
from goldcrestyard.core.records import Organisation
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Priority
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.scheduling.scheduler import Scheduler, WorkRequest
from goldcrestyard.plugins.services.requests import ServiceRequest
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.upstream import ServiceAnswer, ServiceClient
from goldcrestyard.policy import retries
from goldcrestyard.policy.routing import Needs

NO_TOKENS = TokenCount(0, 0)
"""Calls of plain services are metered by their number."""

CALL_TOKENS = 100.0
"""What a call counts in an organisation's share, next to generated tokens."""

OPEN_CALLERS = Organisation(OrganisationId("(open)"))
"""Callers of open routes share one place in the queue."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request, on whose behalf it runs, and whether it may be repeated."""

    request: ServiceRequest
    organisation: OrganisationId | None
    idempotent: bool
    correlation_id: CorrelationId


class ServiceDispatcher:
    """Gets a target for each attempt and repeats as the policy allows."""

    def __init__(
        self,
        client: ServiceClient,
        scheduler: Scheduler,
        organisation_of: Callable[[OrganisationId], Organisation],
        clock: Clock,
        settings: ServiceSettings,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._organisation_of = organisation_of
        self._clock = clock
        self._settings = settings
        self._budget = retries.RetryBudget()

    async def answer(self, call: ServiceCall) -> ServiceAnswer | Refusal:
        """Return a target's whole answer, or why there is none."""
        self._budget.deposit()
        deadline = self._clock.monotonic() + self._settings.request_seconds
        failures: list[AttemptFailure] = []
        tried: set[TargetId] = set()
        while True:
            work = self._work(call, frozenset(tried), deadline)
            async with self._scheduler.acquire(work) as granted:
                if isinstance(granted, Refusal):
                    return retries.refusal_for(failures) if failures else granted
                outcome = await self._client.send(
                    granted.target,
                    call.request,
                    call.organisation,
                    granted.attempt,
                    call.correlation_id,
                    deadline - self._clock.monotonic(),
                )
                if isinstance(outcome, ServiceAnswer):
                    granted.finish(Answered(outcome.status, "", b""), NO_TOKENS)
                    return outcome
                granted.finish(outcome)
                if not isinstance(outcome, TurnedAway):
                    tried.add(granted.target.id)
            failures.append(outcome)
            decision = retries.decide(
                failures,
                idempotent=call.idempotent,
                max_attempts=self._settings.max_attempts,
                seconds_left=deadline - self._clock.monotonic(),
                budget=self._budget,
                jitter=random.random(),
            )
            match decision:
                case retries.RetryAfter(delay_seconds=delay_seconds):
                    self._scheduler.note_retry()
                    await asyncio.sleep(delay_seconds)
                case retries.GiveUp(refusal=refusal):
                    return refusal

    def _work(
        self, call: ServiceCall, tried: frozenset[TargetId], deadline: float
    ) -> WorkRequest:
        organisation = (
            self._organisation_of(call.organisation)
            if call.organisation is not None
            else OPEN_CALLERS
        )
        # A target that can be reclaimed may vanish during a call that must
        # not be sent again.
        needs = Needs(
            CALL_TOKENS, Priority.INTERACTIVE, survives_reclaim=call.idempotent
        )
        return WorkRequest(call.request.service, organisation, needs, tried, deadline)
