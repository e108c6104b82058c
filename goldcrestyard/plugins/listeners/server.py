"""HTTP listeners that can stop accepting while running requests finish."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.default_settings import MemorySettings
from goldcrestyard.plugins.listeners.connections import (
    CallerConnection,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.routes import Routes
from goldcrestyard.policy.memory import entry_body_bytes
from goldcrestyard.wire.client import PeerAddress

IDLE_CHECK_INTERVAL_SECONDS = 0.2
"""Interval between two checks for running requests.  A listener is idle after
two checks without one, because a request may still be in transit at the
first."""

ACCEPT_TURNS = 4
"""Turns of the event loop before a listening socket is closed.  In one of
them the loop accepts all connections that are waiting."""

SHUTDOWN_TIMEOUT_SECONDS = 2.0
"""How long a handler may take to end after its cancellation."""


DEFAULT_ROOM_BYTES = entry_body_bytes(MemorySettings().process_bytes)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listener:
    """Accepts connections on an address and reports when it is idle."""

    def __init__(
        self,
        runner: web.BaseRunner,
        limits: Callable[[], ConnectionLimits],
        room: ByteRoom | None = None,
    ) -> None:
        self._runner = runner
        self._limits = limits
        self._room = room or ByteRoom(DEFAULT_ROOM_BYTES)
        self._server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen on an address."""
        await self._runner.setup()
        manager = self._runner.server
        assert manager is not None
        parsed = PeerAddress.parse(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(manager, self._limits(), self._room),
            parsed.host,
            parsed.port,
            backlog=512,
        )

    @property
    def socket_address(self) -> tuple[str, int] | None:
        """Host and actual port of the open socket, or None if not open."""
        if self._server is None or not self._server.sockets:
            return None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Stop accepting connections; open ones stay.

        Callers may have connected and sent a request already when this
        process has not accepted their connection yet.  Closing the socket
        would reset these connections, so they are accepted first.
        """
        if self._server is None or not self._server.is_serving():
            return
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()

    async def wait_idle(self) -> None:
        """Wait until no connection has a running request."""
        idle_rounds = 0
        while idle_rounds < 2:
            idle_rounds = 0 if self._busy() else idle_rounds + 1
            await asyncio.sleep(IDLE_CHECK_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Close all connections; requests that still run are cancelled."""
        await self.close()
        await self._runner.cleanup()

    def _busy(self) -> bool:
        manager = self._runner.server
        return manager is not None and any(
            isinstance(connection, CallerConnection) and connection.busy
            for connection in manager.connections
        )


class HttpListener(Listener):
    """Serves routes on an address."""

    def __init__(
        self, routes: Routes, limits: ConnectionLimits, room: ByteRoom | None = None
    ) -> None:
        runner = web.AppRunner(
            routes.web_application,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            handler_cancellation=True,
        )
        super().__init__(runner, lambda: limits, room)


class HandlerListener(Listener):
    """Passes all requests to one handler, which does its own routing."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ConnectionLimits],
        room: ByteRoom | None = None,
    ) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            connection = request.protocol
            if isinstance(connection, CallerConnection) and not connection.begin(
                request
            ):
                raise ConnectionResetError(
                    "the request line and headers arrived after the time-out"
                )
            return await handler(request)

        server = web.Server(handle, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        super().__init__(runner, limits, room)
