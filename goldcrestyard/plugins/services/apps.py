"""Plug-in that forwards callers' requests to plain HTTP services."""

import aiohttp

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.claims.manager import ClaimManager
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.services.commands import (
    PutService,
    RemoveService,
    ServicesSnapshot,
)
from goldcrestyard.plugins.services.declarations import SERVICES
from goldcrestyard.plugins.services.dispatch import ServiceDispatcher
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.slices import ServicesSlice
from goldcrestyard.plugins.services.upstream import ServiceClient
from goldcrestyard.plugins.services.views import ServiceViews


class ServicesConfig(PluginConfig):
    """Serves the paths under ``/services``."""

    name = "services"
    requires = (
        "claims",
        "entry",
        "listeners",
        "organisations",
        "scheduling",
        "targets",
    )
    settings_section = "services"
    settings_class = ServiceSettings
    slices = (ServicesSlice,)
    messages = (*ServicesSlice.commands, ServicesSnapshot)
    declared_kinds = (SERVICES,)
    audited = {
        PutService: lambda command: f"service/{command.service.name}",
        RemoveService: lambda command: f"service/{command.name}",
    }

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, app: Application) -> None:
        """Open the HTTP session for targets and add the routes."""
        settings = app.settings.section(ServiceSettings)
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        view = app.get(EntryView)
        dispatcher = ServiceDispatcher(
            ServiceClient(self._session, settings),
            app.get(Scheduler),
            app.get(Authenticator).organisation,
            app.clock,
            settings,
        )
        views = ServiceViews(
            view,
            app.get(Authenticator),
            dispatcher,
            app.get(ClaimManager),
            settings,
            app.get(ByteRoom),
        )
        routes = app.get(PublicRoutes)
        routes.add("*", "/services/{service}", views.forward)
        routes.add("*", "/services/{service}/{path:.*}", views.forward)

    async def stop(self, app: Application) -> None:
        """Close the HTTP session for targets."""
        if self._session is not None:
            await self._session.close()
