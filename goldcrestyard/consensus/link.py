"""The connection from this member to one other."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

import structlog

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import PeerConnection

logger = structlog.get_logger(__name__)

RESPONSE_TIMEOUT_SECONDS = 0.5
"""A connection that confirms nothing for this long is replaced: it may have
gone silent for good while a new one works.  With the time to reconnect it is
less than the leader's lease, so that the leader keeps it."""

RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 1.0
CHECK_SECONDS = 1.0
FORMING_CHECK_SECONDS = 0.25
"""Intervals at which an idle connection is checked; that from the leader is
never idle."""

BATCH_BYTES = 1024 * 1024
"""Bound on a frame, so that at 225 Mbit/s it is confirmed in time."""

QUEUED_MESSAGES = 64
"""Older messages are dropped; the protocol repeats what is still needed."""


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """Who a process is in the replicated log.

    ``named`` are the members in its settings: a cluster is only formed by
    members that agree on them.
    """

    member: MemberId
    cluster: str
    address: str
    named: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class MemberBatch:
    """Encoded messages from one member to another."""

    sender: MemberId
    receiver: MemberId
    cluster: str
    messages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Received:
    """A batch has arrived at a member; ``messages`` are its answers.

    Most answers come this way, which halves the frames of a heartbeat.
    """

    member: MemberId
    messages: tuple[bytes, ...] = ()


class Dialer(Protocol):
    """Opens connections to other processes; ``PeerDialer`` is one."""

    def connect(
        self, address: PeerAddress
    ) -> AbstractAsyncContextManager[PeerConnection]:
        """Connect, or raise ``PeerUnavailableError``."""


class MemberLink:
    """One task: connect, learn who answers there, send what is queued."""

    def __init__(
        self,
        instance: InstanceId,
        address: PeerAddress,
        dialer: Dialer,
        own_identity: Callable[[], MemberIdentity],
        on_identity: Callable[[InstanceId, MemberIdentity], None],
        on_messages: Callable[[MemberId, tuple[bytes, ...]], None],
    ) -> None:
        self.instance = instance
        self.address = address
        self.identity: MemberIdentity | None = None
        """Who answered last at the address."""
        self._dialer = dialer
        self._own_identity = own_identity
        self._on_identity = on_identity
        self._on_messages = on_messages
        self._queue: deque[tuple[MemberId, bytes]] = deque(maxlen=QUEUED_MESSAGES)
        self._filled = asyncio.Event()

    def send(self, receiver: MemberId, message: bytes) -> None:
        """Queue a message; it may be lost."""
        self._queue.append((receiver, message))
        self._filled.set()

    async def run(self) -> None:
        """Keep a connection for the life of the member."""
        backoff = RECONNECT_SECONDS
        closing: set[asyncio.Task[None]] = set()
        try:
            while True:
                stack = AsyncExitStack()
                try:
                    connecting = self._dialer.connect(self.address)
                    connection = await stack.enter_async_context(connecting)
                    backoff = RECONNECT_SECONDS
                    await self._converse(connection)
                except PeerUnavailableError as error:
                    logger.debug(
                        "member unavailable", peer=self.instance, error=str(error)
                    )
                finally:
                    # A silent peer delays the closing by up to a second; the
                    # next connection is opened meanwhile.
                    task = asyncio.create_task(stack.aclose())
                    closing.add(task)
                    task.add_done_callback(closing.discard)
                self._queue.clear()
                await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
                backoff = min(2 * backoff, MAX_RECONNECT_SECONDS)
        finally:
            await asyncio.gather(*closing, return_exceptions=True)

    async def _converse(self, connection: PeerConnection) -> None:
        while not connection.closed:
            formed = self.identity is not None and self.identity.cluster
            known = formed and self._queue
            if not known and not await self._identify(connection):
                return
            await self._wait_for_messages()
            while self._queue:
                if not await self._send_batch(connection):
                    return

    async def _identify(self, connection: PeerConnection) -> bool:
        reply = await connection.request(self._own_identity(), RESPONSE_TIMEOUT_SECONDS)
        if not isinstance(reply, MemberIdentity):
            return False
        self.identity = reply
        self._on_identity(self.instance, reply)
        return True

    async def _wait_for_messages(self) -> None:
        self._filled.clear()
        if self._queue:
            return
        formed = self.identity is not None and self.identity.cluster
        seconds = CHECK_SECONDS if formed else FORMING_CHECK_SECONDS
        await wait_at_most(seconds, self._filled.wait())

    async def _send_batch(self, connection: PeerConnection) -> bool:
        """Send the queued messages for one receiver in one frame."""
        receiver = self._queue[0][0]
        messages: list[bytes] = []
        size = 0
        while self._queue and self._queue[0][0] == receiver and size < BATCH_BYTES:
            messages.append(self._queue.popleft()[1])
            size += len(messages[-1])
        own = self._own_identity()
        batch = MemberBatch(own.member, receiver, own.cluster, tuple(messages))
        reply = await connection.request(batch, RESPONSE_TIMEOUT_SECONDS)
        if not isinstance(reply, Received):
            return False
        if reply.member == receiver:
            self._on_messages(receiver, reply.messages)
            return True
        if self.identity is not None and self.identity.member == reply.member:
            return True
        logger.warning(
            "another member answers at this address; if the instance lost its disk, "
            "replace the member",
            expected=receiver,
            answering=reply.member,
        )
        return await self._identify(connection)
