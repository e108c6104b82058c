"""Outgoing connections to the system's other processes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from goldcrestyard.wire import handshake
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.limits import (
    CLOSE_SECONDS,
    CONNECT_SECONDS,
    HANDSHAKE_SECONDS,
    MAX_FRAME_BYTES,
    PING_INTERVAL_SECONDS,
    PING_TIMEOUT_SECONDS,
)
from goldcrestyard.wire.messages import Hello, HelloProof, HelloReply


class PeerUnavailableError(Exception):
    """A peer cannot be reached or failed the handshake."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Host and port of a peer listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "PeerAddress":
        """Parse ``host:port``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerDialer:
    """Opens authenticated connections to peers."""

    def __init__(
        self,
        identity: handshake.Identity,
        codec: Codec,
        handlers: Handlers,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        self._identity = identity
        self._codec = codec
        self._handlers = handlers
        self._connect_seconds = connect_seconds

    @asynccontextmanager
    async def connect(self, address: PeerAddress) -> AsyncIterator[PeerConnection]:
        """Connect; the block runs while a task reads the connection.

        Raises ``PeerUnavailableError`` if the peer cannot be reached.
        """
        try:
            socket = await connect(
                f"ws://{address}",
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=self._connect_seconds,
                close_timeout=min(CLOSE_SECONDS, self._connect_seconds / 2),
                ping_interval=PING_INTERVAL_SECONDS,
                ping_timeout=PING_TIMEOUT_SECONDS,
                proxy=None,
            )
        except (OSError, TimeoutError, WebSocketException) as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        try:
            connection = await self._introduce(socket)
            reading = asyncio.create_task(connection.run(), name=f"read {address}")
            try:
                yield connection
            finally:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)
        finally:
            await socket.close()

    async def _introduce(self, socket: ClientConnection) -> PeerConnection:
        hello = Hello(
            self._identity.cluster, self._identity.instance, handshake.new_nonce()
        )
        try:
            async with asyncio.timeout(
                min(HANDSHAKE_SECONDS, 2 * self._connect_seconds)
            ):
                await socket.send(self._codec.encode(hello))
                reply = self._codec.decode(await socket.recv(decode=False))
                if not isinstance(reply, HelloReply) or not handshake.check_accepting(
                    self._identity, hello, reply
                ):
                    raise PeerUnavailableError("peer failed the proof")
                proof = handshake.connecting_proof(self._identity, hello, reply)
                await socket.send(self._codec.encode(HelloProof(proof)))
        except (TimeoutError, ConnectionClosed, CodecError) as error:
            raise PeerUnavailableError(f"handshake failed: {error}") from error
        return PeerConnection(socket, self._codec, self._handlers, reply.instance)
