"""Streams: a target's events, passed on as they come."""

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import structlog

from goldcrestyard.core.attempts import AttemptFailure, Broken, Unreached
from goldcrestyard.core.calls import (
    Headers,
    TargetClient,
    TargetReply,
)
from goldcrestyard.core.ids import EventNumber, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.bounded_replies import next_within, open_within
from goldcrestyard.fleet.gateway.admission import (
    RETRY_SECONDS,
    Admission,
    Admitted,
)
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.retries import overall_verdict
from goldcrestyard.policy.serving import pick_service

logger = structlog.get_logger(__name__)

SILENT_SECONDS = 2.0
"""A stream without an event for this long has lost its target: callers give
up at about this time."""


class StreamSink(Protocol):
    """Where a stream goes; the caller's connection."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""


class StreamEnd(Enum):
    """How a stream that had begun has ended."""

    WHOLE = "whole"
    CUT = "cut"
    """The caller must see that it is not whole."""


@dataclass(slots=True)
class _Stream:
    """One caller's stream over all its attempts."""

    begun: bool = False
    last: EventNumber | None = None


class StreamRunner:
    """Passes a stream on, resuming it at another target where allowed."""

    def __init__(
        self,
        admission: Admission,
        router: CallRouter,
        client: TargetClient,
        meter: UsageMeter,
        clock: Clock,
        source: random.Random | None = None,
    ) -> None:
        self._admission = admission
        self._router = router
        self._client = client
        self._meter = meter
        self._clock = clock
        self._random = source or random.Random()

    async def run(self, admitted: Admitted, sink: StreamSink) -> StreamEnd | Refusal:
        """Pass the stream to the sink; a refusal means that none has begun."""
        service = pick_service(admitted.route, self._random)
        stream = _Stream()
        tried: set[TargetId] = set()
        failures: list[AttemptFailure] = []
        sent = 0
        while sent < admitted.route.max_attempts and self._admission.may_still_run(
            admitted
        ):
            target = self._router.choose(service, tried)
            if target is None:
                break
            tried.add(target.id)
            outcome = await self._attempt(admitted, target, stream, sink)
            if isinstance(outcome, StreamEnd):
                return outcome
            self._router.note_failure(target, outcome)
            failures.append(outcome)
            sent += not isinstance(outcome, Unreached)
            may_have_run = overall_verdict(failures) is not Verdict.NOT_RUN
            if may_have_run and not admitted.route.repeatable:
                break
        if stream.begun:
            return StreamEnd.CUT
        return _refusal(failures)

    async def _attempt(
        self, admitted: Admitted, target: Target, stream: _Stream, sink: StreamSink
    ) -> StreamEnd | AttemptFailure:
        request = admitted.request
        call = admitted.to_call(stream.last)
        began = self._clock.monotonic()
        seconds_left = admitted.deadline - began
        outcome: StreamEnd | AttemptFailure
        with self._router.sending(target) as facts:
            async with AsyncExitStack() as stack:
                reply = await open_within(
                    SILENT_SECONDS, stack, self._client, target, call, seconds_left
                )
                if isinstance(reply, AttemptFailure):
                    outcome = reply
                elif reply.status >= 300:
                    outcome = await self._pass_failure(reply, stream, sink)
                else:
                    outcome = await self._pass_events(admitted, reply, stream, sink)
            if outcome is StreamEnd.WHOLE:
                facts.succeeded(self._clock.monotonic() - began)
        logger.info(
            "stream attempt ended",
            request=request.id,
            target=target.id,
            address=target.address,
            incarnation=target.incarnation,
            resumed_after=call.resume_after,
            last_event=stream.last,
            outcome=str(outcome),
        )
        return outcome

    async def _pass_failure(
        self, reply: TargetReply, stream: _Stream, sink: StreamSink
    ) -> StreamEnd | AttemptFailure:
        body = await reply.read()
        if not isinstance(body, bytes):
            return body
        if stream.begun:
            return Broken(f"target answered {reply.status} to a resumption")
        stream.begun = True
        await sink.begin(reply.status, reply.headers)
        await sink.write(body)
        return StreamEnd.WHOLE

    async def _pass_events(
        self,
        admitted: Admitted,
        reply: TargetReply,
        stream: _Stream,
        sink: StreamSink,
    ) -> StreamEnd | AttemptFailure:
        events = reply.events()
        while True:
            event = await next_within(SILENT_SECONDS, events)
            if event is None:
                return StreamEnd.WHOLE
            if isinstance(event, Broken):
                return event
            if stream.last is not None and event.number != stream.last + 1:
                return Broken(f"event {event.number} follows event {stream.last}")
            if not stream.begun:
                stream.begun = True
                self._meter.count(
                    admitted.organisation, admitted.request.id, self._clock.wall()
                )
                await sink.begin(reply.status, reply.headers)
            stream.last = event.number
            await sink.write(event.raw)


def _refusal(failures: list[AttemptFailure]) -> Refusal:
    verdict = overall_verdict(failures)
    if verdict is Verdict.NOT_RUN:
        return Refusal(
            RefusalReason.CAPACITY,
            "no target has room",
            retry_after_seconds=RETRY_SECONDS,
        )
    return Refusal(RefusalReason.TARGET_FAILED, "the stream broke off", verdict)
