"""The routes that plug-ins add to the two HTTP listeners."""

from aiohttp import web

from goldcrestyard.plugins.listeners.middleware import (
    RequestHandler,
    RequestObserver,
    answer_errors,
    correlate,
    observing,
)


class Routes:
    """The routes of one listener."""

    def __init__(self, max_body_bytes: int) -> None:
        self.observers: list[RequestObserver] = []
        self.web_application = web.Application(
            client_max_size=max_body_bytes,
            middlewares=[correlate, observing(self.observers), answer_errors],
        )

    def add(self, method: str, path: str, handler: RequestHandler) -> None:
        """Serve a path with a handler; method ``*`` stands for any."""
        self.web_application.router.add_route(method, path, handler)


class PublicRoutes(Routes):
    """Routes for callers, trainers and targets."""


class AdminRoutes(Routes):
    """Routes for operators, health checks and metrics."""
