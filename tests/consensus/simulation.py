"""A simulated cluster of members: clocks, disks and network are scripted.

Everything follows from a seed.  The invariants are checked after each step,
so that a violation is reported where it arises.
"""

import heapq
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
)
from goldcrestyard.consensus.events import (
    AddLearner,
    Apply,
    Effect,
    Event,
    LoadSnapshot,
    Promote,
    Propose,
    Receive,
    Remove,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
    TruncateLog,
)
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.messages import Entry, EntryKind, Snapshot
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.saved import PersistentState, select_save_effects
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId, LogIndex, Term

TIMING = Timing(
    heartbeat=0.5,
    lease=2.0,
    election_timeout_min=2.0,
    election_timeout_max=2.4,
    drift=0.05,
)
"""The lease is as long as the election timeout allows, so that a fault in
its computation shows."""


RECOVERY_SECONDS = 20.0
"""Several elections may fail in a row; one takes up to about 4 s."""


@dataclass(frozen=True)
class Faults:
    """What goes wrong in a schedule; rates are per second."""

    name: str
    drop: float = 0.0
    duplicate: float = 0.0
    max_delay: float = 0.02
    crash_rate: float = 0.0
    partition_rate: float = 0.0
    pause_rate: float = 0.0
    slow_sync: float = 0.0
    drift: float = 0.0
    change_rate: float = 0.0
    wipe: bool = False
    idle: bool = False
    """Few proposals: a member that hears no leader keeps a current log, and
    only the lease's rules keep it from being elected."""
    members: int = 3
    spare: int = 0
    snapshot_entries: int = 8


@dataclass
class Disk:
    """What is synced; a crash loses everything else."""

    term: Term = Term(0)
    voted_for: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    def save(self, effect: Effect) -> None:
        match effect:
            case SaveVote(term=term, voted_for=voted_for):
                self.term, self.voted_for = term, voted_for
            case TruncateLog(first_removed=first):
                self.entries = [e for e in self.entries if e.index < first]
            case SaveEntries(entries=entries):
                self.entries.extend(entries)
            case SaveSnapshot(snapshot=snapshot, replaces_log=replaces):
                self.snapshot = snapshot
                self.entries = [
                    e for e in self.entries if e.index > snapshot.index and not replaces
                ]

    def load(self) -> PersistentState:
        return PersistentState(
            self.term, self.voted_for, self.snapshot, tuple(self.entries)
        )


@dataclass
class Node:
    """One instance; its member changes when the disk is lost."""

    instance: InstanceId
    member_id: MemberId
    disk: Disk
    rate: float
    offset: float
    core: Member | None = None
    incarnation: int = 1
    life: int = 0
    busy: bool = False
    paused: bool = False
    waiting: list[Event] = field(default_factory=list)
    state: int = 0
    applied: LogIndex = LogIndex(0)

    def clock(self, real: float) -> float:
        return self.offset + self.rate * real


class InvariantError(AssertionError):
    """A promise of the protocol is broken."""


