"""A model of the membership changes that is searched as a whole.

It plays losses of disks, silences, returns, joins, orders to empty a machine
and changes of the leader at every step of the real policy, breadth first, and
checks each state.  Only disks, silence and commits are modelled: a member has
stored the latest committed configuration or not, and a leader knows of a
member what its last answer said.  All machines have the same address, as a
successor may take that of a machine that is gone.

A lost disk counts towards the budget until its successor has come and had
time to catch up.  A machine that was told empty does not count.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from functools import cache
from itertools import combinations
from typing import Any, NamedTuple

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
    VoterChange,
    has_quorum,
)
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.membership import (
    LOST_LEARNER_SECONDS,
    LOST_VOTER_SECONDS,
    Add,
    Drop,
    Joiner,
    MemberFacts,
    MembershipChange,
    Promote,
    Replace,
    has_enough_sound_voters,
    may_retire,
    next_membership_change,
)


class Power(IntEnum):
    """State of a machine and of its disk."""

    UP = 0
    FROZEN = 1
    """Frozen or cut off.  It comes back with its disk."""
    WIPED = 2
    """Lost its disk, and comes back on an empty one."""
    GONE = 3
    """Lost for good with its disk."""


UP = (Power.UP,)
SOUND = (Power.UP, Power.FROZEN)


class Silence(IntEnum):
    """How long the leader has had no answer from a member."""

    NONE = 0
    MOMENT = 1
    LOST_VOTER = 2
    LOST_LEARNER = 3


SECONDS = (0.1, 1.0, LOST_VOTER_SECONDS + 0.1, LOST_LEARNER_SECONDS + 0.1)
"""Time without an answer, by ``Silence``."""


class Stored(IntEnum):
    """What a member's disk has of the log."""

    STALE = 0
    COMMITTED = 1
    """The latest committed configuration, and so everything before it."""
    LATEST = 2
    """Also the configuration that is not yet committed."""


STALE, COMMITTED, LATEST = Stored


class Order(IntEnum):
    """How far the emptying of a machine is."""

    NONE = 0
    ACCEPTED = 1
    TOLD = 2
    """The operator has been told that the machine may be taken away."""


class Machine(NamedTuple):
    """A machine and its present disk."""

    power: Power = Power.UP
    silence: Silence = Silence.NONE
    stored: Stored = Stored.STALE
    order: Order = Order.NONE
    old_silence: Silence = Silence.NONE
    """Silence of the member ids that the machine had on disks that it lost."""
    fresh: bool = False
    """Whether it started on an empty disk and had no time to catch up yet."""


class Slot(NamedTuple):
    """A member of a configuration."""

    machine: int
    age: int
    """Number of disks that the machine has lost since it was this member."""
    voter: bool
    change: VoterChange = VoterChange.NONE


Slots = tuple[Slot, ...]


@cache
def instance_of(machine: int) -> InstanceId:
    return InstanceId(f"m{machine}")


@cache
def member_of(machine: int, age: int = 0) -> MemberId:
    return MemberId(f"m{machine}#{age}")


def machine_of(name: str) -> int:
    return int(name[1:].partition("#")[0])


def record_of(slot: Slot) -> MemberRecord:
    member, instance = member_of(slot.machine, slot.age), instance_of(slot.machine)
    return MemberRecord(member, instance, "a:1", slot.voter, slot.change)


@cache
def configuration_of(slots: Slots) -> Configuration:
    return Configuration(tuple(map(record_of, slots)))


def slots_of(configuration: Configuration) -> Slots:
    return tuple(
        Slot(machine_of(m.id), int(m.id.partition("#")[2]), m.voter, m.change)
        for m in configuration.members
    )


@cache
def groups_of(slots: Slots) -> tuple[tuple[MemberId, ...], ...]:
    return configuration_of(slots).voter_groups


@cache
def renamed(slots: Slots, order: tuple[int, ...]) -> Slots:
    """Return a configuration after its machines were put into an order."""
    moved = [Slot(order.index(machine), *rest) for machine, *rest in slots]
    return tuple(sorted(moved, key=lambda slot: (slot.machine, -slot.age)))


