"""Changes of the replicated log's members.

The leader applies one change at a time: it adds joining processes as learners,
promotes learners that have caught up, and removes members that are lost or
whose machine retires.
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId

LOST_VOTER_SECONDS = 2.5
"""Time without contact after which a voter counts as lost and is replaced, if
a learner has caught up.  It is longer than a restart of the process, and short
enough that the voter is replaced before another one is likely to fail."""

LOST_LEARNER_SECONDS = 10.0
"""Time without contact after which a learner is removed."""


@dataclass(frozen=True, slots=True)
class MemberFacts:
    """State of a member as the leader observes it."""

    id: MemberId
    instance: InstanceId
    voter: bool
    silent_seconds: float
    """Time since the member's last answer, or since it was added."""
    caught_up: bool
    """Whether the member has nearly all entries of the leader's log."""


@dataclass(frozen=True, slots=True)
class Joiner:
    """A process that requests to become a member."""

    id: MemberId
    instance: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class Add:
    """Add a process as a learner, which receives the log but has no vote."""

    joiner: Joiner


@dataclass(frozen=True, slots=True)
class Promote:
    """Make a learner a voter."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class Replace:
    """Let a learner take the vote of a member, which leaves."""

    voter: MemberId
    learner: MemberId
    reason: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Remove a member."""

    id: MemberId
    reason: str


MembershipChange = Add | Promote | Replace | Drop


def next_membership_change(
    members: Sequence[MemberFacts],
    joiners: Iterable[Joiner],
    wanted_voters: int,
    retiring: AbstractSet[InstanceId] = frozenset(),
) -> MembershipChange | None:
    """Return the next membership change, or None if none is needed.

    ``members`` are in the order in which they were added.  ``retiring`` are
    instances whose members have to leave.  Call the function
    again only after the returned change is committed.
    """
    known_ids = {member.id for member in members}
    for joiner in joiners:
        if joiner.id not in known_ids and joiner.instance not in retiring:
            return Add(joiner)
    learners = [
        member
        for member in members
        if not member.voter and member.instance not in retiring
    ]
    promotable = [member for member in learners if member.caught_up]
    voters = [member for member in members if member.voter]
    outgoing = [
        member
        for member in voters
        if _is_lost(member, members) or member.instance in retiring
    ]
    if promotable and (lost := [m for m in outgoing if _is_lost(m, members)]):
        return Replace(lost[0].id, promotable[0].id, "lost")
    remaining_voters = len(voters) - len(outgoing)
    if promotable and remaining_voters < wanted_voters:
        return Promote(promotable[0].instance)
    if remaining_voters >= wanted_voters and outgoing:
        return Drop(outgoing[0].id, "instance is lost or retiring")
    for learner in members:
        if learner.voter:
            continue
        if learner.instance in retiring:
            return Drop(learner.id, "instance is retiring")
        if learner.silent_seconds > LOST_LEARNER_SECONDS or _superseded(
            learner, members
        ):
            return Drop(learner.id, "silent learner")
    return None


def may_retire(
    known_instances: AbstractSet[InstanceId],
    retiring: AbstractSet[InstanceId],
    instance: InstanceId,
    wanted_voters: int,
) -> bool:
    """Return whether enough machines remain after an instance retires.

    ``known_instances`` have been members and may be so again: one that is
    frozen or cut off for a time counts.  The retiring instance stays a member
    until ``wanted_voters`` others vote, so an order that is accepted early is
    only carried out late.
    """
    return len(known_instances - retiring - {instance}) >= wanted_voters


def _is_lost(member: MemberFacts, members: Sequence[MemberFacts]) -> bool:
    return member.silent_seconds > LOST_VOTER_SECONDS or _superseded(member, members)


def _superseded(member: MemberFacts, members: Sequence[MemberFacts]) -> bool:
    """Return whether the member's instance has joined again with a new id.

    An instance that lost its disk takes a new member id, and the old id never
    answers again.
    """
    later = members[members.index(member) + 1 :]
    return any(other.instance == member.instance for other in later)
