"""Tests of the peer listener against peers that never prove the secret.

They guard against a process that runs out of memory or of descriptors by what
strangers send to it, and against strangers that keep instances from linking.
"""

import asyncio
import contextlib
import unittest
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex
from goldcrestyard.policy.unproved_peers import max_unproved
from goldcrestyard.wire.client import PeerAddress, PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.handshake import Identity, new_nonce
from goldcrestyard.wire.messages import MESSAGES, Hello, Propose, ProposeReply
from goldcrestyard.wire.server import PeerServer
from tests.fakes.quiet_logs import quiet_logs

CLUSTER = "tejo"
SECRET = b"a secret of the cluster"
LIMIT = 8
CLOSED_SECONDS = 2.0
"""Bound for a connection that sends too much; the handshake may take 5 s."""

HEAD = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n"
)
OPENED = HEAD + b"\r\n"

CODEC = Codec()
CODEC.register(*MESSAGES)


def frame(payload: bytes, size: int | None = None, first: int = 0x82) -> bytes:
    """Return a frame; ``size`` is declared if the payload is only a part."""
    length = len(payload) if size is None else size
    return bytes([first, 0xFF]) + length.to_bytes(8, "big") + bytes(4) + payload


HELLO = frame(CODEC.encode(Hello(CLUSTER, InstanceId("stranger"), new_nonce())))
PART = bytes(50_000)
UNENDED = frame(PART, 1 << 20)
FRAGMENTS = frame(PART[:8000], first=0x02) + 6 * frame(PART[:8000], first=0x00)
HEADER_LINES = 6 * (b"a: " + 8000 * b"a" + b"\r\n")


class UnprovedPeersTests(unittest.IsolatedAsyncioTestCase):
    """A peer listener with room for a few connections without the proof."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        handlers = Handlers()
        handlers.add(Propose, self._answer)
        identity = Identity(CLUSTER, InstanceId("server"), SECRET)
        self.server = PeerServer(identity, CODEC, handlers, LIMIT)
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop)
        assert self.server._server is not None
        self.port = next(iter(self.server._server.sockets)).getsockname()[1]
        self.open = 0

    async def _answer(self, message: Any, _: PeerConnection) -> ProposeReply:
        return ProposeReply(LogIndex(len(message.command)), b"")

    async def request(self, size: int, name: str = "peer") -> int:
        """Link as an instance does; return the size that the server saw."""
        identity = Identity(CLUSTER, InstanceId(name), SECRET)
        dialer = PeerDialer(identity, CODEC, Handlers())
        message = Propose(bytes(size), "test", CorrelationId("test"))
        async with dialer.connect(PeerAddress("127.0.0.1", self.port)) as connection:
            reply = await connection.request(message, 5.0)
        return reply.index if isinstance(reply, ProposeReply) else -1

    async def stranger(self, address: str, sent: bytes) -> None:
        """Connect from an address, send, and wait until the server closes."""
        with contextlib.suppress(ConnectionError):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.port, local_addr=(address, 0)
            )
            self.open += 1
            try:
                writer.write(sent)
                while await reader.read(65536):
                    pass
            finally:
                self.open -= 1
                writer.transport.abort()

    async def crowd(self, addresses: list[str], size: int, again: bool) -> None:
        """Hold connections without the proof, or open them again and again."""

        async def one(address: str) -> None:
            await self.stranger(address, OPENED)
            while again:
                await self.stranger(address, OPENED)

        async with asyncio.TaskGroup() as group:
            for position in range(size):
                group.create_task(one(addresses[position % len(addresses)]))

    @parameterized.expand(
        [
            ("first_message", OPENED + UNENDED),
            ("fragments_without_end", OPENED + FRAGMENTS),
            ("message_instead_of_the_proof", OPENED + HELLO + UNENDED),
            ("opening_request", HEAD + HEADER_LINES),
        ]
    )
    async def test_little_is_taken_without_the_proof(self, _: str, sent: bytes) -> None:
        async with asyncio.timeout(CLOSED_SECONDS):
            await self.stranger("127.0.0.1", sent)

    @parameterized.expand(
        [
            ("small", 100, "peer"),
            ("long_name", 100, 2000 * "p"),
            ("larger_than_the_bound", 100_000, "peer"),
            ("large", 8 << 20, "peer"),
        ]
    )
    async def test_first_request_may_follow_the_proof_at_once(
        self, _: str, size: int, name: str
    ) -> None:
        answered = await asyncio.gather(*(self.request(size, name) for _ in range(6)))
        self.assertEqual([size] * 6, answered)

    @parameterized.expand(
        [
            ("held", ["127.0.0.2"], False),
            ("held_from_the_address_of_the_peer", ["127.0.0.1"], False),
            ("held_from_many_addresses", [f"127.0.1.{n}" for n in range(1, 21)], False),
            ("again_and_again", ["127.0.0.2"], True),
        ]
    )
    async def test_peer_links_beside_a_crowd_of_strangers(
        self, _: str, addresses: list[str], again: bool
    ) -> None:
        crowd = asyncio.create_task(self.crowd(addresses, 3 * LIMIT, again))
        await asyncio.sleep(0.5)
        held = self.open
        answered = [await self.request(100) for _ in range(5)]
        crowd.cancel()
        await asyncio.gather(crowd, return_exceptions=True)
        self.assertEqual([100] * 5, answered)
        if not again:
            self.assertEqual(LIMIT, held)

    def test_number_follows_the_descriptors(self) -> None:
        """Guards against a crowd that takes all descriptors of a process."""
        bounds = [max_unproved(limit) for limit in (20, 500, 1024, 1_000_000)]
        self.assertEqual([16, 125, 256, 512], bounds)