@cache
def aged(slots: Slots, machine: int) -> Slots:
    """Return a configuration after a machine has lost its disk."""
    return tuple(s._replace(age=s.age + (s.machine == machine)) for s in slots)


class Step(NamedTuple):
    """A change of the configuration, and the machines that its text names."""

    text: str
    machines: tuple[int, ...]
    slots: Slots


@cache
def step_of(slots: Slots, change: MembershipChange | None) -> Step:
    """Return the step of a change, or that which ends a replacement."""
    configuration = configuration_of(slots)
    names: tuple[str, ...]
    match change:
        case Add(Joiner(member, instance, address)):
            text, names = "{1} is added as a learner", (instance,)
            record = MemberRecord(member, instance, address, False)
            changed = configuration.with_learner(record)
        case Promote(learner):
            text, names = "{1} is promoted", (learner,)
            changed = configuration.with_voter(learner)
        case Replace(voter, learner, reason):
            text, names = f"{{1}} is replaced by {{2}} ({reason})", (voter, learner)
            changed = configuration.with_replacement(voter, learner)
        case Drop(member, reason):
            text, names = f"{{1}} is dropped ({reason})", (member,)
            changed = configuration.without_member(member)
        case None:
            text, names = "the end of the replacement", ()
            changed = configuration.without_replaced()
    return Step(text, tuple(map(machine_of, names)), slots_of(changed))


