"""Outgoing link from this control member to one other, and its messages."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from dataclasses import dataclass
from typing import Any, Protocol

import structlog

from goldcrestyard.consensus.compression import compress, decompress
from goldcrestyard.consensus.configuration import MemberId, VoterGroups
from goldcrestyard.consensus.messages import TransferKey
from goldcrestyard.consensus.outbox import Batch, Outbox
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
MIN_CONTACT_DELAY_SECONDS = 0.05
"""Bounds in seconds of the delay between two attempts to connect, and the
delay after which the next one follows if the member has contacted this one
meanwhile."""

IDLE_CHECK_INTERVAL_SECONDS = 1.0
BOOTSTRAP_CHECK_INTERVAL_SECONDS = 0.25
"""Intervals in seconds at which an idle connection is checked, in a cluster
and before it is formed.  The leader's connections are never idle, due to its
heartbeats."""

CONNECTIONS = 3
MAX_CONNECTIONS = 7
EXTRA_CONNECTION_IDLE_SECONDS = 5.0
"""Number of connections of a link, with those during a large transfer, and the
time in seconds after which one of these closes when it is idle.  TCP delivers
in order, so a lost packet stops its connection for 0.2 s or more; the others
go on meanwhile.  With 5% of the packets lost, many wait at any time."""

MIN_WAIT_SECONDS = 0.001
"""Time that is not waited for.  A timer may fire early by a rounding error,
and the rest of its time is too short for another one."""

MIN_BYTES_PER_SECOND = 512 * 1024
"""Throughput that a link is given time for if it carries a large message.
One of several MB, such as an entry with a large job, cannot be split; it would
be cut off and sent again for ever."""


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
    identities are exchanged often."""
    accepts_early_entries: bool = False
    """Whether the member puts entries in order that arrive before those they
    follow; members of earlier releases reject them."""


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
    """Connections to the control member at one address, one task for each.

    A task connects, requests the identity of the member at the address, and
    takes batches from the queue of the link whenever its connection is idle;
    it reconnects after a failure.  A batch that is not acknowledged in the
    expected time is sent on another connection too.
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
        self._checked_at = 0.0
        self._replaced_members: set[MemberId] = set()
        self._dialer = dialer
        self._own_identity = own_identity
        self._on_identity = on_identity
        self._on_messages = on_messages
        self._outbox = Outbox()
        # Set while a large transfer is queued.
        self._large_transfer = asyncio.Event()
        # One for each idle connection; the first has been idle longest.
        self._idle: deque[asyncio.Future[None]] = deque()
        # Set, and replaced, when the member has contacted this one.
        self._contacted = asyncio.Event()
        # Starts of the attempts to connect that are under way.
        self._attempts: dict[asyncio.Future[None], float] = {}

    def send(
        self, receiver: MemberId, message: bytes, key: TransferKey | None = None
    ) -> None:
        """Queue a message; delivery is not guaranteed.

        ``key`` is that of entries or a snapshot chunk.  A message to a member
        whose disk another one has replaced is dropped: the batch that carries
        it would delay those to the other member.
        """
        if receiver in self._replaced_members:
            return
        self._outbox.add(receiver, message, key)
        if self._outbox.has_large_transfer:
            self._large_transfer.set()
        self._wake_connection()

    def record_contact(self) -> None:
        """Reconnect at once, since the member is evidently running.

        An attempt to connect that has had no answer for a while is given up:
        its packets may have been sent while the member did not run.
        """
        now = asyncio.get_running_loop().time()
        for given_up, started_at in self._attempts.items():
            if now - started_at >= RESPONSE_TIMEOUT_SECONDS and not given_up.done():
                given_up.set_result(None)
        self._contacted.set()
        self._contacted = asyncio.Event()

    def _record_replaced(self, member: MemberId) -> None:
        self._replaced_members.add(member)
        self._outbox.drop(member)

    async def run(self) -> None:
        """Keep the link connected until the task is cancelled."""
        async with asyncio.TaskGroup() as connections:
            for number in range(MAX_CONNECTIONS):
                connections.create_task(self._keep_connected(number >= CONNECTIONS))

    async def _keep_connected(self, extra: bool) -> None:
        backoff = MIN_RECONNECT_DELAY_SECONDS
        closing: set[asyncio.Task[Any]] = set()
        try:
            while True:
                if extra:
                    await self._large_transfer.wait()
                stack = AsyncExitStack()
                try:
                    connection = await self._connect(stack, closing)
                    backoff = MIN_RECONNECT_DELAY_SECONDS
                    self._outbox.connections += 1
                    try:
                        await self._exchange_messages(connection, extra)
                    finally:
                        self._outbox.connections -= 1
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
                if not self._outbox.connections:
                    self._outbox.clear()
                contacted = self._contacted
                await asyncio.sleep(MIN_CONTACT_DELAY_SECONDS)
                delay = backoff * random.uniform(0.5, 1.5) - MIN_CONTACT_DELAY_SECONDS
                await wait_at_most(delay, contacted.wait())
                backoff = min(2 * backoff, MAX_RECONNECT_DELAY_SECONDS)
        finally:
            await asyncio.gather(*closing, return_exceptions=True)

    async def _connect(
        self, stack: AsyncExitStack, closing: set[asyncio.Task[Any]]
    ) -> PeerConnection:
        """Connect, unless the attempt is given up by ``record_contact``."""
        loop = asyncio.get_running_loop()
        given_up = loop.create_future()
        connecting = asyncio.create_task(
            stack.enter_async_context(self._dialer.connect(self.address))
        )
        self._attempts[given_up] = loop.time()
        try:
            await asyncio.wait(
                {connecting, given_up}, return_when=asyncio.FIRST_COMPLETED
            )
            if connecting.done():
                return connecting.result()
            raise PeerUnavailableError("no answer from a member that runs")
        finally:
            del self._attempts[given_up]
            if not connecting.done():
                connecting.cancel()
                closing.add(connecting)
                connecting.add_done_callback(closing.discard)

    @property
    def _peer_is_in_cluster(self) -> bool:
        return self.identity is not None and bool(self.identity.cluster)

    async def _exchange_messages(self, connection: PeerConnection, extra: bool) -> None:
        """Exchange identities and messages until the connection fails.

        An extra connection ends when it has been idle.
        """
        while not connection.closed:
            can_send = self._peer_is_in_cluster and self._outbox.has_batch
            if not can_send and not await self._exchange_identities(connection):
                return
            batch = await self._wait_for_batch(extra)
            if batch is None and extra:
                return
            while batch is not None:
                if not await self._send_batch(connection, batch):
                    return
                batch = self._take_batch()

    async def _exchange_identities(self, connection: PeerConnection) -> bool:
        """Request the peer's identity; return whether it was received."""
        self._checked_at = asyncio.get_running_loop().time()
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
        self._outbox.parallel = reply.accepts_early_entries
        self.answered_at = asyncio.get_running_loop().time()
        self._on_identity(self.instance, reply)
        return True

    def _wake_connection(self) -> None:
        """Wake the connection that has been idle longest."""
        while self._idle:
            waiter = self._idle.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _take_batch(self) -> Batch | None:
        batch = self._outbox.take()
        if not self._outbox.has_large_transfer:
            self._large_transfer.clear()
        if self._outbox.has_batch:
            self._wake_connection()
        return batch

    async def _wait_for_batch(self, extra: bool) -> Batch | None:
        """Return the next batch, or None when the idle time is over.

        Then the member is checked, unless it has answered on another
        connection meanwhile, or the extra connection closes.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while (batch := self._take_batch()) is None:
            due_at = self._idle_until(started_at, extra)
            if due_at - loop.time() < MIN_WAIT_SECONDS:
                return None
            waiter = loop.create_future()
            self._idle.append(waiter)
            try:
                await wait_at_most(due_at - loop.time(), waiter)
            finally:
                if waiter in self._idle:
                    self._idle.remove(waiter)
        return batch

    def _idle_until(self, started_at: float, extra: bool) -> float:
        if extra:
            return started_at + EXTRA_CONNECTION_IDLE_SECONDS
        seconds = (
            IDLE_CHECK_INTERVAL_SECONDS
            if self._peer_is_in_cluster
            else BOOTSTRAP_CHECK_INTERVAL_SECONDS
        )
        return max(started_at, self.answered_at or 0.0, self._checked_at) + seconds

    def _resend(self, batch: Batch, attempt: int) -> None:
        self._outbox.record_late(batch, attempt)
        if self._outbox.has_batch:
            self._wake_connection()

    async def _send_batch(self, connection: PeerConnection, batch: Batch) -> bool:
        """Send a batch; return whether the connection can still be used."""
        attempt = batch.attempts
        size = batch.size
        message = self._pack(batch)
        sent_size = len(message.compressed) or size
        timeout = max(
            RESPONSE_TIMEOUT_SECONDS,
            max(map(len, batch.messages)) / MIN_BYTES_PER_SECOND,
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        late = loop.call_later(
            self._outbox.pace.resend_seconds(size), self._resend, batch, attempt
        )
        try:
            reply = await connection.request(message, timeout)
        finally:
            late.cancel()
        seconds = loop.time() - sent_at
        if not isinstance(reply, Received):
            self._outbox.record_failed(batch, attempt)
            self._wake_connection()
            logger.warning(
                "member did not acknowledge a batch; reconnecting",
                peer=self.instance,
                reply=str(reply),
                messages=len(batch.messages),
                size=size,
                sent_size=sent_size,
            )
            return False
        self._outbox.record_acknowledged(batch, attempt, seconds)
        if reply.member == batch.receiver:
            self.answered_at = loop.time()
            self._on_messages(batch.receiver, reply.messages)
            return True
        self._record_replaced(batch.receiver)
        if self.identity is not None and self.identity.member == reply.member:
            return True
        logger.warning(
            "another member answers at this address; if the instance lost its disk, "
            "replace the member",
            expected=batch.receiver,
            answering=reply.member,
        )
        return await self._exchange_identities(connection)

    def _pack(self, batch: Batch) -> MemberBatch:
        own = self._own_identity()
        if self.identity is not None and self.identity.accepts_compressed:
            block = compress(batch.messages)
            if block is not None:
                return MemberBatch(own.member, batch.receiver, own.cluster, (), block)
        return MemberBatch(own.member, batch.receiver, own.cluster, batch.messages)
