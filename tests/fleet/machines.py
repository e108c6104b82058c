"""Machines with control members on a simulated network, for ``losses``.

Processes are killed, lose power at any disk operation or message, and come
back on the disk that is left.  Links are cut, slow or lossy; disks are slow,
full or refuse writes.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from concurrent.futures import Executor, Future
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from typing import Any

from goldcrestyard.consensus.bootstrap import FoundingRule
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.link import Dialer
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.assembly.commands import (
    CompleteRetirement,
    JoinCluster,
    JoinNoted,
    MachinesSnapshot,
    NameMachine,
    RetireMachine,
)
from goldcrestyard.fleet.assembly.joining import ClusterJoiner
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import NoAnswer
from tests.fakes.files import Crash, Fault, MemoryFiles, Unsynced
from tests.fakes.member_network import MemberNetwork

TIMING = Timing(0.1, 0.5, 0.62, 0.95, 0.05, 0.53)
"""Timing of the members of a self-assembling deployment."""

CONNECT_ATTEMPTS_SECONDS = (0.0, 1.0, 3.0)
"""Times at which the first packet of a connection is sent, and at which the
attempt is given up."""

LARGE_MESSAGE_BYTES = 4096
"""Size from which messages to a machine follow each other on its link."""

MAX_SEEDS = 3


@dataclass(frozen=True)
class Link:
    """Condition of the network between a machine and all others."""

    cut_in: bool = False
    cut_out: bool = False
    latency_seconds: float = 0.0
    bytes_per_second: float = float("inf")
    packet_loss: float = 0.0


class DiskExecutor(Executor):
    """Does the disk work of one process, after the time that it takes.

    A crash at a disk operation takes the machine's power at that moment.
    """

    def __init__(self, machine: "Machine") -> None:
        self._machine = machine
        self._number = machine.number

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Any:
        future: Future[Any] = Future()

        def work() -> None:
            machine = self._machine
            if future.cancelled() or self._number != machine.number:
                return
            machine.disk_work = None
            try:
                future.set_result(fn(*args, **kwargs))
            except Exception as error:
                future.set_exception(error)
            except Crash:
                assert machine.on_crash is not None
                machine.on_crash()

        seconds = self._machine.disk_seconds
        if seconds:
            self._machine.disk_work = partial(fn, *args, **kwargs)
            asyncio.get_running_loop().call_later(seconds, work)
        else:
            work()
        return future


@dataclass
class Machine:
    """A machine at an address, with its disk and perhaps a process."""

    name: str
    files: MemoryFiles = field(default_factory=MemoryFiles)
    number: int = 0
    """Grows with each start and each end of a process."""
    has_power: bool = True
    runs: bool = False
    """Whether a process runs or starts."""
    disk_seconds: float = 0.0
    disk_work: Callable[[], object] | None = None
    """Work of the disk that has begun and takes ``disk_seconds``."""
    link: Link = Link()
    member: ControlMember | None = None
    manager: MembershipManager | None = None
    on_crash: Callable[[], None] | None = None
    started_at: float = 0.0
    ending: asyncio.Task[None] | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def interrupt_disk_work(self, random_source: random.Random) -> None:
        """Do a part of the work that the end of the process interrupts."""
        work, self.disk_work = self.disk_work, None
        if work is None:
            return
        last = len(self.files.operations) + random_source.randrange(1, 6)
        self.files.fault = Fault(last, crash_after=True)
        with suppress(Crash, Exception):
            work()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class _Connection:
    """A connection between two processes; it ends with either."""

    def __init__(self, site: "Site", local: Machine, remote: Machine) -> None:
        self.peer = InstanceId(local.name)
        self.closed = False
        self._site = site
        self._local, self._remote = local, remote
        self._numbers = (local.number, remote.number)
        site.connections += 1
        self._number = site.connections

    async def request(self, message: object, timeout: float) -> object:
        if self.closed:
            return NoAnswer("connection is closed")
        site = self._site
        data = site.codec.encode(message)
        answer: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._carry(data, answer))
        site.deliveries.add(task)
        task.add_done_callback(site.record_delivery)
        try:
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError:
            self.closed = True
            return NoAnswer("timeout")

    async def _carry(self, data: bytes, answer: asyncio.Future[object]) -> None:
        site, local, remote = self._site, self._local, self._remote
        if not await site.carry(local, remote, len(data), self._number):
            return
        reply: object = NoAnswer("connection reset")
        if remote.number == self._numbers[1]:
            site.count_message(remote)
            if remote.number != self._numbers[1]:
                return
            message = site.codec.decode(data)
            handler = site.handlers_by_instance[remote.name].find(message)
            assert handler is not None
            reply = await handler(message, self)  # type: ignore[arg-type]
            if remote.number != self._numbers[1]:
                return
            reply = site.codec.decode(site.codec.encode(reply))
        else:
            self.closed = True
        delivered = await site.carry(remote, local, 0, self._number)
        if delivered and local.number == self._numbers[0] and not answer.done():
            answer.set_result(reply)


class _Dialer:
    def __init__(self, site: "Site", local: Machine) -> None:
        self._site = site
        self._local = local

    @asynccontextmanager
    async def connect(self, address: PeerAddress) -> AsyncIterator[_Connection]:
        site, local = self._site, self._local
        number = local.number
        for attempt, next_attempt in pairwise(CONNECT_ATTEMPTS_SECONDS):
            remote = site.machines_by_name.get(address.host)
            sent_at = asyncio.get_running_loop().time()
            if remote is not None and await site.carry(local, remote, 0, 0):
                if number != local.number:
                    break
                if remote.member is None:
                    raise PeerUnavailableError(f"{remote.name} refuses connections")
                connection = _Connection(site, local, remote)
                try:
                    yield connection
                finally:
                    connection.closed = True
                return
            elapsed = asyncio.get_running_loop().time() - sent_at
            await asyncio.sleep(max(0.0, next_attempt - attempt - elapsed))
        raise PeerUnavailableError(f"{address.host} does not answer")


class Site(MemberNetwork):
    """The machines, and what happens to them."""

    def __init__(
        self,
        founders: list[str],
        clock: Clock,
        wanted_voters: int,
        seed: int,
        **options: Any,
    ) -> None:
        super().__init__(
            founders,
            clock,
            founding_rule=FoundingRule.MAJORITY,
            timing=TIMING,
            slices=(OrganisationsSlice, MachinesSlice),
            messages=(
                JoinCluster,
                JoinNoted,
                NameMachine,
                RetireMachine,
                CompleteRetirement,
                MachinesSnapshot,
            ),
            **options,
        )
        self.wanted_voters = wanted_voters
        self.machines_by_name: dict[str, Machine] = {}
        self.deliveries: set[asyncio.Task[None]] = set()
        self.failures: list[str] = []
        self._messages_left: dict[str, int] = {}
        self._link_free_at: dict[str, float] = {}
        self._earliest: dict[tuple[int, str], float] = {}
        self._random = random.Random(seed)
        self._packets = random.Random(seed)

    # The network.

    def make_dialer(self, name: str) -> Dialer:
        dialer = _Dialer(self, self.machines_by_name[name])
        return dialer  # type: ignore[return-value]

    def make_executor(self, name: str) -> Executor:
        return DiskExecutor(self.machines_by_name[name])

    async def carry(
        self, sender: Machine, receiver: Machine, size: int, connection: int
    ) -> bool:
        """Delay a message; return whether it reaches a machine with power."""
        links = (sender.link, receiver.link)
        throughput = min(self.bytes_per_second, *(k.bytes_per_second for k in links))
        seconds = self.latency_seconds + sum(k.latency_seconds for k in links)
        loss = max(self.packet_loss, *(link.packet_loss for link in links))
        now = asyncio.get_running_loop().time()
        if size >= LARGE_MESSAGE_BYTES and throughput < float("inf"):
            # The connections share the link; small messages go in between.
            free_at = max(now, self._link_free_at.get(receiver.name, 0.0))
            free_at += size / throughput
            self._link_free_at[receiver.name] = free_at
            seconds += free_at - now
        else:
            seconds += size / throughput
        if loss:
            seconds += self._seconds_lost(size, loss)
        if connection:
            # A connection delivers in order.
            key = (connection, receiver.name)
            seconds = max(seconds, self._earliest.get(key, 0.0) - now)
            self._earliest[key] = now + seconds
        if sender.link.cut_out or receiver.link.cut_in:
            return False
        await asyncio.sleep(seconds)
        is_cut = sender.link.cut_out or receiver.link.cut_in
        return receiver.has_power and not is_cut

    def record_delivery(self, task: asyncio.Task[None]) -> None:
        """Forget a delivery; an error in a handler is a finding."""
        self.deliveries.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(f"a handler failed: {task.exception()!r}")

    def count_message(self, receiver: Machine) -> None:
        """Take a machine's power at a message, if that is due."""
        left = self._messages_left.get(receiver.name, 0)
        if left:
            self._messages_left[receiver.name] = left - 1
            if left == 1 and receiver.on_crash is not None:
                receiver.on_crash()

    # The machines.

    async def begin(self, name: str, *, first_start: bool = False) -> None:
        """Start a machine's process; the machine is new unless it is known."""
        machine = self.machines_by_name.setdefault(name, Machine(name))
        number = machine.number
        if machine.ending is not None:
            await machine.ending
        if machine.runs or machine.number != number:
            return
        machine.has_power = machine.runs = True
        machine.number += 1
        machine.started_at = self.clock.monotonic()
        self.files_by_instance[name] = machine.files
        machine.spawn(self._run_process(machine, first_start))

    async def _run_process(self, machine: Machine, first_start: bool) -> None:
        name = machine.name
        try:
            member = await self.start(name, self.names if first_start else [])
        except Exception as error:  # Any error is a finding.
            self.failures.append(f"{name} does not start: {error!r}")
            return
        manager = MembershipManager(member, self.wanted_voters, self.clock)
        manager.register(self.handlers_by_instance[name])
        others = [n for n in self.machines_by_name if n != name]
        seeds = self.names if first_start else sorted(others)[-MAX_SEEDS:]
        joiner = ClusterJoiner(
            member,
            f"{name}:1",
            f"machine-{name}",
            ControlAddresses({InstanceId(n): f"{n}:1" for n in seeds}),
            self.make_dialer(name),  # type: ignore[arg-type]
            manager.record_join,
        )
        machine.member, machine.manager = member, manager
        machine.spawn(while_leading(member, "keep", manager.run))
        machine.spawn(joiner.run())
        machine.spawn(self._watch(machine, member))

    async def _watch(self, machine: Machine, member: ControlMember) -> None:
        try:
            await member.wait_for_failure()
        except Exception as error:
            self.failures.append(f"{machine.name} failed: {error!r}")

    def kill(self, machine: Machine) -> None:
        """End the process; its files stay as they are."""
        machine.interrupt_disk_work(self._random)
        machine.files = machine.files.after_kill()
        self._end(machine)

    def lose_power(self, machine: Machine, unsynced: Unsynced) -> None:
        """End the process, and lose what was not synced."""
        machine.interrupt_disk_work(self._random)
        machine.files = machine.files.after_power_loss(self._random, unsynced)
        machine.has_power = False
        self._end(machine)

    def take_away(self, machine: Machine) -> None:
        """Remove a machine for good, with its disk."""
        machine.has_power = False
        self._end(machine)
        del self.machines_by_name[machine.name]

    def _end(self, machine: Machine) -> None:
        machine.number += 1
        machine.runs = False
        machine.disk_work = None
        machine.on_crash = None
        self._messages_left.pop(machine.name, None)
        machine.member = machine.manager = None
        member = self.running.pop(machine.name, None)
        tasks = tuple(machine.tasks)
        machine.tasks.clear()
        for task in tasks:
            task.cancel()
        if member is not None or tasks:
            stop = _stop(member, tasks, machine.ending)
            machine.ending = asyncio.create_task(stop)

    def crash_at_operation(
        self, machine: Machine, number: int, *, after: bool, crash: Callable[[], None]
    ) -> None:
        """Call a function at a later disk operation, which takes the power."""
        machine.on_crash = crash
        at = len(machine.files.operations) + number
        machine.files.fault = Fault(at, crash_before=not after, crash_after=after)

    def crash_at_message(
        self, machine: Machine, number: int, crash: Callable[[], None]
    ) -> None:
        """Call a function when the n-th message from now arrives."""
        machine.on_crash = crash
        self._messages_left[machine.name] = number

    @property
    def holders(self) -> list[Machine]:
        """The machines whose members hold the leader's lease."""
        return [
            machine
            for machine in self.machines_by_name.values()
            if machine.member is not None and machine.member.holds_lease()
        ]

    async def close(self) -> None:
        for machine in list(self.machines_by_name.values()):
            self._end(machine)
            if machine.ending is not None:
                await machine.ending
        for task in self.deliveries:
            task.cancel()
        await asyncio.gather(*self.deliveries, return_exceptions=True)
        await super().close()


async def _stop(
    member: ControlMember | None,
    tasks: tuple[asyncio.Task[None], ...],
    earlier: asyncio.Task[None] | None,
) -> None:
    if earlier is not None:
        await earlier
    await asyncio.gather(*tasks, return_exceptions=True)
    if member is not None:
        await member.stop()
