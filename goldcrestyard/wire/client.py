"""Client side of the peer protocol: opens connections to other processes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from goldcrestyard.core.decoding import split_address
from goldcrestyard.wire import handshake
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.limits import (
    CLOSE_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    HANDSHAKE_TIMEOUT_SECONDS,
    MAX_FRAME_BYTES,
    PING_INTERVAL_SECONDS,
    PING_TIMEOUT_SECONDS,
)
from goldcrestyard.wire.messages import Hello, HelloProof, HelloReply


class PeerUnavailableError(Exception):
    """A peer cannot be reached, or the handshake with it failed."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Host and port on which a process accepts peer connections."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "PeerAddress":
        """Parse ``host:port``; raise ``ValueError`` if it is not that."""
        address = split_address(text)
        if address is None:
            raise ValueError(f"{text!r} is not host:port")
        return cls(*address)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerDialer:
    """Opens authenticated connections to peers."""

    def __init__(
        self,
        identity: handshake.Identity,
        codec: Codec,
        handlers: Handlers,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        self._identity = identity
        self._codec = codec
        self._handlers = handlers
        self._connect_seconds = connect_seconds

    @asynccontextmanager
    async def connect(self, address: PeerAddress) -> AsyncIterator[PeerConnection]:
        """Connect and authenticate; close the connection after the block.

        A task reads the connection while the block runs.  Raises
        ``PeerUnavailableError`` if the peer cannot be reached or the
        handshake fails.
        """
        try:
            socket = await connect(
                f"ws://{address}",
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=self._connect_seconds,
                close_timeout=min(CLOSE_TIMEOUT_SECONDS, self._connect_seconds / 2),
                ping_interval=PING_INTERVAL_SECONDS,
                ping_timeout=PING_TIMEOUT_SECONDS,
                proxy=None,
            )
        except (OSError, TimeoutError, WebSocketException) as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        try:
            connection = await self._authenticate(socket)
            reading = asyncio.create_task(connection.run(), name=f"read {address}")
            try:
                yield connection
            finally:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)
        finally:
            await socket.close()

    async def _authenticate(self, socket: ClientConnection) -> PeerConnection:
        hello = Hello(
            self._identity.cluster, self._identity.instance, handshake.new_nonce()
        )
        try:
            async with asyncio.timeout(
                min(HANDSHAKE_TIMEOUT_SECONDS, 2 * self._connect_seconds)
            ):
                await socket.send(self._codec.encode(hello))
                reply = self._codec.decode(await socket.recv(decode=False))
                if not isinstance(
                    reply, HelloReply
                ) or not handshake.verify_server_proof(self._identity, hello, reply):
                    raise PeerUnavailableError(
                        "peer did not prove that it knows the cluster secret"
                    )
                proof = handshake.client_proof(self._identity, hello, reply)
                await socket.send(self._codec.encode(HelloProof(proof)))
        except (TimeoutError, ConnectionClosed, CodecError) as error:
            raise PeerUnavailableError(f"handshake failed: {error}") from error
        return PeerConnection(socket, self._codec, self._handlers, reply.instance)
