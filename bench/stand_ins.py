"""Leader and entries for benchmarks, and state of a given size.

The leader and the entries run in one process, each side on its own thread.
The processor time of a side is that of its thread; its traffic is read from
the kernel's counters of its sockets.
"""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar, cast

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import (
    DataCentre,
    InstanceId,
    KeyHash,
    KeyId,
    OrganisationId,
    Region,
    TargetId,
)
from goldcrestyard.core.records import Key, Organisation, Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.kernel import registry
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.subscription import Subscription
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.organisations.commands import GrantKey, PutOrganisation
from goldcrestyard.plugins.scheduling.use_digests import (
    TokenUseChannel,
    TokenUseMerger,
)
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.policy.fairness import TokenUse
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.client import PeerAddress, PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.server import PeerServer
from tests.fakes.member import FakeMember, apply

T = TypeVar("T")

MODEL = "lm"
ORGANISATION_COUNT = 8
LEASE_SECONDS = 5.0
POLL_SECONDS = 0.05
LEADER_ID = InstanceId("leader")
BYTES_ACKED_OFFSET = 120
"""Offset of ``tcpi_bytes_acked`` in Linux's ``tcp_info`` structure, directly
before ``tcpi_bytes_received``."""


class LoopThread:
    """An event loop on its own thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(120)

    def cpu(self) -> float:
        """Return the processor seconds of the thread."""

        async def read() -> float:
            return time.thread_time()

        return self.call(read())

    def close(self) -> None:
        """Cancel all tasks and end the thread."""

        async def cancel() -> None:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.wait(others, timeout=5.0) if others else None

        self.call(cancel())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class RecordingDialer(PeerDialer):
    """A dialer that keeps its sockets, to read their byte counters."""

    def __init__(self, identity: Identity, codec: Codec, handlers: Handlers) -> None:
        super().__init__(identity, codec, handlers)
        self.sockets: list[socket.socket] = []

    @asynccontextmanager
    async def connect(self, address: PeerAddress) -> AsyncIterator[PeerConnection]:
        """Connect to a peer and keep the socket."""
        async with super().connect(address) as connection:
            transport = connection._socket.transport
            self.sockets.append(transport.get_extra_info("socket"))
            yield connection

    def bytes(self) -> int:
        """Return the bytes sent and received on all sockets."""
        total = 0
        for opened in self.sockets:
            info = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
            total += sum(struct.unpack_from("QQ", info, BYTES_ACKED_OFFSET))
        return total


def full_codec() -> Codec:
    """Return a codec that knows the messages of all plug-ins."""
    codec = Codec()
    for plugin in registry.discover_plugins():
        codec.register(*plugin.messages)
    return codec


def machine(*, fan_out_only: bool) -> StateMachine:
    """Return a state machine with all slices, or only those of an entry."""
    return StateMachine(
        slice_class()
        for plugin in registry.discover_plugins()
        for slice_class in plugin.slices
        if slice_class.fan_out or not fan_out_only
    )


def target(number: int) -> Target:
    """Return an engine; ids and addresses are as long as in production."""
    return Target(
        TargetId(f"engine-{number:05d}"),
        TargetKind.ENGINE,
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:8000",
        DataCentre(f"dc-{number % 8}"),
        Region(f"region-{number % 2}"),
        (MODEL,),
        incarnation=f"{number:032x}",
    )


def fill_targets(state: StateMachine, count: int, first: int = 0) -> None:
    """Announce ``count`` targets with homes at up to 370 entries."""
    for number in range(first, first + count):
        home = InstanceId(f"entry-{number % 370}")
        apply(state, AnnounceTarget(target(number), home))


def fill_organisations(state: StateMachine, count: int, keys: int = 1) -> None:
    """Add organisations with ``keys`` keys each."""
    for number in range(count):
        organisation = OrganisationId(f"organisation-{number:04d}")
        apply(state, PutOrganisation(Organisation(organisation)))
        for key in range(keys):
            record = Key(
                KeyId(f"key-{number:05d}-{key}"), organisation, KeyHash("f" * 64)
            )
            apply(state, GrantKey(record))


class Leader:
    """A leader that serves entries, without a replicated log."""

    def __init__(self, thread: LoopThread) -> None:
        self.thread = thread
        self.clock = Clock()
        self.codec = full_codec()
        self.member = FakeMember(machine(fan_out_only=True), self.clock, LEADER_ID)
        self.member.leadership_started_at = float("-inf")
        self.feed = thread.call(self._make_feed())
        self.member.machine.listen(self.feed.add)
        digests = LeaderDigests()
        digests.add(TokenUseMerger(self.codec, self.clock))
        self.sessions = EntrySessions(
            cast(ControlMember, self.member),
            self.feed,
            self.codec,
            self.clock,
            LEASE_SECONDS,
            digests,
        )
        self.handlers = Handlers()
        self.sessions.register(self.handlers)
        self.server = PeerServer(identity(LEADER_ID), self.codec, self.handlers)
        thread.call(self.server.start("127.0.0.1", 0))
        assert self.server._server is not None
        listener = next(iter(self.server._server.sockets))
        self.address = PeerAddress("127.0.0.1", listener.getsockname()[1])

    async def _make_feed(self) -> ChangeFeed:
        return ChangeFeed(self.codec, self.clock)


class Entries:
    """Entries that subscribe to a leader."""

    def __init__(self, thread: LoopThread, leader: Leader, count: int) -> None:
        self.thread = thread
        self.views: list[EntryView] = []
        self.dialers: list[RecordingDialer] = []
        self._tasks: list[asyncio.Task[None]] = []
        thread.call(self._start(leader, count))

    async def _start(self, leader: Leader, count: int) -> None:
        clock = Clock()
        for number in range(count):
            name = InstanceId(f"entry-{number}")
            view = EntryView(machine(fan_out_only=True), leader.codec, clock)
            handlers = Handlers()
            dialer = RecordingDialer(identity(name), leader.codec, handlers)
            digests = EntryDigests()
            digests.add(TokenUseChannel(_make_token_use(clock), leader.codec, clock))
            subscription = Subscription(
                view,
                LeaderLink(name, leader.codec),
                dialer,
                clock,
                ControlAddresses({LEADER_ID: str(leader.address)}),
                digests,
            )
            subscription.register(handlers)
            self.views.append(view)
            self.dialers.append(dialer)
            self._tasks.append(asyncio.create_task(subscription.run()))
        while not all(view.holds_lease() for view in self.views):  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)

    def bytes(self) -> int:
        """Return the bytes sent and received on connections to the leader."""
        return sum(dialer.bytes() for dialer in self.dialers)

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until every entry has applied at least a revision."""
        while any(view.revision < revision for view in self.views):  # noqa: ASYNC110
            await asyncio.sleep(0.001)


def identity(name: InstanceId) -> Identity:
    """Return a peer's identity in the cluster ``bench``."""
    return Identity("bench", name, b"secret")


def _make_token_use(clock: Clock) -> TokenUse:
    use = TokenUse()
    for number in range(ORGANISATION_COUNT):
        name = OrganisationId(f"organisation-{number:04d}")
        use.charge(name, 10_000.0, clock.monotonic())
    return use