class Simulation:
    """Runs one schedule."""

    def __init__(
        self, faults: Faults, seed: int, make_member: Callable[..., Member] = Member
    ) -> None:
        self.faults = faults
        self.random = random.Random(f"{faults.name}/{seed}")
        self.now = 0.0
        self._make_member = make_member
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0
        self._cut: set[tuple[InstanceId, InstanceId]] = set()
        self._delays: dict[tuple[InstanceId, InstanceId], float] = {}
        self._number = 0
        self.leader_by_term: dict[Term, MemberId] = {}
        self.committed: dict[LogIndex, Entry] = {}
        self.committed_in: dict[LogIndex, Term] = {}
        self.state_by_index: dict[LogIndex, int] = {}
        self.last_committed = LogIndex(0)
        self.chaos = True
        self.nodes: list[Node] = []
        for position in range(faults.members + faults.spare):
            instance = InstanceId(f"n{position}")
            rate = 1.0 + self.random.uniform(-faults.drift, faults.drift) / 2
            offset = self.random.uniform(0.0, 1000.0)
            node = Node(instance, MemberId(f"{instance}#1"), Disk(), rate, offset)
            self.nodes.append(node)
        voters = self.nodes[: faults.members]
        first = Configuration(
            tuple(
                MemberRecord(node.member_id, node.instance, "", True) for node in voters
            )
        )
        genesis = Entry(Term(1), LogIndex(1), EntryKind.CONFIGURATION, b"", first)
        for node in voters:
            node.disk.term = Term(1)
            node.disk.entries = [genesis]
        for node in self.nodes:
            self.boot(node)

    def change_rate(self, node: Node, rate: float) -> None:
        """Let a clock run faster or slower from now on."""
        node.offset += (node.rate - rate) * self.now
        node.rate = rate

    # Running.

    def at(self, time: float, action: Callable[..., None], *arguments: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (time, self._sequence, action, arguments))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self.now = until

    def run_schedule(self, chaos_seconds: float) -> None:
        """Break things, then heal everything and expect progress."""
        for rate, action in (
            (self.faults.crash_rate, self._crash_any),
            (self.faults.partition_rate, self._partition),
            (self.faults.pause_rate, self._pause_any),
            (self.faults.change_rate, self._change_members),
        ):
            if rate:
                self._repeat(rate, action)
        self.at(self.now, self._propose_again)
        self.run(chaos_seconds)
        self.chaos = False
        self.at(self.now, self._propose_again)
        self._cut.clear()
        for node in self.nodes:
            self._resume(node)
            self._reboot(node)
        before = self.last_committed
        deadline = self.now + RECOVERY_SECONDS
        while self.last_committed < before + 3:
            if self.now >= deadline:
                raise InvariantError("no progress after everything was healed")
            self.run(0.5)

    def _repeat(self, rate: float, action: Callable[[], None]) -> None:
        def again() -> None:
            if self.chaos:
                action()
                self.at(self.now + self.random.expovariate(rate), again)

        self.at(self.now + self.random.expovariate(rate), again)

    # Nodes.

    def boot(self, node: Node) -> None:
        node.life += 1
        node.busy = node.paused = False
        node.waiting.clear()
        node.state, node.applied = 0, LogIndex(0)
        saved = node.disk.load()
        node.core = self._make_member(
            node.member_id,
            saved,
            TIMING,
            random.Random(self.random.random()),
            node.clock(self.now),
            chunk_bytes=5,
        )
        if saved.snapshot is not None:
            self._load(node, saved.snapshot)
        self._arm(node)

    def crash(self, node: Node) -> None:
        node.core = None
        node.life += 1
        node.waiting.clear()

    def wipe(self, node: Node) -> None:
        """Lose the disk: the instance comes back as another member."""
        self.crash(node)
        node.disk = Disk()
        node.incarnation += 1
        node.member_id = MemberId(f"{node.instance}#{node.incarnation}")

    def deliver(self, node: Node, life: int, event: Event) -> None:
        if node.core is None or node.life != life:
            return
        if node.busy or node.paused:
            node.waiting.append(event)
        else:
            self._step(node, event)

    def _arm(self, node: Node) -> None:
        assert node.core is not None
        next_tick_at = node.core.next_tick_at
        if next_tick_at == float("inf"):
            return
        real = (next_tick_at - node.offset) / node.rate + 1e-6
        self.at(max(real, self.now), self._tick, node, node.life, next_tick_at)

    def _tick(self, node: Node, life: int, next_tick_at: float) -> None:
        if (
            node.core is not None
            and node.life == life
            and node.core.next_tick_at == next_tick_at
        ):
            self.deliver(node, life, Tick())

    def _step(self, node: Node, event: Event) -> None:
        core = node.core
        assert core is not None
        next_tick_at = core.next_tick_at
        effects = core.step(node.clock(self.now), event)
        self._check_step(node)
        to_save = select_save_effects(effects)
        if to_save and self.chaos and self.random.random() < self.faults.slow_sync:
            node.busy = True
            delay = self.random.uniform(0.0, 0.4)
            self.at(self.now + delay, self._synced, node, node.life, effects)
            # A crash during the sync leaves some of the writes.
            if self.random.random() < 0.1:
                kept = self.random.randrange(len(to_save) + 1)
                self.at(
                    self.now + delay / 2, self._crash_in_sync, node, node.life, effects,
                    kept,
                )  # fmt: skip
        else:
            self._perform(node, effects)
        if core.next_tick_at != next_tick_at or isinstance(event, Tick):
            self._arm(node)

    def _crash_in_sync(
        self, node: Node, life: int, effects: list[Effect], kept: int
    ) -> None:
        if node.life != life:
            return
        for effect in select_save_effects(effects)[:kept]:
            node.disk.save(effect)
        self.crash(node)
        self.at(self.now + self.random.uniform(0.05, 1.0), self._reboot, node)

    def _synced(self, node: Node, life: int, effects: list[Effect]) -> None:
        if node.core is None or node.life != life:
            return
        node.busy = False
        self._perform(node, effects)
        self._deliver_waiting(node)

    def _deliver_waiting(self, node: Node) -> None:
        waiting, node.waiting = node.waiting, []
        for event in waiting:
            self.deliver(node, node.life, event)

    def _resume(self, node: Node) -> None:
        if node.paused:
            node.paused = False
            self._deliver_waiting(node)

    def _perform(self, node: Node, effects: list[Effect]) -> None:
        for effect in select_save_effects(effects):
            node.disk.save(effect)
        for effect in effects:
            match effect:
                case Send(receiver=receiver, message=message):
                    self._send(node, receiver, message)
                case Apply(entries=entries):
                    for entry in entries:
                        self._apply(node, entry)
                    self._snapshot_if_due(node)
                case LoadSnapshot(snapshot=snapshot):
                    self._load(node, snapshot)

    # The state machine: a checksum of everything applied.

    def _apply(self, node: Node, entry: Entry) -> None:
        if entry.index != node.applied + 1:
            raise InvariantError(f"{node.instance} skipped to {entry.index}")
        assert node.core is not None
        known = self.committed.setdefault(entry.index, entry)
        earliest = self.committed_in.get(entry.index, node.core.term)
        self.committed_in[entry.index] = min(earliest, node.core.term)
        if known != entry:
            raise InvariantError(f"committed entry {entry.index} has changed")
        node.applied = entry.index
        node.state = zlib.crc32(entry.payload, node.state)
        self._check_state(node)
        self.last_committed = max(self.last_committed, entry.index)

    def _load(self, node: Node, snapshot: Snapshot) -> None:
        node.applied = snapshot.index
        node.state = int(snapshot.data)
        self._check_state(node)

    def _check_state(self, node: Node) -> None:
        state = self.state_by_index.setdefault(node.applied, node.state)
        if state != node.state:
            raise InvariantError(f"state machines differ at {node.applied}")

    def _snapshot_if_due(self, node: Node) -> None:
        core = node.core
        assert core is not None
        if node.applied - core.log.snapshot.index >= self.faults.snapshot_entries:
            taken = SnapshotTaken(node.applied, b"%d" % node.state)
            self.at(self.now + 0.01, self.deliver, node, node.life, taken)

    # Invariants.

    def _check_step(self, node: Node) -> None:
        core = node.core
        assert core is not None
        if core.role is Role.LEADER:
            known = self.leader_by_term.get(core.term)
            if known is None:
                self.leader_by_term[core.term] = core.id
                self._check_complete(core)
            elif known != core.id:
                raise InvariantError(f"two leaders in term {core.term}")
        self._check_lease()

    def _check_complete(self, core: Member) -> None:
        for index in range(core.log.base_index + 1, self.last_committed + 1):
            entry = self.committed.get(LogIndex(index))
            # A leader of an earlier term may win late, by delayed votes.
            if entry is None or self.committed_in[entry.index] >= core.term:
                continue
            if core.log.term_at(entry.index) != entry.term:
                raise InvariantError(f"new leader lacks committed entry {index}")

    def _check_lease(self) -> None:
        leaders = [n for n in self.nodes if n.core and n.core.role is Role.LEADER]
        if len(leaders) < 2:
            return
        for holder in leaders:
            core = holder.core
            assert core is not None
            if holder.clock(self.now) >= core.lease_expires_at:
                continue
            for other in leaders:
                assert other.core is not None
                if other.core.term > core.term:
                    raise InvariantError(
                        f"{other.instance} leads term {other.core.term} while "
                        f"{holder.instance} holds the lease of {core.term}"
                    )

    # Network.

    def cut(self, one: Node, other: Node) -> None:
        """Lose everything between two instances."""
        self.cut_one_way(one, other)
        self.cut_one_way(other, one)

    def cut_one_way(self, sender: Node, receiver: Node) -> None:
        self._cut.add((sender.instance, receiver.instance))

    def delay(self, sender: Node, receiver: Node, seconds: float) -> None:
        self._delays[sender.instance, receiver.instance] = seconds

    def _send(self, node: Node, receiver: MemberId, message: Any) -> None:
        target = next((n for n in self.nodes if n.member_id == receiver), None)
        if target is None or (node.instance, target.instance) in self._cut:
            return
        copies = 1
        max_delay = 0.005
        if self.chaos:
            if self.random.random() < self.faults.drop:
                return
            copies += self.random.random() < self.faults.duplicate
            max_delay = self.faults.max_delay
        event = Receive(node.member_id, message)
        fixed = self._delays.get((node.instance, target.instance), 0.0)
        for _ in range(copies):
            arrival = self.now + fixed + self.random.uniform(0.0005, max_delay)
            self.at(arrival, self._arrive, target, receiver, event)

    def _arrive(self, node: Node, receiver: MemberId, event: Event) -> None:
        if node.member_id == receiver:
            self.deliver(node, node.life, event)

    # Faults.

    def _victim(self) -> Node:
        """Return any node, the leader more often than others."""
        leader = self.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(self.nodes)

    def _crash_any(self) -> None:
        node = self._victim()
        if node.core is None:
            return
        wiped = [n for n in self.nodes if n.incarnation > 1]
        if self.faults.wipe and not wiped and self.random.random() < 0.5:
            self.wipe(node)
        else:
            self.crash(node)
        longest = self.random.choice((0.1, 4.0))
        self.at(self.now + self.random.uniform(0.02, longest), self._reboot, node)

    def _reboot(self, node: Node) -> None:
        if node.core is None:
            self.boot(node)

    def _pause_any(self) -> None:
        node = self._victim()
        node.paused = True
        self.at(self.now + self.random.uniform(0.5, 5.0), self._resume, node)

    def _partition(self) -> None:
        """Cut an instance off in one direction or both, or heal."""
        self._cut.clear()
        if self.random.random() < 0.3:
            return
        chosen = self._victim().instance
        others = [n.instance for n in self.nodes if n.instance != chosen]
        if self.random.random() < 0.5:
            # A single link: the majority still hears the leader.
            others = [self.random.choice(others)]
        outward, inward = self.random.choice(
            [(True, True), (True, True), (True, False), (False, True)]
        )
        for other in others:
            if outward:
                self._cut.add((chosen, other))
            if inward:
                self._cut.add((other, chosen))

    # Clients and operators.

    def leader(self) -> Node | None:
        led = [n for n in self.nodes if n.core and n.core.role is Role.LEADER]
        return max(led, key=lambda n: n.core.term if n.core else 0, default=None)

    def _propose_again(self) -> None:
        for node in self.nodes:
            if node.core is not None and node.core.role is Role.LEADER:
                self.submit(node, self._next_proposal())
        longest = 8.0 if self.faults.idle and self.chaos else 0.4
        self.at(self.now + self.random.uniform(0.05, longest), self._propose_again)

    def _next_proposal(self) -> Propose:
        self._number += 1
        count = self.random.choice((1, 1, 1, 5))
        return Propose(
            tuple(
                (self._number, b"%d.%d" % (self._number, part)) for part in range(count)
            )
        )

    def submit(self, node: Node, event: Event) -> None:
        self.deliver(node, node.life, event)

    def _change_members(self) -> None:
        node = self.leader()
        if node is None or node.core is None:
            return
        current = node.core.configuration
        other = self.random.choice(self.nodes)
        record = current.find(other.member_id)
        self._number += 1
        stale = [
            m.id
            for m in current.members
            if all(n.member_id != m.id for n in self.nodes)
        ]
        event: Event
        if stale:
            event = Remove(self._number, stale[0])
        elif record is None:
            member = MemberRecord(other.member_id, other.instance, "", False)
            event = AddLearner(self._number, member)
        elif not record.voter:
            event = Promote(self._number, other.member_id)
        elif len(current.voters) > 3:
            event = Remove(self._number, other.member_id)
        else:
            return
        self.submit(node, event)
