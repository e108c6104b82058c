"""Plug-in: the inference front end."""

import aiohttp

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import EngineClient
from goldcrestyard.plugins.engines.views import InferenceViews
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.scheduling.scheduler import Scheduler

KEEPALIVE_SECONDS = 5.0
"""Idle connections are closed soon, since one that was idle for long may
have been dropped by something on the way."""


class EnginesConfig(PluginConfig):
    """Serves ``/v1``."""

    name = "engines"
    requires = ("entry", "listeners", "organisations", "scheduling", "targets")
    settings_section = "engines"
    settings_class = EngineSettings

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, app: Application) -> None:
        """Open the client session and add the routes."""
        settings = app.settings.section(EngineSettings)
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
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
        """Close the client session."""
        if self._session is not None:
            await self._session.close()
