"""An HTTP listener that can stop listening while its requests go on."""

import asyncio

from aiohttp import web

from goldcrestyard.plugins.listeners.connections import (
    CallerConnection,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.routes import Routes
from goldcrestyard.wire.client import PeerAddress

SETTLE_SECONDS = 0.2
"""Bytes of a request may be on their way while no request is being handled;
only after this long without one are the connections closed."""

FORCED_SECONDS = 2.0
"""How long a handler that is cut off may take to end."""


class HttpListener:
    """Serves routes on an address."""

    def __init__(self, routes: Routes, limits: ConnectionLimits) -> None:
        self._routes = routes
        self._limits = limits
        self._runner = web.AppRunner(
            routes.web_application,
            access_log=None,
            shutdown_timeout=FORCED_SECONDS,
            handler_cancellation=True,
        )
        self._server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen on an address."""
        await self._runner.setup()
        manager = self._runner.server
        assert manager is not None
        parsed = PeerAddress.parse(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(manager, self._limits),
            parsed.host,
            parsed.port,
            backlog=512,
        )

    def close(self) -> None:
        """Accept no further connection; those that are open go on."""
        if self._server is not None:
            self._server.close()

    async def wait_idle(self) -> None:
        """Wait until no connection has a request."""
        idle_rounds = 0
        while idle_rounds < 2:
            idle_rounds = 0 if self._busy() else idle_rounds + 1
            await asyncio.sleep(SETTLE_SECONDS)

    async def stop(self) -> None:
        """Close the connections; requests that still run are cut off."""
        self.close()
        await self._runner.cleanup()

    def _busy(self) -> bool:
        manager = self._runner.server
        return manager is not None and any(
            isinstance(connection, CallerConnection) and connection.busy
            for connection in manager.connections
        )
