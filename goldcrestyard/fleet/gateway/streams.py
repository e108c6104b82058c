"""Streamed answers: relay of a target's events to the caller.

A stream that breaks off is resumed after its last event at another target
with the software version that wrote its first event, if its route allows;
otherwise the caller can see that it is incomplete.
"""

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import structlog

from goldcrestyard.core.attempts import AttemptFailure, Broken, Unreached, Withheld
from goldcrestyard.core.calls import (
    Headers,
    TargetClient,
    TargetReply,
    request_digest,
)
from goldcrestyard.core.ids import EventNumber, ServiceName, SoftwareVersion, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.crashes.guard import RequestGuard, WatchedRequest
from goldcrestyard.fleet.gateway.admission import (
    NO_TARGET_AT_HOME,
    RETRY_AFTER_SECONDS,
    Admission,
    AdmittedRequest,
    return_after,
)
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.reply_timeouts import next_event_within, open_reply_within
from goldcrestyard.fleet.resumption.entry_side import StreamOrigins
from goldcrestyard.fleet.versions.recorded_runs import RecordedRuns, RunFault
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.retries import overall_verdict
from goldcrestyard.policy.splits import pick_service
from goldcrestyard.policy.stream_origins import (
    KnownOrigin,
    OnlyVersion,
    OriginDecision,
    StreamOrigin,
    TakeUp,
    UnknownOrigin,
)

logger = structlog.get_logger(__name__)

SILENCE_TIMEOUT_SECONDS = 2.0
"""Time in seconds without an event after which a stream is resumed at another
target.  The time-out of callers is about the same."""

SILENCE_OBJECTIVES = 4.0
"""The time without an event is at least this multiple of the objective, since
callers wait as long."""


CANNOT_GO_ON = Refusal(
    RefusalReason.UNKNOWN_ORIGIN,
    "it is not known what began this stream, so it cannot go on",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)
"""The same for all causes, so that it tells nothing of another organisation's
streams."""


class StreamSink(Protocol):
    """The caller's connection, to which a stream is written."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""


class StreamEnd(Enum):
    """Result of a stream whose head was sent to the caller."""

    WHOLE = "whole"
    CUT = "cut"
    """Incomplete; the front end must make this visible to the caller."""


@dataclass(slots=True)
class _StreamState:
    """State of one caller's stream over all its attempts."""

    head_sent: bool = False
    last_event: EventNumber | None = None
    """Number of the last event sent to the caller."""
    origin: StreamOrigin | None = None
    """What wrote the first event that the caller has."""
    relayed: bool = False
    """Whether an event was sent to the caller in this answer."""


