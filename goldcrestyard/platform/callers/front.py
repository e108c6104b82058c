"""The HTTP front end for callers.

It decodes requests, passes them to the gateway, and encodes the answers.
"""

import math
from collections.abc import Callable

import structlog
from aiohttp import hdrs, web
from multidict import CIMultiDict

from goldcrestyard.core.calls import Headers
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import CallerLimits, RouteKind, ServingRoute
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import (
    Admission,
    AdmittedRequest,
    CallerRequest,
)
from goldcrestyard.fleet.gateway.calls import CallAnswer, CallRunner
from goldcrestyard.fleet.gateway.streams import StreamEnd, StreamRunner
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.http_client import MAX_UNCOUNTED_ANSWER_BYTES
from goldcrestyard.platform.answers import refusal_response, target_response
from goldcrestyard.platform.bodies import read_body
from goldcrestyard.platform.callers import requests
from goldcrestyard.platform.callers.jobs import (
    COMMIT_TIMEOUT_SECONDS,
    JobEndpoints,
    submission_seconds,
)
from goldcrestyard.platform.names import ITEM_PATH, RESULTS_PATH
from goldcrestyard.plugins.listeners.bodies import NO_ROOM
from goldcrestyard.plugins.listeners.connections import lease_of
from goldcrestyard.policy.planned_stop import can_end_in_time

logger = structlog.get_logger(__name__)

JOB_REQUEST_SECONDS = COMMIT_TIMEOUT_SECONDS
"""Longest time in seconds until a trainer's request for a job is answered."""

STOPPING = Refusal(
    RefusalReason.DRAINING,
    "this process stops before the request could end; another can take it",
    retry_after_seconds=0.0,
)


class CallerFront:
    """Serves callers' requests; passes those of trainers to the endpoints."""

    def __init__(
        self,
        admission: Admission,
        calls: CallRunner,
        streams: StreamRunner,
        jobs: JobEndpoints,
        limits: Callable[[], CallerLimits],
        metrics: FleetMetrics,
        clock: Clock,
    ) -> None:
        self._admission = admission
        self._calls = calls
        self._streams = streams
        self._jobs = jobs
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self.closing = False
        """Whether to close connections after each answer, before a stop."""
        self._ends_at = math.inf

    def begin_stop(self, ends_at: float) -> None:
        """Close each connection after its answer, and give all by a time.

        ``ends_at`` is a monotonic time in seconds.
        """
        self.closing = True
        self._ends_at = ends_at
        self._calls.end_by(ends_at)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request on the callers' listener."""
        response = await self._answer(request)
        if isinstance(response, web.Response) and isinstance(response.body, bytes):
            # It takes memory in place of the request until it has been read.
            lease = lease_of(request)
            lease.release()
            lease.add(len(response.body))
        if self.closing and not response.prepared:
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = self._clock.monotonic()
        limits = self._limits()
        body = await read_body(request, limits.body_bytes, limits.idle_seconds)
        if isinstance(body, Refusal):
            return refusal_response(body)
        await self._admission.wait_until_synchronized(requests.seconds_left(request))
        path = requests.path_of(request)
        if path.startswith((RESULTS_PATH, ITEM_PATH)) and not self._can_end(
            JOB_REQUEST_SECONDS, None, repeatable_call=False
        ):
            return refusal_response(STOPPING)
        if path.startswith(RESULTS_PATH):
            return await self._jobs.results(request)
        if path.startswith(ITEM_PATH):
            return await self._jobs.item(request)
        route = self._admission.find_route(requests.host_of(request), path)
        if isinstance(route, ServingRoute) and route.kind is RouteKind.ROLLOUT:
            seconds = submission_seconds(len(body))
            if not self._can_end(seconds, None, repeatable_call=False):
                return refusal_response(STOPPING)
            return await self._jobs.submit(request, body)
        return await self._answer_call(request, body, arrived_at)

    async def _answer_call(
        self, request: web.BaseRequest, body: bytes, arrived_at: float
    ) -> web.StreamResponse:
        """Answer a request on a route that is not one of trainers."""
        if not lease_of(request).grow(MAX_UNCOUNTED_ANSWER_BYTES):
            return refusal_response(NO_ROOM)
        decoded = requests.decode(request, body)
        if isinstance(decoded, Refusal):
            return refusal_response(decoded)
        admitted = self._admission.admit(decoded, arrived_at)
        if isinstance(admitted, AdmittedRequest) and not self._can_end(
            admitted.deadline - arrived_at,
            admitted.route.objective_seconds,
            repeatable_call=admitted.route.kind is RouteKind.IDEMPOTENT,
        ):
            admitted = STOPPING
        if isinstance(admitted, Refusal):
            self._record_answer(decoded, None, admitted, arrived_at)
            return refusal_response(admitted)
        if admitted.route.kind is RouteKind.STREAMING:
            sink = _ResponseSink(request, closing=self.closing)
            end = await self._streams.run(admitted, sink)
            self._record_answer(decoded, admitted.route, end, arrived_at)
            if isinstance(end, Refusal):
                return refusal_response(end)
            return await sink.finish(end)
        answer = await self._calls.answer(admitted)
        self._record_answer(decoded, admitted.route, answer, arrived_at)
        if isinstance(answer, Refusal):
            return refusal_response(answer)
        return target_response(answer)

    def _can_end(
        self,
        time_limit_seconds: float,
        objective_seconds: float | None,
        *,
        repeatable_call: bool,
    ) -> bool:
        return can_end_in_time(
            self._ends_at - self._clock.monotonic(),
            time_limit_seconds,
            objective_seconds,
            repeatable_call=repeatable_call,
        )

    def _record_answer(
        self,
        request: CallerRequest,
        route: ServingRoute | None,
        outcome: CallAnswer | StreamEnd | Refusal,
        arrived_at: float,
    ) -> None:
        """Log the outcome of a request and update the metrics."""
        verdict = Verdict.RAN
        match outcome:
            case Refusal(reason=reason, detail=detail):
                verdict = outcome.verdict
                kind, described = reason.value, f"{reason.value}: {detail}"
            case StreamEnd():
                kind = described = outcome.value
            case CallAnswer(status=status):
                kind, described = "answered", f"answered {status}"
        seconds = self._clock.monotonic() - arrived_at
        route_kind = route.kind.value if route is not None else "none"
        self._metrics.answers.labels(route_kind, kind, verdict.value).inc()
        self._metrics.answer_seconds.labels(route_kind).observe(seconds)
        logger.info(
            "caller answered",
            request=request.id,
            route=route.name if route is not None else None,
            outcome=described,
            verdict=verdict.value,
            seconds=round(seconds, 4),
        )


class _ResponseSink:
    """Forwards a target's stream to the caller as it arrives."""

    def __init__(self, request: web.BaseRequest, *, closing: bool) -> None:
        self._request = request
        self._closing = closing
        self._response: web.StreamResponse | None = None

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if self._closing:
            response.force_close()
        response.enable_chunked_encoding()
        await response.prepare(self._request)
        self._response = response

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self._response is not None
        await self._response.write(data)
        # The next event is read once the operating system has taken this one.
        await self._request.writer.drain()

    async def finish(self, end: StreamEnd) -> web.StreamResponse:
        """End the answer; abort the connection if the stream is incomplete.

        The caller detects an incomplete answer by its missing end.
        """
        assert self._response is not None
        if end is StreamEnd.CUT:
            transport = self._request.transport
            if transport is not None:
                transport.abort()
            raise ConnectionResetError("the stream was cut off")
        await self._response.write_eof()
        return self._response