class State(NamedTuple):
    """Machines, configurations, and the events that may still happen."""

    machines: tuple[Machine, ...]
    committed: Slots
    losses_left: int
    orders_left: int
    pending: Slots | None = None
    """Configuration that is appended and not yet committed."""
    appender: int = -1
    """Machine that appended the pending configuration, or -1."""
    lost: int = 0
    """Lost disks that count towards the budget."""
    awaited: int = 0
    """Successors of lost machines that have not come yet."""
    departed: int = 0
    """Machines that are gone, and that the cluster still knows by name."""

    @property
    def slots(self) -> Slots:
        return self.committed + (self.pending or ())

    @property
    def away(self) -> int:
        """How many lost disks have no successor yet."""
        return self.awaited + sum(m.power is Power.WIPED for m in self.machines)

    def silence(self, slot: Slot) -> Silence:
        machine = self.machines[slot.machine]
        return machine.old_silence if slot.age else machine.silence

    def members(
        self, powers: Sequence[Power], least: Stored = STALE, most: Stored = LATEST
    ) -> set[MemberId]:
        """Return the members on present disks, without machines told empty."""
        return {
            member_of(index)
            for index, machine in enumerate(self.machines)
            if machine.power in powers
            and least <= machine.stored <= most
            and machine.order is not Order.TOLD
        }

    def ordered(self, least: Order) -> frozenset[InstanceId]:
        machines = enumerate(self.machines)
        return frozenset(instance_of(i) for i, m in machines if m.order >= least)

    def facts(self) -> tuple[MemberFacts, ...]:
        """Return the members as the leader sees them."""
        facts = []
        for slot in self.committed:
            member, instance = member_of(slot.machine, slot.age), slot.machine
            silence = self.silence(slot)
            stored = slot.age > 0 or self.machines[instance].stored is not STALE
            sound = stored and silence is Silence.NONE
            name, seconds = instance_of(instance), SECONDS[silence]
            facts.append(
                MemberFacts(
                    member,
                    name,
                    slot.voter,
                    seconds,
                    sound,
                    silence is Silence.NONE,
                    silence is Silence.NONE and not stored,
                )
            )
        return tuple(facts)

    def joiners(self) -> tuple[Joiner, ...]:
        members = {slot.machine for slot in self.committed if slot.age == 0}
        return tuple(
            Joiner(member_of(index), instance_of(index), "a:1")
            for index, machine in enumerate(self.machines)
            if machine.power is Power.UP and index not in members
        )

    def with_machine(self, index: int, **changes: Any) -> "State":
        machine = self.machines[index]._replace(**changes)
        before, after = self.machines[:index], self.machines[index + 1 :]
        return self._replace(machines=(*before, machine, *after))

    def with_each(self, change: Callable[[Machine], Machine]) -> "State":
        return self._replace(machines=tuple(map(change, self.machines)))

    def event(self, text: str, index: int, **changes: Any) -> "Event":
        """Return an event that changes one machine."""
        return Event(text, (index,), self.with_machine(index, **changes))

    def without_pending(self) -> "State":
        """Discard the pending configuration, also on disks that store it."""
        after = self.with_each(lambda m: m._replace(stored=min(m.stored, COMMITTED)))
        return after._replace(pending=None, appender=-1)

    def after_commit(self, storing: Iterable[int]) -> "State":
        """Commit the pending configuration once further machines store it.

        If its leader is silent, another one has been elected to commit it.
        """
        state = self
        for index in storing:
            if state.machines[index].power is Power.UP:
                state = state.with_machine(index, stored=LATEST)
        if state.machines[state.appender].power is not Power.UP:
            state = state.after_election()

        def changed(machine: Machine) -> Machine:
            stored = COMMITTED if machine.stored is LATEST else STALE
            silence = max(machine.old_silence, Silence.MOMENT)
            return machine._replace(stored=stored, old_silence=silence)

        after = state.with_each(changed)
        return after._replace(committed=self.pending, pending=None, appender=-1)

    def after_election(self) -> "State":
        """Forget the silences: a new leader has waited for no answer yet."""
        return self.with_silence(Silence.MOMENT)

    def with_silence(self, silence: Silence) -> "State":
        """Let machines that run answer, and all others be silent."""

        def changed(machine: Machine) -> Machine:
            own = Silence.NONE if machine.power is Power.UP else silence
            return machine._replace(silence=own, old_silence=silence)

        return self.with_each(changed)

    def all_back(self) -> "State":
        machines = tuple(
            m if m.power is Power.GONE else m._replace(power=Power.UP, fresh=False)
            for m in self.machines + (Machine(),) * self.awaited
        )
        left = {"awaited": 0, "lost": 0, "losses_left": 0, "orders_left": 0}
        return self._replace(machines=machines, **left)

    def caught_up(self) -> "State":
        """Let all machines that run store the log, and the silences pass."""

        def changed(machine: Machine) -> Machine:
            up = machine.power is Power.UP and machine.stored is STALE
            return machine._replace(stored=COMMITTED) if up else machine

        return self.with_silence(Silence.LOST_LEARNER).with_each(changed)

    def canonical(self) -> tuple["State", tuple[int, ...]]:
        """Return the state with its machines sorted, and their order.

        States that differ only in names or in the order of the members are
        searched once.  The order matters to the policy only between equals,
        so ``chosen_changes`` asks it in both directions.
        """
        roles: list[list[tuple[Any, ...]]] = [[] for _ in self.machines]
        current, old = set(), set()
        for pending, slots in enumerate((self.committed, self.pending or ())):
            for machine, age, voter, change in slots:
                (old if age else current).add(machine)
                roles[machine].append((pending, -age, voter, change.value))
        keys = []
        for index, machine_before in enumerate(self.machines):
            power, silence, stored, order, old_silence, fresh = machine_before
            if index not in current:
                silence, stored = Silence.NONE, STALE
            if index not in old:
                old_silence = Silence.NONE
            fresh = fresh and self.losses_left > 0
            if power is not Power.GONE or roles[index]:
                role = sorted(roles[index])
                after = Machine(power, silence, stored, order, old_silence, fresh)
                keys.append((not role, role, after, index == self.appender, index))
        keys.sort()
        places = tuple(key[-1] for key in keys)
        departed = min(2, self.departed + len(roles) - len(keys))
        state = self._replace(
            machines=tuple(key[2] for key in keys),
            committed=renamed(self.committed, places),
            pending=self.pending and renamed(self.pending, places),
            appender=-1 if self.pending is None else places.index(self.appender),
            lost=self.lost if self.losses_left else 0,
            departed=departed if self.orders_left else 0,
        )
        return state, places


