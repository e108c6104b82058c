"""HTTP middleware: correlation ids, request observers and error responses."""

import asyncio
import logging
import re
import uuid
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import structlog
from aiohttp import web
from aiohttp.typedefs import Middleware

from goldcrestyard.core.headers import CORRELATION_HEADER
from goldcrestyard.core.ids import CorrelationId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.listeners.connections import CallerConnection
from goldcrestyard.plugins.listeners.errors import VERDICT_HEADER, refuse

logger = structlog.get_logger(__name__)

CORRELATION_KEY = web.RequestKey("correlation_id", CorrelationId)

_VALID_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def correlation_id_of(request: web.Request) -> CorrelationId:
    """Return the correlation id of a request."""
    return request[CORRELATION_KEY]


def validated_id(text: str | None) -> str | None:
    """Return a caller's id if it is safe to log and forward, else None."""
    if text is not None and _VALID_ID.fullmatch(text):
        return text
    return None


@web.middleware
async def track_request(
    request: web.Request, handler: RequestHandler
) -> web.StreamResponse:
    """Mark the connection as active while a request is handled."""
    connection = request.protocol
    if isinstance(connection, CallerConnection) and not connection.begin(request):
        raise ConnectionResetError("the request was refused before it ran")
    return await handler(request)


@web.middleware
async def bind_correlation_id(
    request: web.Request, handler: RequestHandler
) -> web.StreamResponse:
    """Add a correlation id to the request, its log lines and response."""
    sent = validated_id(request.headers.get(CORRELATION_HEADER))
    correlation_id = CorrelationId(sent or uuid.uuid4().hex)
    request[CORRELATION_KEY] = correlation_id
    with structlog.contextvars.bound_contextvars(correlation_id=correlation_id):
        response = await handler(request)
    if not response.prepared:
        response.headers[CORRELATION_HEADER] = correlation_id
    return response


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A completed request; ``route`` is the pattern of its path."""

    route: str
    status: int
    verdict: str
    seconds: float


RequestObserver = Callable[[ServedRequest], None]


def observer_middleware(observers: Sequence[RequestObserver]) -> Middleware:
    """Return middleware that logs each request and calls observers."""

    @web.middleware
    async def observe(
        request: web.Request, handler: RequestHandler
    ) -> web.StreamResponse:
        clock = asyncio.get_running_loop().time
        started_at = clock()
        response = await handler(request)
        resource = request.match_info.route.resource
        served = ServedRequest(
            resource.canonical if resource is not None else "",
            response.status,
            response.headers.get(VERDICT_HEADER, "none"),
            clock() - started_at,
        )
        level = logging.INFO if response.status >= 400 else logging.DEBUG
        logger.log(
            level,
            "request answered",
            route=served.route,
            status=served.status,
            verdict=served.verdict,
            seconds=round(served.seconds, 3),
        )
        for observer in observers:
            observer(served)
        return response

    return observe


@web.middleware
async def convert_errors(
    request: web.Request, handler: RequestHandler
) -> web.StreamResponse:
    """Convert exceptions of handlers to error responses."""
    try:
        return await handler(request)
    except web.HTTPNotFound:
        return refuse(
            Refusal(RefusalReason.NOT_FOUND, f"no route for path {request.path}")
        )
    except web.HTTPMethodNotAllowed as error:
        allowed = ", ".join(sorted(error.allowed_methods))
        response = refuse(
            Refusal(
                RefusalReason.BAD_REQUEST,
                f"{request.path} accepts only the methods {allowed}",
            )
        )
        response.set_status(error.status)
        response.headers["allow"] = allowed
        return response
    except web.HTTPException as error:
        reason = RefusalReason.BAD_REQUEST
        return refuse(Refusal(reason, f"{error.status} {error.reason}"))
    except Exception:
        logger.exception("request handler raised an exception", path=request.path)
        if request.writer.output_size > 0:
            # The response has started, so its status can no longer change.
            # Closing the connection shows the caller that it is incomplete.
            raise
        return refuse(
            Refusal(
                RefusalReason.UNKNOWN_OUTCOME,
                "internal error; give the correlation id of this response to the "
                "operators, who find the details in the log",
                Verdict.MAY_HAVE_RUN,
            )
        )
