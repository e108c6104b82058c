"""Server side of the peer protocol: accepts connections of other processes."""

import asyncio

import structlog
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

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


class PeerServer:
    """Accepts connections from peers that hold the cluster secret."""

    def __init__(
        self, identity: handshake.Identity, codec: Codec, handlers: Handlers
    ) -> None:
        self._identity = identity
        self._codec = codec
        self._handlers = handlers
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for peer connections on a host and port."""
        self._server = await serve(
            self._serve_connection,
            host,
            port,
            compression=None,
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
        return PeerConnection(socket, self._codec, self._handlers, hello.instance)