class StreamRunner:
    """Relays streams, resuming them at other targets where allowed."""

    def __init__(
        self,
        admission: Admission,
        router: CallRouter,
        client: TargetClient,
        guard: RequestGuard,
        meter: UsageMeter,
        clock: Clock,
        random_source: random.Random | None = None,
        origins: StreamOrigins | None = None,
        recorded_runs: RecordedRuns | None = None,
    ) -> None:
        """Create a runner; without ``origins`` no stream can be taken up.

        Without ``recorded_runs`` the recorded run of a target counts.
        """
        self._admission = admission
        self._router = router
        self._client = client
        self._guard = guard
        self._meter = meter
        self._clock = clock
        self._random = random_source or random.Random()
        self._origins = origins
        self._recorded_runs = recorded_runs

    async def run(
        self, admitted: AdmittedRequest, sink: StreamSink
    ) -> StreamEnd | Refusal:
        """Write the stream to the sink; refuse it only if no head was sent."""
        watched = self._guard.watch(admitted.to_call())
        rejected = watched.refusal()
        if rejected is not None:
            return rejected
        stream = _StreamState()
        take_up = admitted.request.takes_up
        if take_up is not None:
            match await self._find_origin(admitted, take_up):
                case KnownOrigin(origin=origin) | OnlyVersion(origin=origin):
                    stream = _StreamState(last_event=take_up.after, origin=origin)
                case UnknownOrigin():
                    return CANNOT_GO_ON
        return await self._relay(admitted, stream, watched, sink)

    async def _relay(
        self,
        admitted: AdmittedRequest,
        stream: _StreamState,
        watched: WatchedRequest,
        sink: StreamSink,
    ) -> StreamEnd | Refusal:
        """Attempt a stream at one target after another."""
        service = (
            pick_service(admitted.route, self._random)
            if stream.origin is None
            else stream.origin.service
        )
        tried: set[TargetId] = set()
        failures: list[AttemptFailure] = []
        sent = 0
        at_home = True
        while (
            sent < admitted.route.max_attempts
            and watched.refusal() is None
            and self._admission.is_still_authorised(admitted)
        ):
            regions = self._admission.allowed_regions(admitted)
            target = self._router.choose(
                service,
                tried,
                ask_full=stream.origin is not None
                or overall_verdict(failures) is not Verdict.NOT_RUN,
                origin=stream.origin,
                regions=regions,
            )
            if target is None:
                at_home = regions is None or self._router.any_ready(service, regions)
                break
            tried.add(target.id)
            fault = await self._find_run_fault(stream, target)
            if fault is not None:
                failures.append(Unreached(fault.detail))
                continue
            may_repeat = (
                admitted.route.repeatable and sent + 1 < admitted.route.max_attempts
            )
            origin = StreamOrigin(service, target.software)
            outcome = await self._attempt(
                admitted, target, origin, stream, sink, tried if may_repeat else None
            )
            if isinstance(outcome, StreamEnd):
                if stream.relayed:
                    watched.note_answer()
                return outcome
            if isinstance(outcome, Broken):
                await watched.note_broken(target)
            self._router.note_failure(target, outcome)
            failures.append(outcome)
            sent += not isinstance(outcome, Unreached | Withheld)
            may_have_run = overall_verdict(failures) is not Verdict.NOT_RUN
            if may_have_run and not admitted.route.repeatable:
                break
            if stream.origin is not None and self._router.software_changed(target):
                # The caller must not take the stream up at the noted version.
                self._note_origin(admitted, target, stream.origin)
                break
        if stream.head_sent:
            return StreamEnd.CUT
        if not at_home and overall_verdict(failures) is Verdict.NOT_RUN:
            return NO_TARGET_AT_HOME
        now = self._clock.monotonic()
        return _refusal(failures, return_after(self._router, admitted, service, now))

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        target: Target,
        origin: StreamOrigin,
        stream: _StreamState,
        sink: StreamSink,
        tried: set[TargetId] | None,
    ) -> StreamEnd | AttemptFailure:
        request = admitted.request
        call = admitted.to_call(stream.last_event)
        began = self._clock.monotonic()
        seconds_left = admitted.deadline - began
        silence_seconds = self._silence_seconds(
            admitted, origin.service, tried, stream.origin
        )
        outcome: StreamEnd | AttemptFailure
        with self._router.call_in_flight(target) as statistics:
            async with AsyncExitStack() as stack:
                reply = await open_reply_within(
                    seconds_left if silence_seconds is None else silence_seconds,
                    stack,
                    self._client,
                    target,
                    call,
                    seconds_left,
                )
                if isinstance(reply, AttemptFailure):
                    outcome = reply
                elif reply.status != HTTPStatus.OK:
                    outcome = await self._relay_error(reply, stream, sink)
                else:
                    outcome = await self._relay_events(
                        admitted,
                        reply,
                        target,
                        origin,
                        stream,
                        sink,
                        silence_seconds,
                        tried,
                    )
            if outcome is StreamEnd.WHOLE:
                now = self._clock.monotonic()
                statistics.record_success(now - began, now)
        logger.info(
            "stream attempt ended",
            request=request.id,
            target=target.id,
            address=target.address,
            incarnation=target.incarnation,
            resumed_after=call.resume_after,
            last_event=stream.last_event,
            outcome=str(outcome),
            digest=(
                request_digest(call).hex()
                if isinstance(outcome, AttemptFailure)
                else None
            ),
        )
        return outcome

    async def _relay_error(
        self, reply: TargetReply, stream: _StreamState, sink: StreamSink
    ) -> StreamEnd | AttemptFailure:
        body = await reply.read()
        if not isinstance(body, bytes):
            return body
        if stream.head_sent:
            return Broken(f"target answered {reply.status} to a resumed request")
        stream.head_sent = True
        await sink.begin(reply.status, reply.headers)
        await sink.write(body)
        return StreamEnd.WHOLE

    async def _relay_events(
        self,
        admitted: AdmittedRequest,
        reply: TargetReply,
        target: Target,
        origin: StreamOrigin,
        stream: _StreamState,
        sink: StreamSink,
        silence_seconds: float | None,
        tried: set[TargetId] | None,
    ) -> StreamEnd | AttemptFailure:
        """Relay events until the end or a silence."""
        events = reply.events()
        while True:
            seconds_left = admitted.deadline - self._clock.monotonic()
            event = await next_event_within(
                seconds_left if silence_seconds is None else silence_seconds, events
            )
            if event is None:
                if not stream.head_sent:
                    stream.head_sent = True
                    await sink.begin(reply.status, reply.headers)
                return StreamEnd.WHOLE
            if isinstance(event, Broken):
                return event
            if stream.last_event is not None and event.number != stream.last_event + 1:
                return Broken(f"event {event.number} follows event {stream.last_event}")
            if not stream.head_sent:
                stream.head_sent = True
                self._meter.count(
                    admitted.organisation, admitted.request.id, self._clock.wall()
                )
                await sink.begin(reply.status, reply.headers)
            stream.last_event = event.number
            begins = stream.origin is None
            if stream.origin is None:
                stream.origin = origin
            try:
                await sink.write(event.raw)
            finally:
                # A caller may have the event though its connection has failed.
                if not stream.relayed:
                    stream.relayed = True
                    self._note_origin(admitted, target, stream.origin)
            if begins:
                silence_seconds = self._silence_seconds(
                    admitted, origin.service, tried, stream.origin
                )

    async def _find_run_fault(
        self, stream: _StreamState, target: Target
    ) -> RunFault | None:
        """Return why a stream may not go on at a target, or None if it may."""
        if stream.origin is None or self._recorded_runs is None:
            return None
        fault = await self._recorded_runs.find_fault(target)
        if fault is not None:
            logger.info(
                "stream does not go on at a target",
                target=target.id,
                incarnation=target.incarnation,
                reason=fault.detail,
            )
        return fault

    async def _find_origin(
        self, admitted: AdmittedRequest, take_up: TakeUp
    ) -> OriginDecision:
        if self._origins is None:
            return UnknownOrigin()
        return await self._origins.find(
            admitted.route, admitted.stream_owner, admitted.request.id, take_up
        )

    def _note_origin(
        self, admitted: AdmittedRequest, target: Target, origin: StreamOrigin
    ) -> None:
        """Record the origin once an event has been sent to the caller.

        If the target has started again meanwhile with other software, either
        run may have written the event.
        """
        if self._origins is None or not admitted.route.resumable:
            return
        if self._router.software_changed(target):
            origin = StreamOrigin(origin.service, SoftwareVersion(""))
        self._origins.note(
            admitted.route,
            admitted.stream_owner,
            admitted.request.first_attempt,
            origin,
        )

    def _silence_seconds(
        self,
        admitted: AdmittedRequest,
        service: ServiceName,
        tried: set[TargetId] | None,
        origin: StreamOrigin | None,
    ) -> float | None:
        """Return the longest silence; None if no other target can go on.

        A slow stream is better than none: it may be silent until the deadline.
        ``tried`` is None if no other target may be tried.
        """
        if tried is None:
            return None
        regions = self._admission.allowed_regions(admitted)
        other = self._router.choose(
            service, tried, ask_full=True, origin=origin, regions=regions
        )
        if other is None:
            return None
        objective = admitted.route.objective_seconds or 0.0
        return max(SILENCE_TIMEOUT_SECONDS, SILENCE_OBJECTIVES * objective)


def _refusal(failures: list[AttemptFailure], retry_after_seconds: float) -> Refusal:
    verdict = overall_verdict(failures)
    if verdict is Verdict.NOT_RUN:
        return Refusal(
            RefusalReason.CAPACITY,
            "no target could take the stream",
            retry_after_seconds=retry_after_seconds,
        )
    return Refusal(
        RefusalReason.TARGET_FAILED,
        "the stream broke off before its first event",
        verdict,
    )
