"""HTTP listeners that can stop accepting while running requests finish."""

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import (
    ConnectionPlaces,
    Place,
    open_files_limit,
)
from goldcrestyard.kernel.default_settings import MemorySettings
from goldcrestyard.plugins.listeners.connections import (
    CallerConnection,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.gates import READ_BYTES, HeadGate
from goldcrestyard.plugins.listeners.routes import Routes
from goldcrestyard.policy.connections import max_connections
from goldcrestyard.policy.memory import entry_body_bytes
from goldcrestyard.wire.client import PeerAddress

IDLE_CHECK_INTERVAL_SECONDS = 0.2
"""Interval between two checks for running requests.  A listener is idle after
two checks without one, because a request may still be in transit at the
first."""

BACKLOG = 512
"""Connections that may wait in the operating system."""

ACCEPTED_PER_TURN = 64
"""Most connections that a listener accepts in one turn of the event loop, so
that those which are accepted and then refused stay within the descriptors."""

ACCEPT_TURNS = BACKLOG // ACCEPTED_PER_TURN + 4
"""Turns of the event loop before a listening socket is closed.  In them the
loop accepts all connections that are waiting."""

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
        places: ConnectionPlaces | None = None,
    ) -> None:
        self._runner = runner
        self._limits = limits
        self._room = room or ByteRoom(DEFAULT_ROOM_BYTES)
        default = max_connections(MemorySettings().process_bytes, open_files_limit())
        self._places = (places or ConnectionPlaces(default)).listener()
        self._gates: dict[HeadGate, float] = {}
        """Connections whose first head is incomplete, with the time in seconds
        at which each was accepted."""
        self._server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen on an address."""
        await self._runner.setup()
        manager = self._runner.server
        assert manager is not None
        parsed = PeerAddress.parse(address)
        buffer = bytearray(READ_BYTES)
        limits = self._limits

        def gate() -> HeadGate:
            now = limits()

            def upgrade(
                transport: asyncio.Transport, data: bytes, place: Place
            ) -> None:
                connection = CallerConnection(manager, now, self._room, place)
                transport.set_protocol(connection)
                connection.connection_made(transport)
                connection.data_received(data)

            return HeadGate(now, self._room, self._places, buffer, self._gates, upgrade)

        # The event loop accepts as many connections in a turn as its backlog
        # says; that of the operating system is set apart.
        self._server = await asyncio.get_running_loop().create_server(
            gate, parsed.host, parsed.port, backlog=ACCEPTED_PER_TURN
        )
        for listening in self._server.sockets:
            with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
                duplicate.listen(BACKLOG)

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
        for gate in tuple(self._gates):
            gate.close()
        await self._runner.cleanup()
        self._places.close()

    def _busy(self) -> bool:
        manager = self._runner.server
        if any(gate.busy for gate in self._gates):
            return True
        return manager is not None and any(
            isinstance(connection, CallerConnection) and connection.busy
            for connection in manager.connections
        )


class HttpListener(Listener):
    """Serves routes on an address."""

    def __init__(
        self,
        routes: Routes,
        limits: ConnectionLimits,
        room: ByteRoom | None = None,
        places: ConnectionPlaces | None = None,
    ) -> None:
        runner = web.AppRunner(
            routes.web_application,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            handler_cancellation=True,
        )
        super().__init__(runner, lambda: limits, room, places)


class HandlerListener(Listener):
    """Passes all requests to one handler, which does its own routing."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ConnectionLimits],
        room: ByteRoom | None = None,
        places: ConnectionPlaces | None = None,
    ) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            connection = request.protocol
            if isinstance(connection, CallerConnection) and not connection.begin(
                request
            ):
                raise ConnectionResetError("the request was refused before it ran")
            return await handler(request)

        server = web.Server(handle, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        super().__init__(runner, limits, room, places)
