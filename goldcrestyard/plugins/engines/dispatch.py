"""Sends a request to engines until one has answered or none is left."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from goldcrestyard.core.attempts import (
    Answered,
    AttemptFailure,
    AttemptOutcome,
    Broken,
    TurnedAway,
)
from goldcrestyard.core.ids import CorrelationId, OrganisationId, TargetId
from goldcrestyard.core.records import Organisation, Target
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Priority
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import InferenceRequest, needs_of
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.token_counts import (
    StreamCounter,
    count_of_answer,
)
from goldcrestyard.plugins.engines.upstream import (
    EngineClient,
    Finished,
    StreamStep,
)
from goldcrestyard.plugins.scheduling.scheduler import Grant, Scheduler, WorkRequest
from goldcrestyard.policy import retries


@dataclass(slots=True)
class Call:
    """A caller's request on its way through the attempts."""

    request: InferenceRequest
    organisation: Organisation
    priority: Priority
    correlation_id: CorrelationId
    deadline: float
    failures: list[AttemptFailure] = field(default_factory=list)
    tried: set[TargetId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class OpenStream:
    """A stream whose first piece has arrived."""

    grant: Grant
    first: Piece
    rest: AsyncIterator[StreamStep]

    @property
    def target(self) -> Target:
        """The engine that the stream comes from."""
        return self.grant.target


class Dispatcher:
    """Gets a target for each attempt and repeats as the policy allows."""

    def __init__(
        self,
        client: EngineClient,
        scheduler: Scheduler,
        organisation_of: Callable[[OrganisationId], Organisation],
        clock: Clock,
        settings: EngineSettings,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._organisation_of = organisation_of
        self._clock = clock
        self._settings = settings
        self._budget = retries.RetryBudget()

    def start(
        self,
        request: InferenceRequest,
        organisation: OrganisationId,
        priority: Priority,
        correlation_id: CorrelationId,
    ) -> Call:
        """Return a new call with its deadline."""
        self._budget.deposit()
        deadline = self._clock.monotonic() + self._settings.request_seconds
        terms = self._organisation_of(organisation)
        return Call(request, terms, priority, correlation_id, deadline)

    async def answer(self, call: Call) -> Answered | Refusal:
        """Return an engine's whole answer, or why there is none."""
        while True:
            async with self._scheduler.acquire(self._work(call)) as granted:
                if isinstance(granted, Refusal):
                    return self._without_target(call, granted)
                outcome = await self._client.call(
                    granted.target, call.request, granted.attempt, call.correlation_id
                )
                granted.finish(outcome, count_of_answer(outcome))
                _note_tried(call, granted, outcome)
            if isinstance(outcome, Answered):
                return outcome
            refusal = await self._after_failure(call, outcome)
            if refusal is not None:
                return refusal

    @asynccontextmanager
    async def stream(
        self, call: Call
    ) -> AsyncIterator[OpenStream | Answered | Refusal]:
        """Yield a stream that has begun, or what came instead of one."""
        while True:
            async with AsyncExitStack() as stack:
                granted = await stack.enter_async_context(
                    self._scheduler.acquire(self._work(call))
                )
                if isinstance(granted, Refusal):
                    yield self._without_target(call, granted)
                    return
                opened = await stack.enter_async_context(
                    self._client.stream(
                        granted.target,
                        call.request.with_usage(),
                        granted.attempt,
                        call.correlation_id,
                    )
                )
                outcome = await self._begin(granted, call.request, opened)
                if isinstance(outcome, OpenStream):
                    yield outcome
                    return
                granted.finish(outcome)
                _note_tried(call, granted, outcome)
                if isinstance(outcome, Answered):
                    yield outcome
                    return
            refusal = await self._after_failure(call, outcome)
            if refusal is not None:
                yield refusal
                return

    async def _begin(
        self,
        grant: Grant,
        request: InferenceRequest,
        opened: AsyncIterator[StreamStep] | Answered | AttemptFailure,
    ) -> OpenStream | Answered | AttemptFailure:
        if not isinstance(opened, AsyncIterator):
            return opened
        first = await anext(opened)
        if isinstance(first, Piece):
            counter = StreamCounter(request)
            counter.add(first.data)
            grant.used = counter.count
            return OpenStream(grant, first, _observed(grant, counter, opened))
        if isinstance(first, Broken):
            return first
        return Broken("stream ended before its first piece")

    def _work(self, call: Call) -> WorkRequest:
        return WorkRequest(
            call.request.fields.model,
            call.organisation,
            needs_of(call.request, call.priority),
            frozenset(call.tried),
            call.deadline,
        )

    def _without_target(self, call: Call, refusal: Refusal) -> Refusal:
        """Return the refusal of a call that gets no further target.

        The verdict covers the attempts before.
        """
        if call.failures:
            return retries.refusal_for(call.failures)
        return replace(refusal, verdict=retries.overall_verdict(call.failures))

    async def _after_failure(
        self, call: Call, failure: AttemptFailure
    ) -> Refusal | None:
        """Wait before the next attempt, or return the refusal."""
        call.failures.append(failure)
        if isinstance(failure, Broken) and failure.target_answers:
            # Only its connection was dead.
            call.tried.clear()
        decision = retries.decide(
            call.failures,
            idempotent=True,
            max_attempts=self._settings.max_attempts,
            seconds_left=call.deadline - self._clock.monotonic(),
            budget=self._budget,
            jitter=random.random(),
        )
        match decision:
            case retries.RetryAfter(delay_seconds=delay_seconds):
                self._scheduler.note_retry()
                await asyncio.sleep(delay_seconds)
                return None
            case retries.GiveUp(refusal=refusal):
                return refusal


def _note_tried(call: Call, grant: Grant, outcome: AttemptOutcome) -> None:
    """Leave out a target that failed; one that was full may have room soon."""
    if not isinstance(outcome, TurnedAway):
        call.tried.add(grant.target.id)


async def _observed(
    grant: Grant, counter: StreamCounter, steps: AsyncIterator[StreamStep]
) -> AsyncIterator[StreamStep]:
    """Pass on the steps of a stream and tell the scheduler of its end."""
    async for step in steps:
        match step:
            case Piece(data=data):
                counter.add(data)
                grant.used = counter.count
                if counter.hides(data):
                    continue
            case Finished():
                grant.finish(Answered(200, "text/event-stream", b""))
            case Broken():
                grant.finish(step)
        yield step
