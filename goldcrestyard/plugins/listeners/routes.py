"""The routes that plug-ins add to the two HTTP listeners."""

from aiohttp import hdrs, web

from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.bodies import BODY_LIMITS, BodyLimits
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import (
    RequestHandler,
    RequestObserver,
    bind_correlation_id,
    convert_errors,
    observer_middleware,
    track_request,
)


class Routes:
    """The routes of one listener."""

    def __init__(self, limits: BodyLimits) -> None:
        self.closing = False
        """Whether connections are closed after their current response."""
        self.observers: list[RequestObserver] = []
        self.web_application = web.Application(
            client_max_size=limits.max_bytes,
            middlewares=[
                track_request,
                bind_correlation_id,
                observer_middleware(self.observers),
                convert_errors,
            ],
        )
        self.web_application[BODY_LIMITS] = limits
        self.web_application.on_response_prepare.append(self._on_prepare)

    def add(self, method: str, path: str, handler: RequestHandler) -> None:
        """Add a route; method ``*`` matches any method."""
        self.web_application.router.add_route(
            method, path, handler, expect_handler=_handle_expect_header
        )

    async def _on_prepare(self, _: web.Request, response: web.StreamResponse) -> None:
        if self.closing:
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"


class PublicRoutes(Routes):
    """Routes for callers, trainers and targets."""


class AdminRoutes(Routes):
    """Routes for operators, health checks and metrics."""


async def _handle_expect_header(request: web.Request) -> web.StreamResponse | None:
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The interim response does not count as started, so that an error
        # response can still be sent.
        request.writer.output_size = 0
        return None
    return refuse(
        Refusal(
            RefusalReason.BAD_REQUEST,
            "unsupported Expect header; only 'expect: 100-continue' is supported",
        )
    )
