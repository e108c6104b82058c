"""A peer-protocol client that asks control members whether they lead."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

from demo.deployment import Deployment, Instance, wait_for
from goldcrestyard.core.ids import InstanceId, Revision
from goldcrestyard.wire import client
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.messages import MESSAGES, Renew, RenewReply

REPLY_TIMEOUT_SECONDS = 2.0


class ControlProbe:
    """Finds the leader by sending each control member an entry's renewal."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        codec = Codec()
        codec.register(*MESSAGES)
        secret = (deployment.folder / "secret").read_bytes().strip()
        identity = Identity("demo", InstanceId("probe"), secret)
        self._dialer = PeerDialer(identity, codec, Handlers())

    @asynccontextmanager
    async def connect(self, instance: Instance) -> AsyncIterator[PeerConnection]:
        """Connect without pings: a paused process would fail them."""
        address = PeerAddress.parse(instance.peer)
        with mock.patch.object(client, "PING_INTERVAL_SECONDS", None):
            connecting = self._dialer.connect(address)
            connection = await connecting.__aenter__()
        try:
            yield connection
        finally:
            await connecting.__aexit__(None, None, None)

    async def ask(
        self, connection: PeerConnection, timeout: float = REPLY_TIMEOUT_SECONDS
    ) -> object:
        """Send ``Renew`` and return the reply.

        Only a member that holds the leader's lease answers ``RenewReply``.
        """
        return await connection.request(Renew(Revision(0)), timeout)

    async def leaders(self) -> list[Instance]:
        """Return the instances that hold the leader's lease."""

        async def holds(instance: Instance) -> bool:
            if instance.process is None or instance.process.returncode is not None:
                return False
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    async with self.connect(instance) as connection:
                        return isinstance(await self.ask(connection), RenewReply)
            except (PeerUnavailableError, TimeoutError):
                return False

        instances = self._deployment.instances
        answers = await asyncio.gather(*(holds(instance) for instance in instances))
        return [
            instance
            for instance, leads in zip(instances, answers, strict=True)
            if leads
        ]

    async def leader(self, *, but: Instance | None = None) -> Instance:
        """Wait until an instance other than ``but`` holds the lease."""
        found: list[Instance] = []

        async def leads(_: object) -> bool:
            found[:] = [i for i in await self.leaders() if i is not but]
            return bool(found)

        await wait_for(leads, "a leader")
        return found[0]
