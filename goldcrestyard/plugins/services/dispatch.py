"""Sends a request to a service's targets as the retry policy allows."""

import asyncio
import random
import uuid
from dataclasses import dataclass

from goldcrestyard.core.attempts import AttemptFailure
from goldcrestyard.core.ids import (
    AttemptId,
    CorrelationId,
    OrganisationId,
    Region,
    TargetId,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Rental, TargetKind
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.services.requests import ServiceRequest
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.upstream import ServiceAnswer, ServiceClient
from goldcrestyard.plugins.targets.in_flight import InFlight
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy import retries, routing


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request, on whose behalf it runs, and whether it may be repeated."""

    request: ServiceRequest
    organisation: OrganisationId | None
    idempotent: bool
    correlation_id: CorrelationId


class ServiceDispatcher:
    """Chooses targets and repeats attempts as the retry policy allows."""

    def __init__(
        self,
        view: EntryView,
        client: ServiceClient,
        in_flight: InFlight,
        clock: Clock,
        region: Region,
        settings: ServiceSettings,
    ) -> None:
        self._targets = view.machine.get(TargetsSlice)
        self._client = client
        self._in_flight = in_flight
        self._clock = clock
        self._region = region
        self._settings = settings
        self._budget = retries.RetryBudget()

    async def answer(self, call: ServiceCall) -> ServiceAnswer | Refusal:
        """Return a target's whole answer, or why there is none."""
        self._budget.deposit()
        deadline = self._clock.monotonic() + self._settings.request_seconds
        failures: list[AttemptFailure] = []
        tried: set[TargetId] = set()
        while True:
            target = self._choose(call, tried)
            if target is None:
                return retries.refusal_for(failures)
            tried.add(target.id)
            with self._in_flight.hold(target.id):
                outcome = await self._client.send(
                    target,
                    call.request,
                    call.organisation,
                    AttemptId(uuid.uuid4().hex),
                    call.correlation_id,
                    deadline - self._clock.monotonic(),
                )
            if isinstance(outcome, ServiceAnswer):
                return outcome
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
                    self._in_flight.note_retry()
                    await asyncio.sleep(delay_seconds)
                case retries.GiveUp(refusal=refusal):
                    return refusal

    def _choose(self, call: ServiceCall, tried: set[TargetId]) -> Target | None:
        # A target that can be reclaimed may vanish during a call that must
        # not be sent again.
        candidates = [
            target
            for target in self._targets.serving(call.request.service)
            if target.kind is TargetKind.SERVICE
            and (call.idempotent or target.rental is Rental.ON_DEMAND)
        ]
        return routing.choose_target(
            candidates, self._in_flight.by_target, self._region, tried
        )
