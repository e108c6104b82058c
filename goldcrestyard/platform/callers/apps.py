"""Plug-in: the front end for callers and trainers, and the readiness check."""

import asyncio
from http import HTTPStatus

from aiohttp import web

from goldcrestyard.core.serving import CallerLimits
from goldcrestyard.core.states import InstanceState
from goldcrestyard.fleet.gateway.admission import Admission
from goldcrestyard.fleet.gateway.calls import CallRunner
from goldcrestyard.fleet.gateway.streams import StreamRunner
from goldcrestyard.fleet.jobs.residency import JobHomes
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.settings import TrackingSettings
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import ConnectionPlaces
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.platform.callers.front import CallerFront
from goldcrestyard.platform.callers.jobs import JobEndpoints
from goldcrestyard.platform.listening import ListeningSettings
from goldcrestyard.platform.names import READY_PATH
from goldcrestyard.plugins.listeners.connections import (
    MAX_REQUEST_LINE_BYTES,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.server import HandlerListener

NEW_CONNECTIONS_TIME_SHARE = 0.8
"""Share of the drain time during which new connections are still accepted.
Some callers cache an address for three times the stated time."""

LAST_ANSWER_SECONDS = 0.4
"""Time in seconds before the end of the drain at which the last requests are
answered, so that their callers receive the answers."""


class CallersConfig(PluginConfig):
    """Serves callers and trainers on an entry."""

    name = "platform_callers"
    requires = ("entry", "gateway", "jobs", "directory", "memory", "observability")

    def __init__(self) -> None:
        self._front: CallerFront | None = None
        self._callers: HandlerListener | None = None
        self._ready: HandlerListener | None = None

    def ready(self, app: Application) -> None:
        """Create the front end."""
        admission = app.get(Admission)
        serving = app.get(EntryView).machine.get(ServingSlice)

        def limits() -> CallerLimits:
            table = serving.table
            return table.config.limits if table is not None else CallerLimits()

        def connection_limits() -> ConnectionLimits:
            now = limits()
            return ConnectionLimits(
                now.header_seconds,
                now.idle_seconds,
                now.header_bytes,
                now.header_bytes + MAX_REQUEST_LINE_BYTES,
            )

        self._front = CallerFront(
            admission,
            app.get(CallRunner),
            app.get(StreamRunner),
            JobEndpoints(
                admission,
                app.get(LeaderLink),
                # Entries do not know where the control members are.
                JobHomes(serving, app.settings.section(TrackingSettings).regions),
            ),
            limits,
            app.get(FleetMetrics),
            app.clock,
        )
        room = app.get(ByteRoom)
        places = app.get(ConnectionPlaces)
        self._callers = HandlerListener(
            self._front.handle, connection_limits, room, places
        )

        async def readiness(request: web.BaseRequest) -> web.StreamResponse:
            ready = (
                request.path == READY_PATH
                and app.state is InstanceState.READY
                and serving.table is not None
                and app.get(EntryView).holds_lease()
            )
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            return web.Response(status=status)

        self._ready = HandlerListener(readiness, connection_limits, room, places)

    async def serve(self, app: Application) -> None:
        """Open the listeners for callers and for the readiness check."""
        addresses = app.settings.section(ListeningSettings).addresses_by_name
        assert self._callers is not None
        assert self._ready is not None
        await self._callers.open(addresses["front"])
        await self._ready.open(addresses["ready"])

    async def leave(self, app: Application) -> None:
        """Close each connection after its answer; callers then reconnect."""
        assert self._front is not None
        seconds = app.settings.section(InstanceSettings).drain_seconds
        self._front.begin_stop(app.clock.monotonic() + seconds - LAST_ANSWER_SECONDS)

    async def drain(self, app: Application) -> None:
        """Stop accepting connections after a while, then finish requests."""
        assert self._callers is not None
        seconds = app.settings.section(InstanceSettings).drain_seconds
        await asyncio.sleep(seconds * NEW_CONNECTIONS_TIME_SHARE)
        await self._callers.close()
        await self._callers.wait_idle()

    async def stop(self, app: Application) -> None:
        """Close the listeners."""
        for listener in (self._callers, self._ready):
            if listener is not None:
                await listener.stop()
