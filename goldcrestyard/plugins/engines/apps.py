"""Plug-in that serves inference requests and sends them to engines."""

import aiohttp

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import EngineClient
from goldcrestyard.plugins.engines.views import InferenceViews
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.scheduling.scheduler import Scheduler

KEEPALIVE_TIMEOUT_SECONDS = 5.0
"""Idle connections are closed soon, since a firewall or proxy may drop a
connection that is idle for longer."""


class EnginesConfig(PluginConfig):
    """Serves the paths under ``/v1``."""

    name = "engines"
    requires = ("entry", "listeners", "organisations", "scheduling", "targets")
    settings_section = "engines"
    settings_class = EngineSettings

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, app: Application) -> None:
        """Open the HTTP session for engines and add the routes."""
        settings = app.settings.section(EngineSettings)
        connector = BoundedConnector(
            limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        client = app.provide(EngineClient, EngineClient(self._session, settings))
        view = app.get(EntryView)
        dispatcher = Dispatcher(
            client,
            app.get(Scheduler),
            app.get(Authenticator).organisation,
            app.clock,
            settings,
        )
        app.provide(Dispatcher, dispatcher)
        views = InferenceViews(view, app.get(Authenticator), dispatcher)
        routes = app.get(PublicRoutes)
        routes.add("GET", "/v1/models", views.models)
        routes.add("POST", "/v1/chat/completions", views.complete)
        routes.add("POST", "/v1/completions", views.complete)

    async def stop(self, app: Application) -> None:
        """Close the HTTP session for engines."""
        if self._session is not None:
            await self._session.close()
