"""Deterministic simulation of a cluster of members.

Clocks, disks and network are simulated, and all faults follow from a seed.
The invariants of Raft are checked after each step, so that a violation is
reported where it arises.
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
    Replace,
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
from goldcrestyard.consensus.persistent_state import (
    PersistentState,
    select_save_effects,
)
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId, LogIndex, Term

TIMING = Timing(
    heartbeat=0.5,
    lease=2.0,
    election_timeout_min=2.0,
    election_timeout_max=2.4,
    drift=0.05,
)
"""The lease is as long as the election timeout allows, so that an error in
its computation violates an invariant."""


RECOVERY_SECONDS = 20.0
"""Time in seconds within which the cluster must make progress after the faults
have ended.  Several elections may fail in a row, each taking up to 4 s."""

CATCH_UP_SECONDS = 10.0
"""Time in seconds after that within which each member must have the entries
that were committed.  A member that is out of touch starts an election first
in the worst case."""


@dataclass(frozen=True)
class Faults:
    """Faults of one schedule, with their rates per second."""

    name: str
    drop_probability: float = 0.0
    duplicate_probability: float = 0.0
    max_delay: float = 0.02
    crash_rate: float = 0.0
    partition_rate: float = 0.0
    pause_rate: float = 0.0
    slow_sync_probability: float = 0.0
    drift: float = 0.0
    configuration_change_rate: float = 0.0
    wipe_disk: bool = False
    few_proposals: bool = False
    """With few proposals, the log of a member that receives nothing from the
    leader stays up to date, and only the refusal of votes during the lease
    keeps it from being elected."""
    members: int = 3
    spare_nodes: int = 0
    snapshot_entries: int = 8


@dataclass
class Disk:
    """Durable state of a node; a crash loses everything else."""

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
    """One instance, which becomes a new member when its disk is lost.

    ``run_number`` changes with each start and crash, so that events for an
    earlier run are dropped.  ``state`` is a checksum of the applied payloads.
    """

    instance: InstanceId
    member_id: MemberId
    disk: Disk
    clock_rate: float
    clock_offset: float
    core: Member | None = None
    incarnation: int = 1
    run_number: int = 0
    syncing: bool = False
    paused: bool = False
    pending_events: list[Event] = field(default_factory=list)
    state: int = 0
    applied: LogIndex = LogIndex(0)

    def clock(self, real: float) -> float:
        return self.clock_offset + self.clock_rate * real


class InvariantViolationError(AssertionError):
    """An invariant of the protocol is violated."""


class Simulation:
    """Runs a cluster under one schedule of faults, from a queue of events."""

    def __init__(
        self, faults: Faults, seed: int, make_member: Callable[..., Member] = Member
    ) -> None:
        self.faults = faults
        self.random = random.Random(f"{faults.name}/{seed}")
        self.now = 0.0
        self._make_member = make_member
        self._schedule: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._sequence = 0
        self._cut_links: set[tuple[InstanceId, InstanceId]] = set()
        self._delays: dict[tuple[InstanceId, InstanceId], float] = {}
        self._last_proposal_number = 0
        self.leader_by_term: dict[Term, MemberId] = {}
        self.committed: dict[LogIndex, Entry] = {}
        self.committed_in_term: dict[LogIndex, Term] = {}
        self.state_by_index: dict[LogIndex, int] = {}
        self.last_committed = LogIndex(0)
        self.inject_faults = True
        self.nodes: list[Node] = []
        for position in range(faults.members + faults.spare_nodes):
            instance = InstanceId(f"n{position}")
            rate = 1.0 + self.random.uniform(-faults.drift, faults.drift) / 2
            clock_offset = self.random.uniform(0.0, 1000.0)
            node = Node(instance, MemberId(f"{instance}#1"), Disk(), rate, clock_offset)
            self.nodes.append(node)
        voters = self.nodes[: faults.members]
        first = Configuration(
            tuple(
                MemberRecord(node.member_id, node.instance, "", True) for node in voters
            )
        )
        first_entry = Entry(Term(1), LogIndex(1), EntryKind.CONFIGURATION, b"", first)
        for node in voters:
            node.disk.term = Term(1)
            node.disk.entries = [first_entry]
        for node in self.nodes:
            self.start(node)

    def set_clock_rate(self, node: Node, rate: float) -> None:
        """Change the rate of a node's clock, without a step in its time."""
        node.clock_offset += (node.clock_rate - rate) * self.now
        node.clock_rate = rate

    # Running.

    def call_at(
        self, time: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._schedule, (time, self._sequence, action, arguments))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._schedule and self._schedule[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._schedule)
            action(*arguments)
        self.now = until

    def run_with_faults(self, fault_seconds: float) -> None:
        """Inject faults for a time, then end them all and expect progress."""
        for rate, action in (
            (self.faults.crash_rate, self._crash_random_node),
            (self.faults.partition_rate, self._change_partition),
            (self.faults.pause_rate, self._pause_random_node),
            (self.faults.configuration_change_rate, self._change_configuration),
        ):
            if rate:
                self._repeat_at_rate(rate, action)
        self.call_at(self.now, self._propose_repeatedly)
        self.run(fault_seconds)
        self.inject_faults = False
        self.call_at(self.now, self._propose_repeatedly)
        self._cut_links.clear()
        for node in self.nodes:
            self._resume(node)
            self._start_if_crashed(node)
        before = self.last_committed
        deadline = self.now + RECOVERY_SECONDS
        while self.last_committed < before + 3:
            if self.now >= deadline:
                raise InvariantViolationError("no progress after all faults have ended")
            self.run(0.5)
        self._wait_until_followed(self.last_committed)

    def _wait_until_followed(self, index: LogIndex) -> None:
        """Expect each member to apply the entries up to an index.

        A majority commits without the others, so progress of the cluster does
        not show that every follower is sent what it lacks.
        """
        deadline = self.now + CATCH_UP_SECONDS
        while behind := [node for node in self._members() if node.applied < index]:
            if self.now >= deadline:
                names = ", ".join(f"{n.instance} at {n.applied}" for n in behind)
                raise InvariantViolationError(f"not caught up to {index}: {names}")
            self.run(0.5)

    def _members(self) -> list[Node]:
        """Return the nodes in the configuration of the leader."""
        leader = self.leader()
        if leader is None or leader.core is None:
            return self.nodes
        configuration = leader.core.configuration
        return [node for node in self.nodes if configuration.find(node.member_id)]

    def _repeat_at_rate(self, rate: float, action: Callable[[], None]) -> None:
        def run_and_repeat() -> None:
            if self.inject_faults:
                action()
                self.call_at(self.now + self.random.expovariate(rate), run_and_repeat)

        self.call_at(self.now + self.random.expovariate(rate), run_and_repeat)

    # Nodes.

    def start(self, node: Node) -> None:
        node.run_number += 1
        node.syncing = node.paused = False
        node.pending_events.clear()
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
        self._schedule_tick(node)

    def crash(self, node: Node) -> None:
        node.core = None
        node.run_number += 1
        node.pending_events.clear()

    def wipe_disk(self, node: Node) -> None:
        """Crash a node and lose its disk: it restarts as a new member."""
        self.crash(node)
        node.disk = Disk()
        node.incarnation += 1
        node.member_id = MemberId(f"{node.instance}#{node.incarnation}")

    def deliver(self, node: Node, run_number: int, event: Event) -> None:
        if node.core is None or node.run_number != run_number:
            return
        if node.syncing or node.paused:
            node.pending_events.append(event)
        else:
            self._step(node, event)

    def _schedule_tick(self, node: Node) -> None:
        assert node.core is not None
        next_tick_at = node.core.next_tick_at
        if next_tick_at == float("inf"):
            return
        real = (next_tick_at - node.clock_offset) / node.clock_rate + 1e-6
        self.call_at(
            max(real, self.now), self._tick, node, node.run_number, next_tick_at
        )

    def _tick(self, node: Node, run_number: int, next_tick_at: float) -> None:
        if (
            node.core is not None
            and node.run_number == run_number
            and node.core.next_tick_at == next_tick_at
        ):
            self.deliver(node, run_number, Tick())

    def _step(self, node: Node, event: Event) -> None:
        core = node.core
        assert core is not None
        next_tick_at = core.next_tick_at
        effects = core.step(node.clock(self.now), event)
        self._check_step(node)
        to_save = select_save_effects(effects)
        if (
            to_save
            and self.inject_faults
            and self.random.random() < self.faults.slow_sync_probability
        ):
            node.syncing = True
            delay = self.random.uniform(0.0, 0.4)
            self.call_at(
                self.now + delay, self._finish_sync, node, node.run_number, effects
            )
            # A crash during the sync leaves some of the writes.
            if self.random.random() < 0.1:
                kept = self.random.randrange(len(to_save) + 1)
                self.call_at(
                    self.now + delay / 2,
                    self._crash_during_sync,
                    node,
                    node.run_number,
                    effects,
                    kept,
                )
        else:
            self._perform(node, effects)
        if core.next_tick_at != next_tick_at or isinstance(event, Tick):
            self._schedule_tick(node)

    def _crash_during_sync(
        self, node: Node, run_number: int, effects: list[Effect], kept: int
    ) -> None:
        if node.run_number != run_number:
            return
        for effect in select_save_effects(effects)[:kept]:
            node.disk.save(effect)
        self.crash(node)
        self.call_at(
            self.now + self.random.uniform(0.05, 1.0), self._start_if_crashed, node
        )

    def _finish_sync(self, node: Node, run_number: int, effects: list[Effect]) -> None:
        if node.core is None or node.run_number != run_number:
            return
        node.syncing = False
        self._perform(node, effects)
        self._deliver_pending(node)

    def _deliver_pending(self, node: Node) -> None:
        pending_events, node.pending_events = node.pending_events, []
        for event in pending_events:
            self.deliver(node, node.run_number, event)

    def _resume(self, node: Node) -> None:
        if node.paused:
            node.paused = False
            self._deliver_pending(node)

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

    # The state machine: a checksum of all applied payloads.

    def _apply(self, node: Node, entry: Entry) -> None:
        if entry.index != node.applied + 1:
            raise InvariantViolationError(f"{node.instance} skipped to {entry.index}")
        assert node.core is not None
        known = self.committed.setdefault(entry.index, entry)
        earliest = self.committed_in_term.get(entry.index, node.core.term)
        self.committed_in_term[entry.index] = min(earliest, node.core.term)
        if known != entry:
            raise InvariantViolationError(f"committed entry {entry.index} has changed")
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
            raise InvariantViolationError(f"state machines differ at {node.applied}")

    def _snapshot_if_due(self, node: Node) -> None:
        core = node.core
        assert core is not None
        if node.applied - core.log.snapshot.index >= self.faults.snapshot_entries:
            taken = SnapshotTaken(node.applied, b"%d" % node.state)
            self.call_at(self.now + 0.01, self.deliver, node, node.run_number, taken)

    # Invariants.

    def _check_step(self, node: Node) -> None:
        core = node.core
        assert core is not None
        if core.role is Role.LEADER:
            known = self.leader_by_term.get(core.term)
            if known is None:
                self.leader_by_term[core.term] = core.id
                self._check_leader_completeness(core)
            elif known != core.id:
                raise InvariantViolationError(f"two leaders in term {core.term}")
        self._check_lease()

    def _check_leader_completeness(self, core: Member) -> None:
        for index in range(core.log.base_index + 1, self.last_committed + 1):
            entry = self.committed.get(LogIndex(index))
            # Delayed votes may elect a leader of an earlier term only now;
            # it need not have entries committed in its own term or later.
            if entry is None or self.committed_in_term[entry.index] >= core.term:
                continue
            if core.log.term_at(entry.index) != entry.term:
                raise InvariantViolationError(
                    f"new leader lacks committed entry {index}"
                )

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
                    raise InvariantViolationError(
                        f"{other.instance} leads term {other.core.term} while "
                        f"{holder.instance} holds the lease of {core.term}"
                    )

    # Network.

    def cut(self, one: Node, other: Node) -> None:
        """Drop all messages between two instances, in both directions."""
        self.cut_one_way(one, other)
        self.cut_one_way(other, one)

    def cut_one_way(self, sender: Node, receiver: Node) -> None:
        self._cut_links.add((sender.instance, receiver.instance))

    def delay(self, sender: Node, receiver: Node, seconds: float) -> None:
        self._delays[sender.instance, receiver.instance] = seconds

    def _send(self, node: Node, receiver: MemberId, message: Any) -> None:
        target = next((n for n in self.nodes if n.member_id == receiver), None)
        if target is None or (node.instance, target.instance) in self._cut_links:
            return
        copies = 1
        max_delay = 0.005
        if self.inject_faults:
            if self.random.random() < self.faults.drop_probability:
                return
            copies += self.random.random() < self.faults.duplicate_probability
            max_delay = self.faults.max_delay
        event = Receive(node.member_id, message)
        fixed = self._delays.get((node.instance, target.instance), 0.0)
        for _ in range(copies):
            arrival = self.now + fixed + self.random.uniform(0.0005, max_delay)
            self.call_at(arrival, self._arrive, target, receiver, event)

    def _arrive(self, node: Node, receiver: MemberId, event: Event) -> None:
        if node.member_id == receiver:
            self.deliver(node, node.run_number, event)

    # Faults.

    def _random_node(self) -> Node:
        """Return a random node, with a higher probability for the leader."""
        leader = self.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(self.nodes)

    def _crash_random_node(self) -> None:
        node = self._random_node()
        if node.core is None:
            return
        wiped = [n for n in self.nodes if n.incarnation > 1]
        if self.faults.wipe_disk and not wiped and self.random.random() < 0.5:
            self.wipe_disk(node)
        else:
            self.crash(node)
        max_delay_seconds = self.random.choice((0.1, 4.0))
        self.call_at(
            self.now + self.random.uniform(0.02, max_delay_seconds),
            self._start_if_crashed,
            node,
        )

    def _start_if_crashed(self, node: Node) -> None:
        if node.core is None:
            self.start(node)

    def _pause_random_node(self) -> None:
        node = self._random_node()
        node.paused = True
        self.call_at(self.now + self.random.uniform(0.5, 5.0), self._resume, node)

    def _change_partition(self) -> None:
        """Replace the present partition by another one, or by none.

        A node loses its links to one or all others, in one direction or both.
        """
        self._cut_links.clear()
        if self.random.random() < 0.3:
            return
        chosen = self._random_node().instance
        others = [n.instance for n in self.nodes if n.instance != chosen]
        if self.random.random() < 0.5:
            # With a single link cut, the majority still reaches the leader.
            others = [self.random.choice(others)]
        outward, inward = self.random.choice(
            [(True, True), (True, True), (True, False), (False, True)]
        )
        for other in others:
            if outward:
                self._cut_links.add((chosen, other))
            if inward:
                self._cut_links.add((other, chosen))

    # Clients and operators.

    def leader(self) -> Node | None:
        led = [n for n in self.nodes if n.core and n.core.role is Role.LEADER]
        return max(led, key=lambda n: n.core.term if n.core else 0, default=None)

    def _propose_repeatedly(self) -> None:
        for node in self.nodes:
            if node.core is not None and node.core.role is Role.LEADER:
                self.submit(node, self._next_proposal())
        max_delay_seconds = (
            8.0 if self.faults.few_proposals and self.inject_faults else 0.4
        )
        self.call_at(
            self.now + self.random.uniform(0.05, max_delay_seconds),
            self._propose_repeatedly,
        )

    def _next_proposal(self) -> Propose:
        self._last_proposal_number += 1
        count = self.random.choice((1, 1, 1, 5))
        return Propose(
            tuple(
                (
                    self._last_proposal_number,
                    b"%d.%d" % (self._last_proposal_number, part),
                )
                for part in range(count)
            )
        )

    def submit(self, node: Node, event: Event) -> None:
        self.deliver(node, node.run_number, event)

    def _change_configuration(self) -> None:
        node = self.leader()
        if node is None or node.core is None:
            return
        current = node.core.configuration
        other = self.random.choice(self.nodes)
        record = current.find(other.member_id)
        self._last_proposal_number += 1
        stale = [
            m.id
            for m in current.members
            if all(n.member_id != m.id for n in self.nodes)
        ]
        voters = set(current.voters)
        caught_up = [
            m.id
            for m in current.members
            if not m.voter and node.core.has_caught_up(node.clock(self.now), m.id)
        ]
        # Voters whose disk is lost go first, also for a learner that copies.
        old = next((m for m in stale if m in voters), None)
        successors = caught_up
        if old is not None:
            successors = [
                m.id
                for m in current.members
                if not m.voter and node.core.has_answered(node.clock(self.now), m.id)
            ]
        event: Event
        if successors and self.random.random() < 0.5:
            event = Replace(
                self._last_proposal_number,
                old or self.random.choice(sorted(voters)),
                self.random.choice(successors),
            )
        elif stale:
            event = Remove(self._last_proposal_number, stale[0])
        elif record is None:
            member = MemberRecord(other.member_id, other.instance, "", False)
            event = AddLearner(self._last_proposal_number, member)
        elif not record.voter:
            event = Promote(self._last_proposal_number, other.member_id)
        elif len(current.voters) > 3:
            event = Remove(self._last_proposal_number, other.member_id)
        else:
            return
        self.submit(node, event)
