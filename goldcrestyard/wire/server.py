"""Server side of the peer protocol: accepts connections of other processes."""

import asyncio
from functools import partial
from typing import Any, cast

import structlog
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from goldcrestyard.policy.unproved_peers import (
    MAX_UNPROVED_BYTES,
    MAX_UNPROVED_CONNECTIONS,
    UnprovedPeers,
)
from goldcrestyard.wire import handshake
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.limits import (
    HANDSHAKE_TIMEOUT_SECONDS,
    MAX_FRAME_BYTES,
    PING_INTERVAL_SECONDS,
    PING_TIMEOUT_SECONDS,
)
from goldcrestyard.wire.messages import Hello, HelloProof, HelloReply

logger = structlog.get_logger(__name__)


class _PeerSocket(ServerConnection):
    """A connection that takes few bytes until its peer has proved the secret.

    All bytes count from the first on, since the size limits of the WebSocket
    protocol bound neither its opening request nor fragments in their sum.
    """

    def __init__(self, unproved: UnprovedPeers, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._unproved = unproved
        self._address = ""
        self._unproved_bytes: int | None = 0
        """None once the peer has proved the secret."""

    def accept_proof(self) -> None:
        """Take messages of any legal size from now on."""
        self._unproved_bytes = None
        self._unproved.remove(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; close another one if there are too many."""
        super().connection_made(transport)
        self._address = str((transport.get_extra_info("peername") or ("",))[0])
        displaced = self._unproved.add(self, self._address)
        if isinstance(displaced, _PeerSocket):
            displaced.abort_unproved("too many of them")

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no longer."""
        self._unproved.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; close if it is too much without the proof."""
        super().data_received(data)
        if self._unproved_bytes is None:
            return
        self._unproved_bytes += len(data)
        if self._unproved_bytes > MAX_UNPROVED_BYTES:
            # A peer may send a large request right behind its proof.  The
            # task that waits for the proof runs before this callback.
            self.loop.call_soon(self.abort_unproved, "too many bytes")

    def abort_unproved(self, reason: str) -> None:
        """Close the connection unless its peer has proved the secret."""
        if self._unproved_bytes is None or self.transport.is_closing():
            return
        logger.warning(
            "peer connection closed before its proof",
            address=self._address,
            reason=reason,
        )
        self.transport.abort()


class PeerServer:
    """Accepts connections from peers that hold the cluster secret."""

    def __init__(
        self,
        identity: handshake.Identity,
        codec: Codec,
        handlers: Handlers,
        max_unproved: int = MAX_UNPROVED_CONNECTIONS,
    ) -> None:
        self._identity = identity
        self._codec = codec
        self._handlers = handlers
        self._unproved = UnprovedPeers(max_unproved)
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for peer connections on a host and port."""
        self._server = await serve(
            self._serve_connection,
            host,
            port,
            compression=None,
            create_connection=cast(
                type[ServerConnection], partial(_PeerSocket, self._unproved)
            ),
            open_timeout=HANDSHAKE_TIMEOUT_SECONDS,
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_SECONDS,
            ping_timeout=PING_TIMEOUT_SECONDS,
        )

    async def stop(self) -> None:
        """Close the listener and all its connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve_connection(self, socket: ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                connection = await self._accept(socket)
        except (TimeoutError, ConnectionClosed, CodecError) as error:
            logger.warning("peer handshake failed", error=str(error))
            return
        if connection is not None:
            await connection.run()

    async def _accept(self, socket: ServerConnection) -> PeerConnection | None:
        hello = self._codec.decode(await socket.recv(decode=False))
        if not isinstance(hello, Hello):
            raise CodecError("First message is not Hello.")
        refusal = handshake.check_hello(self._identity, hello)
        if refusal is not None:
            logger.warning(
                "peer rejected in the handshake", peer=hello.instance, reason=refusal
            )
            await socket.close(1008, refusal)
            return None
        nonce = handshake.new_nonce()
        proof = handshake.server_proof(self._identity, hello, nonce)
        reply = HelloReply(self._identity.instance, nonce, proof)
        await socket.send(self._codec.encode(reply))
        answer = self._codec.decode(await socket.recv(decode=False))
        if not isinstance(answer, HelloProof) or not handshake.verify_client_proof(
            self._identity, hello, reply, answer
        ):
            logger.warning("peer rejected: wrong cluster secret", peer=hello.instance)
            await socket.close(1008, "wrong cluster secret")
            return None
        if isinstance(socket, _PeerSocket):
            socket.accept_proof()
        return PeerConnection(socket, self._codec, self._handlers, hello.instance)
