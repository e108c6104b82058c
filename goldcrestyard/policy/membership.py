"""Who takes part in the replicated log, as machines come and go."""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId

LOST_VOTER_SECONDS = 2.5
"""A silent voter is replaced after this long, if another member can take its
place: longer than a restart of the process, and short enough that the place
is filled before a further loss is to be borne."""

LOST_LEARNER_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class MemberFacts:
    """What the leader knows of a member."""

    id: MemberId
    instance: InstanceId
    voter: bool
    silent_seconds: float
    """Since its last answer, or since it was added."""
    caught_up: bool


@dataclass(frozen=True, slots=True)
class Joiner:
    """A process that asks to be a member."""

    id: MemberId
    instance: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class Add:
    """Let a process receive the log."""

    joiner: Joiner


@dataclass(frozen=True, slots=True)
class Promote:
    """Give a learner a vote."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class Drop:
    """Remove a member."""

    id: MemberId
    reason: str


Step = Add | Promote | Drop


def next_step(
    members: Sequence[MemberFacts],
    joiners: Iterable[Joiner],
    wanted_voters: int,
    retiring: AbstractSet[InstanceId] = frozenset(),
) -> Step | None:
    """Return the next change of the members, or None if all is well.

    ``members`` come in the order in which they were added.  One change at a
    time: each is committed before the next is chosen.
    """
    known = {member.id for member in members}
    for joiner in joiners:
        if joiner.id not in known and joiner.instance not in retiring:
            return Add(joiner)
    learners = [
        member
        for member in members
        if not member.voter and member.instance not in retiring
    ]
    ready = [member for member in learners if member.caught_up]
    voters = [member for member in members if member.voter]
    leaving = [
        member
        for member in voters
        if _is_lost(member, members) or member.instance in retiring
    ]
    if ready and (lost := [m for m in leaving if _is_lost(m, members)]):
        # A lost voter counts against the quorum, so it goes first.
        return Drop(lost[0].id, "lost, and another member takes its place")
    staying = len(voters) - len(leaving)
    if ready and staying < wanted_voters:
        return Promote(ready[0].instance)
    if staying >= wanted_voters and leaving:
        return Drop(leaving[0].id, "it leaves")
    for learner in members:
        if learner.voter:
            continue
        if learner.instance in retiring:
            return Drop(learner.id, "it leaves")
        if learner.silent_seconds > LOST_LEARNER_SECONDS or _superseded(
            learner, members
        ):
            return Drop(learner.id, "silent learner")
    return None


def may_retire(
    members: Iterable[MemberFacts], instance: InstanceId, wanted_voters: int
) -> bool:
    """Return whether enough members remain without an instance."""
    remaining = {member.instance for member in members if member.instance != instance}
    return len(remaining) >= wanted_voters


def _is_lost(member: MemberFacts, members: Sequence[MemberFacts]) -> bool:
    return member.silent_seconds > LOST_VOTER_SECONDS or _superseded(member, members)


def _superseded(member: MemberFacts, members: Sequence[MemberFacts]) -> bool:
    """Return whether the instance has come back without its disk.

    The identity that it had before can never answer again.
    """
    later = members[members.index(member) + 1 :]
    return any(other.instance == member.instance for other in later)
