"""Sends a request to engines until one has answered or none is left."""

import asyncio
import random
import uuid
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from goldcrestyard.core.attempts import Answered, AttemptFailure, Broken
from goldcrestyard.core.ids import AttemptId, CorrelationId, Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import EngineClient, StreamStep
from goldcrestyard.plugins.targets.in_flight import InFlight
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy import retries, routing


@dataclass(slots=True)
class Call:
    """A caller's request on its way through the attempts."""

    request: InferenceRequest
    correlation_id: CorrelationId
    deadline: float
    failures: list[AttemptFailure] = field(default_factory=list)
    tried: set[TargetId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class OpenStream:
    """A stream whose first piece has arrived."""

    target: Target
    first: Piece
    rest: AsyncIterator[StreamStep]


class Dispatcher:
    """Chooses engines and repeats attempts as the retry policy allows."""

    def __init__(
        self,
        view: EntryView,
        client: EngineClient,
        in_flight: InFlight,
        clock: Clock,
        region: Region,
        settings: EngineSettings,
    ) -> None:
        self._targets = view.machine.get(TargetsSlice)
        self._client = client
        self._in_flight = in_flight
        self._clock = clock
        self._region = region
        self._settings = settings
        self._budget = retries.RetryBudget()

    def start(self, request: InferenceRequest, correlation_id: CorrelationId) -> Call:
        """Return a new call with its deadline."""
        self._budget.deposit()
        deadline = self._clock.monotonic() + self._settings.request_seconds
        return Call(request, correlation_id, deadline)

    async def answer(self, call: Call) -> Answered | Refusal:
        """Return an engine's whole answer, or why there is none."""
        while True:
            target = self._choose(call)
            if target is None:
                return retries.refusal_for(call.failures)
            with self._in_flight.hold(target.id):
                outcome = await self._client.call(
                    target, call.request, new_attempt_id(), call.correlation_id
                )
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
            target = self._choose(call)
            if target is None:
                yield retries.refusal_for(call.failures)
                return
            async with AsyncExitStack() as stack:
                stack.enter_context(self._in_flight.hold(target.id))
                opened = await stack.enter_async_context(
                    self._client.stream(
                        target, call.request, new_attempt_id(), call.correlation_id
                    )
                )
                outcome = await self._begin(target, opened)
                if isinstance(outcome, OpenStream | Answered):
                    yield outcome
                    return
            refusal = await self._after_failure(call, outcome)
            if refusal is not None:
                yield refusal
                return

    async def _begin(
        self,
        target: Target,
        opened: AsyncIterator[StreamStep] | Answered | AttemptFailure,
    ) -> OpenStream | Answered | AttemptFailure:
        if not isinstance(opened, AsyncIterator):
            return opened
        first = await anext(opened)
        if isinstance(first, Piece):
            return OpenStream(target, first, opened)
        if isinstance(first, Broken):
            return first
        return Broken("stream ended before its first piece")

    def _choose(self, call: Call) -> Target | None:
        target = routing.choose_target(
            self._targets.serving(call.request.fields.model),
            self._in_flight.by_target,
            self._region,
            call.tried,
        )
        if target is not None:
            call.tried.add(target.id)
        return target

    async def _after_failure(
        self, call: Call, failure: AttemptFailure
    ) -> Refusal | None:
        """Wait before the next attempt, or return the refusal."""
        call.failures.append(failure)
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
                self._in_flight.note_retry()
                await asyncio.sleep(delay_seconds)
                return None
            case retries.GiveUp(refusal=refusal):
                return refusal


def new_attempt_id() -> AttemptId:
    """Return a new attempt id."""
    return AttemptId(uuid.uuid4().hex)