class Event(NamedTuple):
    """An event, the machines that its text names, and the state after it."""

    text: str
    machines: tuple[int, ...]
    after: State


@dataclass(frozen=True)
class Policy:
    """The functions under test."""

    next_change: Callable[..., MembershipChange | None] = next_membership_change
    has_enough: Callable[[Sequence[MemberFacts], int], bool] = has_enough_sound_voters
    removed_voter_campaigns: bool = True
    """Whether a voter starts elections until its removal is committed."""


@cache
def chosen_changes(
    policy: Policy, facts: tuple[MemberFacts, ...], *arguments: Any
) -> list[MembershipChange]:
    """Return the changes that the policy may choose.

    There are two if the order of the members decides.
    """
    backwards = sorted(facts, key=lambda member: member.instance, reverse=True)
    chosen = [policy.next_change(some, *arguments) for some in (facts, backwards)]
    return [change for change in dict.fromkeys(chosen) if change is not None]


@dataclass(frozen=True)
class Case:
    """A cluster and how many events of each kind it may see."""

    name: str
    wanted_voters: int = 3
    budget: int = 1
    spares: int = 1
    losses: int = 2
    orders: int = 1
    freezes: int = 2
    """Machines that may be frozen at the same time."""
    slow_copies: bool = False
    """Whether another disk may be lost while a successor copies the log."""
    depth: int = 1000

    def start(self) -> State:
        sound = Machine(stored=COMMITTED)
        machines = (sound,) * self.wanted_voters + (Machine(),) * self.spares
        voters = tuple(Slot(index, 0, True) for index in range(self.wanted_voters))
        return State(machines, voters, self.losses, self.orders)


class ViolationError(Exception):
    """A state breaks a rule; the text is the rule and the events before it."""


