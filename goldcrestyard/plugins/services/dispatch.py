"""Dispatch of requests to the targets of plain services, with retries."""

from collections.abc import Callable
from dataclasses import dataclass

from goldcrestyard.core.attempts import Answered, TokenCount
from goldcrestyard.core.ids import (
    CorrelationId,
    OrganisationId,
)
from goldcrestyard.core.records import Organisation
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.byte_room import ByteLease
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.http_client import MAX_UNCOUNTED_ANSWER_BYTES
from goldcrestyard.plugins.scheduling.attempts import AttemptPolicy, Attempts
from goldcrestyard.plugins.scheduling.scheduler import Scheduler, WorkRequest
from goldcrestyard.plugins.services.requests import ServiceRequest
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.upstream import (
    NoRoomForAnswer,
    ServiceAnswer,
    ServiceClient,
)
from goldcrestyard.policy.routing import RequestNeeds

NO_TOKENS = TokenCount(0, 0)
"""Calls of plain services are metered by their number, not by tokens."""

TOKENS_CHARGED_PER_CALL = 100.0
"""Cost of a call in generated tokens, for fair queueing."""

ANONYMOUS_ORGANISATION = Organisation(OrganisationId("(open)"))
"""All callers of open routes are queued as one organisation."""

NO_ROOM = Refusal(
    RefusalReason.NO_ROOM,
    "no room for the answer beside those of other requests",
    retry_after_seconds=1.0,
)

ANSWER_WITHOUT_ROOM = Refusal(
    RefusalReason.INCOMPLETE_ANSWER,
    "no room for the target's answer beside those of other requests",
    Verdict.MAY_HAVE_RUN,
)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request with its caller; None is a caller of an open route."""

    request: ServiceRequest
    organisation: OrganisationId | None
    idempotent: bool
    correlation_id: CorrelationId
    lease: ByteLease
    """The memory of the answer.  Whoever creates the call releases it."""


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
        """Return a target's complete answer, or a refusal.

        An answer that finds no room is not asked for again: the target would
        run the request once more for an answer that finds no room either.
        """
        attempts = Attempts.begin(
            self._policy, self._settings.request_seconds, idempotent=call.idempotent
        )
        while True:
            work = self._work_request(call, attempts)
            async with self._scheduler.acquire(work) as granted:
                if isinstance(granted, Refusal):
                    return attempts.refusal_without_target(granted)
                # Counted only now, since queued calls have no connection.
                if not call.lease.grow(MAX_UNCOUNTED_ANSWER_BYTES):
                    return attempts.refusal_without_target(NO_ROOM)
                outcome = await self._client.send(
                    granted.target,
                    call.request,
                    call.organisation,
                    granted.attempt,
                    call.correlation_id,
                    attempts.seconds_left,
                    call.lease,
                )
                match outcome:
                    case ServiceAnswer(status=status):
                        granted.finish(Answered(status, "", b""), NO_TOKENS)
                        return outcome
                    case NoRoomForAnswer(status=status):
                        # The lack is here, so it is no failure of the target.
                        granted.finish(Answered(status, "", b""), NO_TOKENS)
                        return ANSWER_WITHOUT_ROOM
                granted.finish(outcome)
            call.lease.release()
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
