"""Dispatch of inference requests to engines, with retries."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from goldcrestyard.core.attempts import (
    Answered,
    AttemptFailure,
    Broken,
)
from goldcrestyard.core.ids import CorrelationId, OrganisationId, TargetId
from goldcrestyard.core.records import Organisation, Target
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Priority
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import InferenceRequest, estimate_needs
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.token_counts import (
    StreamTokenCounter,
    token_count_of_answer,
)
from goldcrestyard.plugins.engines.upstream import (
    EngineClient,
    Finished,
    StreamStep,
)
from goldcrestyard.plugins.scheduling.attempts import AttemptPolicy, Attempts
from goldcrestyard.plugins.scheduling.scheduler import Grant, Scheduler, WorkRequest
from goldcrestyard.policy.retries import RetryBudget


@dataclass(frozen=True, slots=True)
class InferenceCall:
    """An inference request with its caller and its attempts so far."""

    request: InferenceRequest
    organisation: Organisation
    priority: Priority
    correlation_id: CorrelationId
    attempts: Attempts

    @property
    def tried(self) -> set[TargetId]:
        """Targets that the next attempt must not use; may be extended."""
        return self.attempts.tried


@dataclass(frozen=True, slots=True)
class OpenStream:
    """A stream whose first event has arrived."""

    grant: Grant
    first: Piece
    rest: AsyncIterator[StreamStep]

    @property
    def target(self) -> Target:
        """The engine that sends the stream."""
        return self.grant.target


class Dispatcher:
    """Sends a call to scheduled engines until one answers.

    Failed attempts are repeated as far as the retry policy allows.
    """

    def __init__(
        self,
        client: EngineClient,
        scheduler: Scheduler,
        organisation_of: Callable[[OrganisationId], Organisation],
        clock: Clock,
        settings: EngineSettings,
        budget: RetryBudget | None = None,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._organisation_of = organisation_of
        self._settings = settings
        self._policy = AttemptPolicy(
            clock, scheduler, settings.max_attempts, budget or RetryBudget()
        )

    def start(
        self,
        request: InferenceRequest,
        organisation: OrganisationId,
        priority: Priority,
        correlation_id: CorrelationId,
    ) -> InferenceCall:
        """Create a call, whose time limit starts now."""
        attempts = Attempts.begin(
            self._policy, self._settings.request_seconds, idempotent=True
        )
        terms = self._organisation_of(organisation)
        return InferenceCall(request, terms, priority, correlation_id, attempts)

    async def answer(self, call: InferenceCall) -> Answered | Refusal:
        """Return an engine's complete answer, or a refusal."""
        while True:
            async with self._scheduler.acquire(self._work_request(call)) as granted:
                if isinstance(granted, Refusal):
                    return call.attempts.refusal_without_target(granted)
                outcome = await self._client.call(
                    granted.target, call.request, granted.attempt, call.correlation_id
                )
                granted.finish(outcome, token_count_of_answer(outcome))
            if isinstance(outcome, Answered):
                return outcome
            refusal = await call.attempts.handle_failure(granted, outcome)
            if refusal is not None:
                return refusal

    @asynccontextmanager
    async def stream(
        self, call: InferenceCall
    ) -> AsyncIterator[OpenStream | Answered | Refusal]:
        """Yield an open stream, or the answer or refusal if there is none.

        An answer instead of a stream has an error status.  The engine is held
        while the context is open.
        """
        while True:
            async with AsyncExitStack() as stack:
                granted = await stack.enter_async_context(
                    self._scheduler.acquire(self._work_request(call))
                )
                if isinstance(granted, Refusal):
                    yield call.attempts.refusal_without_target(granted)
                    return
                opened = await stack.enter_async_context(
                    self._client.stream(
                        granted.target,
                        call.request.with_usage(),
                        granted.attempt,
                        call.correlation_id,
                    )
                )
                outcome = await self._open_stream(granted, call.request, opened)
                if isinstance(outcome, OpenStream):
                    yield outcome
                    return
                granted.finish(outcome)
                if isinstance(outcome, Answered):
                    yield outcome
                    return
            refusal = await call.attempts.handle_failure(granted, outcome)
            if refusal is not None:
                yield refusal
                return

    async def _open_stream(
        self,
        grant: Grant,
        request: InferenceRequest,
        opened: AsyncIterator[StreamStep] | Answered | AttemptFailure,
    ) -> OpenStream | Answered | AttemptFailure:
        if not isinstance(opened, AsyncIterator):
            return opened
        first = await anext(opened)
        if isinstance(first, Piece):
            counter = StreamTokenCounter(request)
            counter.add(first.data)
            grant.token_count = counter.count
            return OpenStream(grant, first, _record_steps(grant, counter, opened))
        if isinstance(first, Broken):
            return first
        return Broken("stream ended before its first event")

    def _work_request(self, call: InferenceCall) -> WorkRequest:
        return WorkRequest(
            call.request.fields.model,
            call.organisation,
            estimate_needs(call.request, call.priority),
            frozenset(call.tried),
            call.attempts.deadline,
        )


async def _record_steps(
    grant: Grant, counter: StreamTokenCounter, steps: AsyncIterator[StreamStep]
) -> AsyncIterator[StreamStep]:
    """Yield the steps of a stream, recording token counts and the outcome.

    Events with token counts that the caller did not request are left out.
    """
    async for step in steps:
        match step:
            case Piece(data=data):
                counter.add(data)
                grant.token_count = counter.count
                if counter.is_unrequested_usage(data):
                    continue
            case Finished():
                grant.finish(Answered(200, "text/event-stream", b""))
            case Broken():
                grant.finish(step)
        yield step
