"""Plug-in: the HTTP endpoint from which metrics are collected."""

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from goldcrestyard.core.serving import CallerLimits
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import ConnectionPlaces
from goldcrestyard.platform.answers import UNKNOWN_PATH, refusal_response
from goldcrestyard.platform.names import METRICS_PATH, METRICS_PORT
from goldcrestyard.plugins.listeners.connections import ConnectionLimits
from goldcrestyard.plugins.listeners.server import HandlerListener
from goldcrestyard.plugins.peers.settings import ClusterSettings


class MetricsListenerConfig(PluginConfig):
    """Serves the metrics in the text format of Prometheus."""

    name = "platform_metrics"
    requires = ("memory", "observability")

    def __init__(self) -> None:
        self._listener: HandlerListener | None = None

    async def serve(self, app: Application) -> None:
        """Open the listener."""
        registry = app.get(FleetMetrics).registry

        async def scrape(request: web.BaseRequest) -> web.StreamResponse:
            if request.path != METRICS_PATH:
                return refusal_response(UNKNOWN_PATH)
            return web.Response(
                body=generate_latest(registry),
                headers={"content-type": CONTENT_TYPE_LATEST},
            )

        limits = CallerLimits()
        self._listener = HandlerListener(
            scrape,
            lambda: ConnectionLimits(limits.header_seconds, limits.idle_seconds),
            app.get(ByteRoom),
            app.get(ConnectionPlaces),
        )
        own = app.settings.section(ClusterSettings).peer_address
        await self._listener.open(f"{own.rpartition(':')[0]}:{METRICS_PORT}")

    async def stop(self, app: Application) -> None:
        """Close the listener."""
        if self._listener is not None:
            await self._listener.stop()
