"""Plug-in that opens the public and the admin HTTP listener."""

from aiohttp import web

from goldcrestyard.core.states import InstanceState
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import ConnectionPlaces
from goldcrestyard.kernel.default_settings import process_bytes
from goldcrestyard.plugins.listeners import checks
from goldcrestyard.plugins.listeners.bodies import BodyLimits, json_answer
from goldcrestyard.plugins.listeners.connections import ConnectionLimits
from goldcrestyard.plugins.listeners.places import places_for
from goldcrestyard.plugins.listeners.routes import AdminRoutes, PublicRoutes
from goldcrestyard.plugins.listeners.server import HttpListener
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.policy.memory import entry_body_bytes


class ListenersConfig(PluginConfig):
    """Provides the routes of both listeners, and opens and closes them."""

    name = "listeners"
    settings_section = "listeners"
    settings_class = ListenerSettings
    checks = (checks.check_addresses,)

    def __init__(self) -> None:
        self._admin: HttpListener | None = None
        self._public: HttpListener | None = None

    def ready(self, app: Application) -> None:
        """Create the routes of both listeners and add the health checks."""
        settings = app.settings.section(ListenerSettings)
        limits = BodyLimits(settings.max_body_bytes, settings.body_seconds)
        app.provide(PublicRoutes, PublicRoutes(limits))
        app.provide(ConnectionPlaces, places_for(app.settings))
        # Callers, trainers, targets and operators share it.
        capacity = entry_body_bytes(process_bytes(app.settings))
        app.provide(ByteRoom, ByteRoom(capacity))
        admin = app.provide(AdminRoutes, AdminRoutes(limits))

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
        limits = ConnectionLimits(
            settings.header_seconds, head_bytes=settings.max_head_bytes
        )
        room = app.get(ByteRoom)
        places = app.get(ConnectionPlaces)
        self._admin = HttpListener(app.get(AdminRoutes), limits, room, places)
        await self._admin.open(settings.admin)
        self._public = HttpListener(app.get(PublicRoutes), limits, room, places)
        await self._public.open(settings.public)

    async def leave(self, app: Application) -> None:
        """Stop accepting callers; the admin listener stays open."""
        if self._public is not None:
            await self._public.close()

    async def drain(self, app: Application) -> None:
        """Wait until the running requests of callers have ended."""
        if self._public is not None:
            await self._public.wait_idle()

    async def stop(self, app: Application) -> None:
        """Close the listeners."""
        for listener in (self._public, self._admin):
            if listener is not None:
                await listener.stop()
