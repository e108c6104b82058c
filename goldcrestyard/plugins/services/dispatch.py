"""Dispatch of requests to the targets of plain services, with retries."""

from collections.abc import Callable
from dataclasses import dataclass

from goldcrestyard.core.attempts import Answered, TokenCount
from goldcrestyard.core.ids import (
    CorrelationId,
    OrganisationId,
)
from goldcrestyard.core.records import Organisation
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Priority
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.scheduling.attempts import AttemptPolicy, Attempts
from goldcrestyard.plugins.scheduling.scheduler import Scheduler, WorkRequest
from goldcrestyard.plugins.services.requests import ServiceRequest
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.upstream import ServiceAnswer, ServiceClient
from goldcrestyard.policy.routing import RequestNeeds

NO_TOKENS = TokenCount(0, 0)
"""Calls of plain services are metered by their number, not by tokens."""

TOKENS_CHARGED_PER_CALL = 100.0
"""Cost of a call in generated tokens, for fair queueing."""

ANONYMOUS_ORGANISATION = Organisation(OrganisationId("(open)"))
"""All callers of open routes are queued as one organisation."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request with its caller; None is a caller of an open route."""

    request: ServiceRequest
    organisation: OrganisationId | None
    idempotent: bool
    correlation_id: CorrelationId


class ServiceDispatcher:
    """Sends a call to scheduled targets until one answers.

    Failed attempts are repeated as far as the retry policy allows.
    """

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
        self._settings = settings
        self._policy = AttemptPolicy(clock, scheduler, settings.max_attempts)

    async def answer(self, call: ServiceCall) -> ServiceAnswer | Refusal:
        """Return a target's complete answer, or a refusal."""
        attempts = Attempts.begin(
            self._policy, self._settings.request_seconds, idempotent=call.idempotent
        )
        while True:
            work = self._work_request(call, attempts)
            async with self._scheduler.acquire(work) as granted:
                if isinstance(granted, Refusal):
                    return attempts.refusal_without_target(granted)
                outcome = await self._client.send(
                    granted.target,
                    call.request,
                    call.organisation,
                    granted.attempt,
                    call.correlation_id,
                    attempts.seconds_left,
                )
                if isinstance(outcome, ServiceAnswer):
                    granted.finish(Answered(outcome.status, "", b""), NO_TOKENS)
                    return outcome
                granted.finish(outcome)
            refusal = await attempts.handle_failure(granted, outcome)
            if refusal is not None:
                return refusal

    def _work_request(self, call: ServiceCall, attempts: Attempts) -> WorkRequest:
        organisation = (
            self._organisation_of(call.organisation)
            if call.organisation is not None
            else ANONYMOUS_ORGANISATION
        )
        # A call that must not be repeated would be lost with its target if
        # the platform reclaimed it.
        needs = RequestNeeds(
            TOKENS_CHARGED_PER_CALL,
            Priority.INTERACTIVE,
            survives_reclaim=call.idempotent,
        )
        return WorkRequest(
            call.request.service,
            organisation,
            needs,
            frozenset(attempts.tried),
            attempts.deadline,
        )
