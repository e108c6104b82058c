"""Control members in one process, connected by a simulated network.

The network delays messages, cuts links and silences connections; the
members' files are kept in memory across restarts.
"""

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable
from concurrent.futures import Executor, Future
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.link import Dialer
from goldcrestyard.consensus.messages import Entry
from goldcrestyard.consensus.records import LoggedCommand
from goldcrestyard.consensus.results import ProposalResult
from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, OrganisationId
from goldcrestyard.core.records import Organisation
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.plugins.control.apps import ControlConfig
from goldcrestyard.plugins.organisations.apps import OrganisationsConfig
from goldcrestyard.plugins.organisations.commands import PutOrganisation
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.state.slices import Slice
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, NoAnswer
from goldcrestyard.wire.messages import MESSAGES
from tests.fakes.files import MemoryFiles

LATENCY_SECONDS = 0.005
WAIT_SECONDS = 60.0

PACKET_BYTES = 6_000
WINDOW_PACKETS = 32
RETRANSMISSION_SECONDS = 0.2
"""Size of a packet, number of packets that are sent without waiting for the
first, and the time after which the lost ones of these are repeated.  With them
a message is delayed about as often and as long as on the bench's lossy links.
"""


class InlineExecutor(Executor):
    """Runs work in the calling thread.

    A paused clock would advance while another thread did the work.
    """

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Any:
        future: Future[Any] = Future()
        try:
            future.set_result(fn(*args, **kwargs))
        except Exception as error:
            future.set_exception(error)
        return future


class _Connection:
    """The client's side of a simulated connection."""

    def __init__(self, network: "MemberNetwork", local: str, remote: str) -> None:
        self.peer = InstanceId(local)
        self.closed = False
        self._network = network
        self._remote = remote
        network.connections += 1
        self._number = network.connections

    async def request(self, message: object, timeout: float) -> object:
        try:
            async with asyncio.timeout(timeout):
                return await self._request(message)
        except TimeoutError:
            return NoAnswer("timeout")

    async def _request(self, message: object) -> object:
        network, local, remote = self._network, str(self.peer), self._remote
        if self._number <= network.last_silenced_connection:
            await asyncio.get_running_loop().create_future()
        data = network.codec.encode(message)
        await network.deliver(local, remote, len(data), self._number)
        handlers = network.handlers_by_instance[remote]
        decoded = network.codec.decode(data)
        handler = handlers.find(decoded)
        assert handler is not None
        answer = await handler(decoded, self)  # type: ignore[arg-type]
        await network.deliver(remote, local, 0, self._number)
        return network.codec.decode(network.codec.encode(answer))


class _Dialer:
    def __init__(self, network: "MemberNetwork", local: str) -> None:
        self._network = network
        self._local = local

    @asynccontextmanager
    async def connect(self, address: PeerAddress) -> AsyncIterator[_Connection]:
        remote = address.host
        if remote not in self._network.running:
            raise PeerUnavailableError(f"{remote} does not run")
        yield _Connection(self._network, self._local, remote)


