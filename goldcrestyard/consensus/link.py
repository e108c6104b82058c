"""Outgoing link from this control member to one other, and its messages."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from dataclasses import dataclass, replace
from typing import Protocol

import structlog

from goldcrestyard.consensus.compression import compress, decompress
from goldcrestyard.consensus.configuration import MemberId, VoterGroups
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex, Term
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

RESPONSE_TIMEOUT_SECONDS = 0.5
"""Time in seconds after which a connection with an unanswered request is
replaced, since it may have failed silently.  This time and the time to
reconnect are together shorter than the leader's lease, so that the leader
keeps its lease."""

MIN_RECONNECT_DELAY_SECONDS = 0.1
MAX_RECONNECT_DELAY_SECONDS = 1.0
IDLE_CHECK_INTERVAL_SECONDS = 1.0
BOOTSTRAP_CHECK_INTERVAL_SECONDS = 0.25
"""Intervals in seconds at which an idle connection is checked, in a cluster
and before it is formed.  The leader's connections are never idle, due to its
heartbeats."""

MAX_BATCH_BYTES = 1024 * 1024
"""Size from which no further message is added to a batch, so that at
225 Mbit/s the batch is acknowledged within the response timeout."""

MIN_BATCH_BYTES = 64 * 1024
"""Least value of that size.  It is halved after a batch that was not
acknowledged in time, so that a slower link does not carry the same messages
again and again, and doubled after one that was in a quarter of the time."""

MIN_BYTES_PER_SECOND = 512 * 1024
"""Throughput that a link is given time for if it carries a large message.
One of several MB, such as an entry with a large job, cannot be split; it would
be cut off and sent again for ever."""

MAX_QUEUED_MESSAGES = 64
"""Maximum number of queued messages, beyond which the oldest is dropped.  The
Raft protocol sends its content again if it is still needed."""


@dataclass(frozen=True, slots=True)
class MemberState:
    """State of a control member, for the log lines of the others."""

    role: Role
    term: Term
    leader: MemberId | None
    last_index: LogIndex
    last_term: Term
    configuration_index: LogIndex
    """Index of the latest configuration, or of the snapshot that holds it."""
    voter_groups: VoterGroups
    """The voters; during a replacement the old and the new ones."""
    learners: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """Identity of a control member, as sent and as requested in return.

    ``cluster`` is empty while the member belongs to no cluster, and
    ``address`` is its peer address.  ``named`` are the control members in its
    settings; only members with the same list form a cluster.
    """

    member: MemberId
    cluster: str
    address: str
    named: tuple[InstanceId, ...]
    accepts_compressed: bool = False
    """Whether the member understands ``MemberBatch.compressed``; members of
    earlier releases do not."""
    state: MemberState | None = None
    """Sent only while the sender or the receiver knows of no leader, since
    identities are exchanged before each heartbeat."""


@dataclass(frozen=True, slots=True)
class MemberBatch:
    """Encoded Raft messages from one member to another.

    They are either in ``messages`` or in ``compressed``.
    """

    sender: MemberId
    receiver: MemberId
    cluster: str
    messages: tuple[bytes, ...]
    compressed: bytes = b""

    def unpack(self) -> tuple[bytes, ...]:
        """Return the messages; raise ``CompressionError`` if malformed."""
        return decompress(self.compressed) if self.compressed else self.messages


@dataclass(frozen=True, slots=True)
class Received:
    """Acknowledges a batch; ``messages`` are encoded Raft messages in reply.

    Most replies are sent this way, which halves the frames of a heartbeat.
    ``member`` is the member that received the batch; it differs from the
    batch's receiver if the instance has lost its disk.
    """

    member: MemberId
    messages: tuple[bytes, ...] = ()


class Dialer(Protocol):
    """Opens connections to processes; implemented by ``PeerDialer``."""

    def connect(
        self, address: PeerAddress
    ) -> AbstractAsyncContextManager[PeerConnection]:
        """Connect to an address, or raise ``PeerUnavailableError``."""


class MemberLink:
    """Connection to the control member at one address, kept by one task.

    The task connects, requests the identity of the member at the address,
    and sends queued messages in batches; it reconnects after a failure.
    """

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
        """Identity last reported from the address; None before the first."""
        self.answered_at: float | None = None
        """Time on the event loop's clock of the latest answer, or None."""
        self.failure: Failure | None = None
        """What the member answered instead of its latest identity, such as
        that its disk fails; None after an identity."""
        self.failed_at = float("-inf")
        self._replaced_members: set[MemberId] = set()
        self._dialer = dialer
        self._own_identity = own_identity
        self._on_identity = on_identity
        self._on_messages = on_messages
        self._queue: deque[tuple[MemberId, bytes]] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._message_queued = asyncio.Event()
        self._batch_bytes = MAX_BATCH_BYTES

    def send(self, receiver: MemberId, message: bytes) -> None:
        """Queue a message; delivery is not guaranteed.

        A message to a member whose disk another one has replaced is dropped:
        the batch that carries it would delay those to the other member.
        """
        if receiver in self._replaced_members:
            return
        self._queue.append((receiver, message))
        self._message_queued.set()

    def _record_replaced(self, member: MemberId) -> None:
        self._replaced_members.add(member)
        kept = [item for item in self._queue if item[0] != member]
        self._queue.clear()
        self._queue.extend(kept)

    async def run(self) -> None:
        """Keep the link connected until the task is cancelled."""
        backoff = MIN_RECONNECT_DELAY_SECONDS
        closing: set[asyncio.Task[None]] = set()
        try:
            while True:
                stack = AsyncExitStack()
                try:
                    connecting = self._dialer.connect(self.address)
                    connection = await stack.enter_async_context(connecting)
                    backoff = MIN_RECONNECT_DELAY_SECONDS
                    await self._exchange_messages(connection)
                except PeerUnavailableError as error:
                    logger.debug(
                        "control member unreachable, reconnecting",
                        peer=self.instance,
                        error=str(error),
                    )
                finally:
                    # An unresponsive peer delays closing by up to a second;
                    # it runs in the background, so that the next connection
                    # is opened meanwhile.
                    task = asyncio.create_task(stack.aclose())
                    closing.add(task)
                    task.add_done_callback(closing.discard)
                self._queue.clear()
                await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
                backoff = min(2 * backoff, MAX_RECONNECT_DELAY_SECONDS)
        finally:
            await asyncio.gather(*closing, return_exceptions=True)

    async def _exchange_messages(self, connection: PeerConnection) -> None:
        """Exchange identities and messages until the connection fails."""
        while not connection.closed:
            peer_is_in_cluster = self.identity is not None and self.identity.cluster
            can_send = peer_is_in_cluster and self._queue
            if not can_send and not await self._exchange_identities(connection):
                return
            await self._wait_for_messages()
            while self._queue:
                if not await self._send_batch(connection):
                    return

    async def _exchange_identities(self, connection: PeerConnection) -> bool:
        """Request the peer's identity; return whether it was received."""
        reply = await connection.request(self._own_identity(), RESPONSE_TIMEOUT_SECONDS)
        if not isinstance(reply, MemberIdentity):
            if isinstance(reply, Failure):
                self.failure = reply
                self.failed_at = asyncio.get_running_loop().time()
            return False
        self.failure = None
        if self.identity is not None and self.identity.member != reply.member:
            self._record_replaced(self.identity.member)
        self._replaced_members.discard(reply.member)
        self.identity = reply
        self.answered_at = asyncio.get_running_loop().time()
        self._on_identity(self.instance, reply)
        return True

    async def _wait_for_messages(self) -> None:
        self._message_queued.clear()
        if self._queue:
            return
        peer_is_in_cluster = self.identity is not None and self.identity.cluster
        seconds = (
            IDLE_CHECK_INTERVAL_SECONDS
            if peer_is_in_cluster
            else BOOTSTRAP_CHECK_INTERVAL_SECONDS
        )
        await wait_at_most(seconds, self._message_queued.wait())

    async def _send_batch(self, connection: PeerConnection) -> bool:
        """Send queued messages for one receiver as one batch.

        Return whether the connection can still be used.
        """
        receiver = self._queue[0][0]
        limit = self._batch_bytes
        messages: list[bytes] = []
        size = 0
        while self._queue and self._queue[0][0] == receiver and size < limit:
            messages.append(self._queue.popleft()[1])
            size += len(messages[-1])
        own = self._own_identity()
        batch = MemberBatch(own.member, receiver, own.cluster, tuple(messages))
        if self.identity is not None and self.identity.accepts_compressed:
            block = compress(batch.messages)
            if block is not None:
                batch = replace(batch, messages=(), compressed=block)
        sent_size = len(batch.compressed) or size
        timeout = max(
            RESPONSE_TIMEOUT_SECONDS, max(map(len, messages)) / MIN_BYTES_PER_SECOND
        )
        sent_at = asyncio.get_running_loop().time()
        reply = await connection.request(batch, timeout)
        seconds = asyncio.get_running_loop().time() - sent_at
        if not isinstance(reply, Received):
            self._batch_bytes = max(MIN_BATCH_BYTES, min(size, limit) // 2)
            logger.warning(
                "member did not acknowledge a batch; reconnecting",
                peer=self.instance,
                reply=str(reply),
                messages=len(messages),
                size=size,
                sent_size=sent_size,
            )
            return False
        if size >= limit and seconds < RESPONSE_TIMEOUT_SECONDS / 4:
            self._batch_bytes = min(MAX_BATCH_BYTES, 2 * limit)
        if reply.member == receiver:
            self.answered_at = sent_at + seconds
            self._on_messages(receiver, reply.messages)
            return True
        self._record_replaced(receiver)
        if self.identity is not None and self.identity.member == reply.member:
            return True
        logger.warning(
            "another member answers at this address; if the instance lost its disk, "
            "replace the member",
            expected=receiver,
            answering=reply.member,
        )
        return await self._exchange_identities(connection)