class Model:
    """Events and rules of a cluster that the policy changes."""

    MAX_CHANGES_TO_SETTLE = 40

    def __init__(self, case: Case, policy: Policy) -> None:
        self.case = case
        self.wanted_voters = case.wanted_voters
        self.policy = policy
        self._settled: set[State] = set()

    def steps(self, state: State, joiners: tuple[Joiner, ...]) -> list[Step]:
        """Return the changes that a leader may append next."""
        slots = state.committed
        if configuration_of(slots).is_joint:
            return [step_of(slots, None)]
        orders = state.ordered(Order.ACCEPTED), state.ordered(Order.TOLD)
        arguments = (state.facts(), joiners, self.wanted_voters, *orders)
        changes = chosen_changes(self.policy, *arguments)
        return [step_of(slots, change) for change in changes]

    def candidates(
        self, state: State, powers: Sequence[Power], *, keep: bool = False
    ) -> list[int]:
        """Return the machines that can be elected if ``powers`` answer.

        With ``keep`` these have the pending configuration, otherwise they
        have the committed one only and lack votes of those that have both.
        """
        slots = state.pending if keep else state.committed
        level = LATEST if keep else COMMITTED
        votes = state.members(powers, most=level)
        if slots is None or not has_quorum(groups_of(slots), votes):
            return []
        if keep and self.policy.removed_voter_campaigns:
            # A voter that a pending change removes may be the only member
            # that stores the change, and then has the only log that can win.
            slots = slots + state.committed
        able = state.members(powers, level, level)
        voters = [slot for slot in slots if slot.voter and slot.age == 0]
        found = [s.machine for s in voters if member_of(s.machine) in able]
        return list(dict.fromkeys(found))

    def tellable(self, state: State) -> list[int]:
        """Return the machines that the leader tells to be empty."""
        members = {slot.machine for slot in state.committed}
        machines = enumerate(state.machines)
        accepted = [i for i, m in machines if m.order is Order.ACCEPTED]
        waiting = [index for index in accepted if index not in members]
        if waiting and self.policy.has_enough(state.facts(), self.wanted_voters):
            return waiting
        return []

    def events(self, state: State) -> Iterator[Event]:
        for index in range(len(state.machines)):
            yield from self.power_events(state, index)
            yield from self.silence_events(state, index)
        if state.awaited:
            machines = (*state.machines, Machine(fresh=True))
            after = state._replace(awaited=state.awaited - 1, machines=machines)
            yield Event("a successor comes", (), after)
        if state.orders_left:
            yield from self.order_events(state)
        if state.pending is not None:
            yield from self.pending_events(state)
        elif leaders := self.candidates(state, UP):
            yield from self.leader_events(state, leaders)

    def power_events(self, state: State, index: int) -> Iterator[Event]:
        machine = state.machines[index]
        current = any(slot.machine == index and slot.age == 0 for slot in state.slots)
        frozen = sum(m.power is Power.FROZEN for m in state.machines)
        match machine.power:
            case Power.UP:
                if frozen < self.case.freezes:
                    yield state.event("{0} freezes", index, power=Power.FROZEN)
                if machine.stored is STALE and current:
                    yield state.event("{0} catches up", index, stored=COMMITTED)
            case Power.FROZEN:
                changes = {"power": Power.UP, "silence": Silence.NONE}
                yield state.event("{0} answers again", index, **changes)
            case Power.WIPED:
                text = "{0} comes back on an empty disk"
                yield state.event(text, index, power=Power.UP, fresh=True)
        if machine.power not in SOUND:
            return
        if machine.order is Order.TOLD:
            if not machine.fresh:
                yield state.event("{0} is taken away", index, power=Power.GONE)
        elif current and state.losses_left and state.lost < self.case.budget:
            yield from self.loss_events(state, index)

    def loss_events(self, state: State, index: int) -> Iterator[Event]:
        machine = state.machines[index]
        lost, left = state.lost + 1, state.losses_left - 1
        after = state._replace(lost=lost, losses_left=left)
        gone = after.with_machine(index, power=Power.GONE, fresh=False)
        gone = gone._replace(awaited=state.awaited + 1)
        yield Event("{0} is lost for good", (index,), gone)
        silence = machine.silence
        if machine.stored is STALE:
            silence = max(silence, Silence.MOMENT)
        disk = Machine(Power.WIPED, order=machine.order, old_silence=silence)
        wiped = after.with_machine(index, **disk._asdict())

        wiped = wiped._replace(
            committed=aged(state.committed, index),
            pending=state.pending and aged(state.pending, index),
        )
        yield Event("{0} loses its disk", (index,), wiped)

    def silence_events(self, state: State, index: int) -> Iterator[Event]:
        machine = state.machines[index]
        own = [slot for slot in state.slots if slot.machine == index]
        learner = not all(slot.voter for slot in own)
        longest = Silence.LOST_LEARNER if learner else Silence.LOST_VOTER
        current = any(slot.age == 0 for slot in own)
        if machine.power is not Power.UP and current and machine.silence < longest:
            silence = Silence(machine.silence + 1)
            text = f"{{0}} is silent: {silence.name}"
            yield state.event(text, index, silence=silence)
        if any(slot.age for slot in own) and machine.old_silence < longest:
            silence = Silence(machine.old_silence + 1)
            text = f"the lost member of {{0}} is silent: {silence.name}"
            yield state.event(text, index, old_silence=silence)

    def order_events(self, state: State) -> Iterator[Event]:
        known = {instance_of(index) for index in range(len(state.machines))}
        known |= {InstanceId(f"departed{i}") for i in range(state.departed)}
        retiring = state.ordered(Order.ACCEPTED)
        for index, machine in enumerate(state.machines):
            instance = instance_of(index)
            allowed = may_retire(known, retiring, instance, self.wanted_voters)
            if machine.order is Order.NONE and machine.power in SOUND and allowed:
                after = state.with_machine(index, order=Order.ACCEPTED)
                after = after._replace(orders_left=state.orders_left - 1)
                yield Event("{0} is ordered to empty", (index,), after)

    def leader_events(self, state: State, leaders: Sequence[int]) -> Iterator[Event]:
        yield Event("another leader is elected", (), state.after_election())
        for index in self.tellable(state):
            yield state.event("{0} is told empty", index, order=Order.TOLD)
        joiners = state.joiners()
        for some in ((), *((joiner,) for joiner in joiners)):
            for text, machines, slots in self.steps(state, some):
                for leader in leaders:
                    after = state.with_machine(leader, stored=LATEST)
                    after = after._replace(pending=slots, appender=leader)
                    yield Event(f"{{0}} appends: {text}", (leader, *machines), after)
        if self.have_caught_up(state, joiners):
            after = state.with_each(lambda machine: machine._replace(fresh=False))
            after = after._replace(lost=state.away)
            yield Event("the successors have had time to catch up", (), after)

    def pending_events(self, state: State) -> Iterator[Event]:
        assert state.pending is not None
        holders = [m.stored is LATEST for m in state.machines]
        slots = [slot for slot in state.slots if slot.age == 0]
        reached = tuple(
            index
            for index in dict.fromkeys(slot.machine for slot in slots)
            if state.machines[index].power is Power.UP and not holders[index]
        )
        if sum(holders) == 1:
            for index in reached:
                yield state.event("{0} stores the change", index, stored=LATEST)
        for some in self.commit_quorums(state, state.pending, reached):
            names = " ".join(f"{{{place}}}" for place in range(len(some)))
            text = f"the change is committed, with {names or 'no other'}"
            yield Event(text, some, state.after_commit(some))
        if self.candidates(state, UP):
            after = state.without_pending().after_election()
            yield Event("another leader is elected; the change is lost", (), after)
        for leader in self.candidates(state, UP, keep=True):
            if leader != state.appender:
                after = state.after_election()._replace(appender=leader)
                yield Event("{0} is elected; the change is kept", (leader,), after)

    @staticmethod
    def commit_quorums(
        state: State, pending: Slots, reached: tuple[int, ...]
    ) -> list[tuple[int, ...]]:
        """Return the sets of further machines that commit the pending change.

        These are the smallest ones and the one of all machines that answer.
        """
        holders = state.members(UP, LATEST)
        found: list[tuple[int, ...]] = []
        for size in range(len(reached) + 1):
            for some in combinations(reached, size):
                smallest = not any(set(smaller) <= set(some) for smaller in found)
                ids = holders | set(map(member_of, some))
                enough = has_quorum(groups_of(pending), ids)
                if enough and (smallest or some == reached):
                    found.append(some)
        return found

    def have_caught_up(self, state: State, joiners: tuple[Joiner, ...]) -> bool:
        """Return whether the successors that have come had their time.

        That is so once they and a leader answer, all silent members are known
        as such, and the policy has nothing more to do.
        """
        if state.lost <= state.away:
            return False
        fresh = [machine for machine in state.machines if machine.fresh]
        if any(machine.order is Order.TOLD for machine in fresh) and (
            not has_enough_sound_voters(state.facts(), self.wanted_voters)
        ):
            # A successor that was emptied is nobody's successor.
            return False
        for slot in state.committed:
            machine = state.machines[slot.machine]
            absent = slot.age > 0 or machine.power is not Power.UP
            if absent and state.silence(slot) < Silence.LOST_VOTER:
                return False
            if not absent and machine.stored is STALE and not self.case.slow_copies:
                return False
        answering = all(machine.power is Power.UP for machine in fresh)
        return answering and not self.steps(state, joiners)

    def check(self, state: State) -> None:
        """Raise ``ViolationError`` if a state breaks a rule."""
        sound = state.members(SOUND)
        for name in ("committed", "pending"):
            slots = getattr(state, name)
            if slots is None:
                continue
            if not has_quorum(groups_of(slots), sound):
                rule = f"the sound disks have no quorum of the {name} configuration"
                raise ViolationError(rule)
            if any(state.machines[s.machine].order is Order.TOLD for s in slots):
                rule = f"a machine that was told empty is in the {name} configuration"
                raise ViolationError(rule)
        if not any(self.candidates(state, SOUND, keep=k) for k in (False, True)):
            raise ViolationError("no sound disk that has what is committed can lead")
        self.check_recovery(state)

    def check_recovery(self, state: State) -> None:
        """Check what the policy ends in once all machines are back.

        A pending change is kept or lost, as the elections may go.
        """
        state = state.all_back().caught_up()
        if state.pending is None:
            self.settle(state)
            return
        if self.candidates(state, UP):
            self.settle(state.without_pending())
        self.settle(state.after_commit(range(len(state.machines))))

    def settle(self, state: State, depth: int = 0) -> None:
        state, _ = state.caught_up().canonical()
        if state in self._settled:
            return
        if depth > self.MAX_CHANGES_TO_SETTLE:
            raise ViolationError("the changes do not end")
        following = self.settling_states(state)
        for after in following:
            self.settle(after, depth + 1)
        if not following:
            self.check_settled(state)
        self._settled.add(state)

    def settling_states(self, state: State) -> list[State]:
        following = []
        for text, machines, slots in self.steps(state, state.joiners()):
            if not has_quorum(groups_of(slots), state.members(UP)):
                text = text.format("", *machines)
                raise ViolationError(f"a change cannot be committed: {text}")
            following.append(state._replace(committed=slots))
        told = self.tellable(state)
        return following or [state.with_machine(i, order=Order.TOLD) for i in told]

    def check_settled(self, state: State) -> None:
        machines = state.machines
        up = [machine for machine in machines if machine.power is Power.UP]
        present = [machine for machine in up if machine.order is not Order.TOLD]
        free = [machine for machine in present if machine.order is Order.NONE]
        voters = [slot for slot in state.committed if slot.voter]
        current = [slot.machine for slot in voters if slot.age == 0]
        sound = sum(machines[index].power is Power.UP for index in current)
        if sound != min(self.wanted_voters, len(present)):
            raise ViolationError(f"{sound} sound voters remain in the end")
        if len(present) >= self.wanted_voters and len(voters) != sound:
            raise ViolationError("a lost voter remains in the end")
        if self.wanted_voters <= len(free) < len(present):
            raise ViolationError("an order to empty a machine is never completed")