class MemberNetwork:
    """Starts, stops and disconnects members, and keeps their files."""

    def __init__(self, names: list[str], clock: Clock, **options: Any) -> None:
        self.names = names
        self.clock = clock
        self.slices: tuple[type[Slice], ...] = options.pop(
            "slices", (OrganisationsSlice,)
        )
        self.codec = Codec()
        self.codec.register(
            *options.pop("messages", ()),
            *MESSAGES,
            LoggedCommand,
            *ControlConfig.messages,
            *OrganisationsConfig.messages,
        )
        self.options = options
        self.cut_links: set[tuple[str, str]] = set()
        self.connections = 0
        self.last_silenced_connection = 0
        self.latency_seconds = LATENCY_SECONDS
        self.bytes_per_second = float("inf")
        """Throughput of each connection."""
        self.throughput_by_receiver: dict[str, float] = {}
        """Bytes per second of the connections to single members."""
        self.shared_bytes_per_second = float("inf")
        """Throughput of all connections to a member together, in order."""
        self._link_free_at: dict[str, float] = {}
        self.bytes_by_receiver: Counter[str] = Counter()
        self.packet_loss = 0.0
        """Share of packets that are lost.  As with TCP, a connection delivers
        in order and repeats a lost packet after a time-out."""
        self._packets = random.Random(7)
        self._delivered_at: dict[tuple[int, str], float] = {}
        self.running: dict[str, ControlMember] = {}
        self.feeds_by_instance: dict[str, ChangeFeed] = {}
        self.handlers_by_instance: dict[str, Handlers] = {}
        self.files_by_instance: dict[str, MemoryFiles] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="goldcrestyard-")

    def make_dialer(self, name: str) -> Dialer:
        return _Dialer(self, name)  # type: ignore[return-value]

    def make_executor(self, _: str) -> Executor:
        return InlineExecutor()

    async def deliver(
        self, sender: str, receiver: str, size: int = 0, connection: int = 0
    ) -> None:
        """Delay a message by its size in bytes, or wait for ever if lost."""
        self.bytes_by_receiver[receiver] += size
        throughput = self.throughput_by_receiver.get(receiver, self.bytes_per_second)
        now = asyncio.get_running_loop().time()
        free_at = max(now, self._link_free_at.get(receiver, 0.0))
        free_at += size / self.shared_bytes_per_second
        self._link_free_at[receiver] = free_at
        seconds = self.latency_seconds + size / throughput + free_at - now
        if self.packet_loss:
            seconds += self._seconds_lost(size, self.packet_loss)
            earliest = self._delivered_at.get((connection, receiver), 0.0)
            seconds = max(seconds, earliest - now)
            self._delivered_at[connection, receiver] = now + seconds
        await asyncio.sleep(seconds)
        if (sender, receiver) in self.cut_links or receiver not in self.running:
            await asyncio.get_running_loop().create_future()

    def _seconds_lost(self, size: int, packet_loss: float) -> float:
        """Return the delay of a message by lost packets."""
        seconds = 0.0
        packets = 1 + size // PACKET_BYTES
        while packets > 0:
            in_window = min(packets, WINDOW_PACKETS)
            while self._packets.random() > (1 - packet_loss) ** in_window:
                seconds += RETRANSMISSION_SECONDS
                in_window = 1
            packets -= WINDOW_PACKETS
        return seconds

    def isolate(self, name: str) -> None:
        """Cut all links of a member in both directions."""
        all_names = [*self.names, *self.running]
        self.cut_links |= {(name, other) for other in all_names if other != name}
        self.cut_links |= {(other, name) for other in all_names if other != name}

    def log_entries(self, member: ControlMember) -> tuple[Entry, ...]:
        """Return the entries in a member's log."""
        core = member._core
        assert core is not None
        return core.log.entries_between(
            LogIndex(core.log.base_index + 1), core.log.last_index
        )

    def silence_open(self) -> None:
        """Lose all messages on the present connections; new ones work."""
        self.last_silenced_connection = self.connections

    def heal(self) -> None:
        """Restore all cut links."""
        self.cut_links.clear()

    async def start(
        self, name: str, configured_members: list[str] | None = None
    ) -> ControlMember:
        """Start a member; by default it knows all members' addresses."""
        codec = self.codec
        machine = StateMachine([slice_class() for slice_class in self.slices])
        feed = ChangeFeed(codec, self.clock)
        member = ControlMember(
            InstanceId(name),
            Path(self._folder.name) / name,
            machine,
            codec,
            self.clock,
            self.make_dialer(name),
            {
                InstanceId(n): f"{n}:1"
                for n in (
                    self.names if configured_members is None else configured_members
                )
            },
            own_address=f"{name}:1",
            files=self.files_by_instance.setdefault(name, MemoryFiles()),
            make_executor=lambda: self.make_executor(name),
            random_source=random.Random(name),
            **self.options,
        )
        machine.listen(feed.add)
        member.add_restore_listener(feed.reset)
        self.feeds_by_instance[name] = feed
        handlers = self.handlers_by_instance[name] = Handlers()
        member.register(handlers)
        self.running[name] = member
        await member.start()
        return member

    async def start_all(self) -> None:
        for name in self.names:
            await self.start(name)

    async def stop(self, name: str, *, lose_disk: bool = False) -> None:
        """Stop a member as a crash does: unsynced data is lost."""
        member = self.running.pop(name)
        await member.stop()
        self.files_by_instance[name].crash(random.Random(name))
        if lose_disk:
            del self.files_by_instance[name]

    async def close(self) -> None:
        for name in list(self.running):
            await self.stop(name)
        self._folder.cleanup()

    @property
    def leaders(self) -> list[ControlMember]:
        return [m for m in self.running.values() if m.holds_lease()]

    async def leader(self, *, but: ControlMember | None = None) -> ControlMember:
        """Wait for a member other than ``but`` to hold the leader's lease."""
        await self.wait(lambda: any(m is not but for m in self.leaders), "a leader")
        return next(m for m in self.leaders if m is not but)

    async def wait(
        self, condition: Callable[[], bool], what: str, poll_seconds: float = 0.05
    ) -> None:
        deadline = self.clock.monotonic() + WAIT_SECONDS
        while not condition():
            if self.clock.monotonic() > deadline:
                raise TimeoutError(f"waited for {what}")
            await asyncio.sleep(poll_seconds)

    async def wait_until_converged(self) -> None:
        """Wait until all running members know the same organisations."""

        def same() -> bool:
            return len({organisation_ids(m) for m in self.running.values()}) == 1

        await self.wait(same, "the same organisations on all running members")


def organisation_ids(member: ControlMember) -> tuple[str, ...]:
    """Return the sorted ids of the organisations in a member's state."""
    return tuple(sorted(member.machine.get(OrganisationsSlice).organisations_by_id))


async def put_organisation(member: ControlMember, name: str) -> ProposalResult:
    """Propose a ``PutOrganisation`` command to a member."""
    command = PutOrganisation(Organisation(OrganisationId(name)))
    return await member.propose(command, "test", CorrelationId(""))
