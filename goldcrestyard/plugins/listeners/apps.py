"""Plug-in: the HTTP listeners."""

from aiohttp import web

from goldcrestyard.core.states import InstanceState
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.plugins.listeners import checks
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.listeners.routes import AdminRoutes, PublicRoutes, Routes
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.wire.client import PeerAddress

SHUTDOWN_SECONDS = 5.0


class ListenersConfig(PluginConfig):
    """Provides the routes and opens the listeners."""

    name = "listeners"
    settings_section = "listeners"
    settings_class = ListenerSettings
    checks = (checks.check_addresses,)

    def __init__(self) -> None:
        self._runners: list[web.AppRunner] = []
        self._public_site: web.TCPSite | None = None
        self._public_runner: web.AppRunner | None = None

    def ready(self, app: Application) -> None:
        """Create the routes, with those for health checks."""
        limit = app.settings.section(ListenerSettings).max_body_bytes
        app.provide(PublicRoutes, PublicRoutes(limit))
        admin = app.provide(AdminRoutes, AdminRoutes(limit))

        async def healthz(_: web.Request) -> web.StreamResponse:
            return json_answer({"state": app.state.value})

        async def readyz(_: web.Request) -> web.StreamResponse:
            ready = app.state is InstanceState.READY
            return json_answer({"state": app.state.value}, 200 if ready else 503)

        for routes in (app.get(PublicRoutes), admin):
            routes.add("GET", "/healthz", healthz)
            routes.add("GET", "/readyz", readyz)

    async def serve(self, app: Application) -> None:
        """Open both listeners."""
        settings = app.settings.section(ListenerSettings)
        drain_seconds = app.settings.section(InstanceSettings).drain_seconds
        await self._open(app.get(AdminRoutes), settings.admin, SHUTDOWN_SECONDS)
        await self._open(app.get(PublicRoutes), settings.public, drain_seconds)

    async def stop(self, app: Application) -> None:
        """Close the listeners."""
        for runner in self._runners:
            await runner.cleanup()

    async def _open(
        self, routes: Routes, address: str, shutdown_seconds: float
    ) -> None:
        runner = web.AppRunner(
            routes.web_application,
            access_log=None,
            shutdown_timeout=shutdown_seconds,
            handler_cancellation=True,
        )
        self._runners.append(runner)
        await runner.setup()
        parsed = PeerAddress.parse(address)
        await web.TCPSite(runner, parsed.host, parsed.port).start()