Origins = dict[State, tuple[State, Event, tuple[int, ...]] | None]


def explore(case: Case, policy: Policy | None = None) -> tuple[int, int]:
    """Search all states; return their number and the greatest depth.

    Raises ``ViolationError`` with a shortest trace.
    """
    model = Model(case, policy or Policy())
    start, _ = case.start().canonical()
    origins: Origins = {start: None}
    frontier = deque([(start, 0)])
    depth = 0
    while frontier:
        state, depth = frontier.popleft()
        try:
            model.check(state)
        except ViolationError as violation:
            lines = [str(violation), *trace_of(origins, state)]
            raise ViolationError("\n".join(lines)) from None
        for event in model.events(state) if depth < case.depth else ():
            following, order = event.after.canonical()
            if following not in origins:
                origins[following] = (state, event, order)
                frontier.append((following, depth + 1))
    return len(origins), depth


def trace_of(origins: Origins, state: State) -> list[str]:
    """Return the events that lead to a state, with a name for each machine."""
    steps = []
    while (origin := origins[state]) is not None:
        state, event, order = origin
        steps.append((event, order))
    unused = iter("abcdefghijklmnopqrstuvwxyz")
    names = [next(unused) for _ in state.machines]
    lines = []
    for event, order in reversed(steps):
        lines.append(event.text.format(*(names[index] for index in event.machines)))
        if max(order) >= len(names):
            names.append(next(unused))
        names = [names[index] for index in order]
    return lines
