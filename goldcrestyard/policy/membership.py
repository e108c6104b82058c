"""Changes of the replicated log's members.

The leader applies one change at a time: it adds joining processes as learners,
gives learners a vote, and removes members that are lost or whose machine
retires.  A change relies only on members that have just answered: one that has
been silent for a moment may already be lost, and its disk with it.
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId

TAKE_OVER_SECONDS = 1.5
"""Time without contact after which a learner takes a voter's vote.  It is
longer than most restarts of a process, and short enough that the voter is
replaced before another one is likely to fail.  A voter that comes back later
becomes a learner."""

LOST_VOTER_SECONDS = 2.5
"""Time without contact after which a voter counts as lost to operators."""

LOST_LEARNER_SECONDS = 10.0
"""Time without contact after which a learner is removed."""

GONE_SECONDS = 10.0
"""Time without contact after which a machine no longer counts as one that
remains when another one retires.  One that is frozen or cut off for a shorter
time does, since it returns."""


@dataclass(frozen=True, slots=True)
class MemberFacts:
    """State of a member as the leader observes it."""

    id: MemberId
    instance: InstanceId
    voter: bool
    silent_seconds: float
    """Time since the member's last answer, or, if that is later, since it was
    added or the leader was elected."""
    caught_up: bool
    """Whether the member has just answered, and has nearly all entries of the
    leader's log, the latest configuration among them."""
    answers: bool = False
    """Whether the member has just answered, whatever it has of the log."""
    is_behind: bool = False
    """Whether the member answers, and lacks entries that the leader had
    ``TAKE_OVER_SECONDS`` ago."""


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

    learner: MemberId


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
    retired: AbstractSet[InstanceId] = frozenset(),
) -> MembershipChange | None:
    """Return the next membership change, or None if none is needed.

    ``members`` are in the order in which they were added.  ``retiring`` are
    instances whose members have to leave, and ``retired`` those whose disks
    may be gone.  Call the function again only after the returned change is
    committed.
    """
    facts = _Facts(members, wanted_voters, retiring, retired)
    known_ids = {member.id for member in members}
    for joiner in joiners:
        if joiner.id not in known_ids and facts.may_join(joiner.instance):
            return Add(joiner)
    return (
        facts.replace_lost_voter()
        or facts.replace_voter_that_is_behind()
        or facts.release_retiring_voter()
        or facts.add_voter()
        or facts.drop_learner()
    )


class _Facts:
    """The members by what they can do for the cluster, and the next step."""

    def __init__(
        self,
        members: Sequence[MemberFacts],
        wanted_voters: int,
        retiring: AbstractSet[InstanceId],
        retired: AbstractSet[InstanceId],
    ) -> None:
        self._members = members
        self._wanted_voters = wanted_voters
        self._retiring = retiring
        self._retired = retired
        self._voters = [member for member in members if member.voter]
        self._lost = [m for m in self._voters if _is_lost(m, members)]
        # A voter that is only silent may still have its disk.
        self._lost.sort(key=lambda member: not _superseded(member, members))
        self._answering_learners = [
            member
            for member in members
            if not member.voter
            and (member.answers or member.caught_up)
            and member.instance not in retired
            and not _superseded(member, members)
        ]
        self._answering_learners.sort(key=lambda member: not member.caught_up)
        self._successors = [
            member
            for member in self._answering_learners
            if member.caught_up and member.instance not in retiring
        ]

    def may_join(self, instance: InstanceId) -> bool:
        """Return whether a process may become a learner."""
        if instance in self._retired:
            return False
        return instance not in self._retiring or self._needs_retiring()

    def replace_lost_voter(self) -> MembershipChange | None:
        """Remove a lost voter, or give its vote to a learner.

        A learner that still copies the log takes it as well: while it copies,
        commits need the same members as before, and after the loss of another
        disk it completes the majority that elects a leader.
        """
        if not self._lost:
            return None
        lost = self._lost[0]
        if self._sound_voters_without(lost) >= self._wanted_voters:
            return Drop(lost.id, "lost, and enough others vote")
        successors = [
            member
            for member in self._answering_learners
            if member.instance not in self._retiring
        ]
        if not successors and self._needs_retiring():
            successors = self._answering_learners
        if successors:
            return Replace(lost.id, successors[0].id, "lost")
        return None

    def replace_voter_that_is_behind(self) -> MembershipChange | None:
        """Give the vote of a voter that copies the log to one that has it.

        After the next loss each commit would wait for the copy.  The change
        itself must not: the others have to be a majority.
        """
        if not self._successors:
            return None
        for voter in self._voters:
            others = self._sound_voters_without(voter)
            if (
                voter.is_behind
                and not voter.caught_up
                and others > len(self._voters) // 2
            ):
                successor = self._successors[0]
                return Replace(voter.id, successor.id, "has not caught up")
        return None

    def release_retiring_voter(self) -> MembershipChange | None:
        """Let a retiring voter leave, once enough others have just answered.

        A voter that is silent for a moment may be lost.  If there is only one
        learner, that voter needs it more than the retiring one.
        """
        for voter in self._voters:
            if voter.instance not in self._retiring:
                continue
            others = self._sound_voters_without(voter)
            count = len(self._voters)
            if others >= _needed_sound_voters(count - 1, self._wanted_voters):
                return Drop(voter.id, "instance is retiring")
            if self._successors and others + 1 >= _needed_sound_voters(
                count, self._wanted_voters
            ):
                successor = self._successors[0]
                return Replace(voter.id, successor.id, "instance is retiring")
        return None

    def add_voter(self) -> MembershipChange | None:
        """Give a learner a vote while there are too few voters."""
        if self._successors and len(self._voters) < self._wanted_voters:
            return Promote(self._successors[0].id)
        return None

    def drop_learner(self) -> MembershipChange | None:
        """Remove a learner that is lost or not needed."""
        for learner in self._members:
            if learner.voter:
                continue
            if learner.instance in self._retired or (
                learner.instance in self._retiring and not self._needs_retiring()
            ):
                return Drop(learner.id, "instance is retiring")
            if learner.silent_seconds > LOST_LEARNER_SECONDS or _superseded(
                learner, self._members
            ):
                return Drop(learner.id, "silent learner")
        return None

    def _sound_voters_without(self, leaving: MemberFacts) -> int:
        return count_sound_voters(
            voter for voter in self._voters if voter is not leaving
        )

    def _needs_retiring(self) -> bool:
        """Return whether a retiring instance has to keep the log for longer.

        That is so while a lost voter has no other successor.
        """
        return bool(self._lost) and not any(
            not member.voter
            and member.instance not in self._retiring
            and member.silent_seconds <= TAKE_OVER_SECONDS
            for member in self._members
        )


def has_enough_sound_voters(members: Iterable[MemberFacts], wanted_voters: int) -> bool:
    """Return whether those that have just answered bear the planned losses."""
    voters = [member for member in members if member.voter]
    needed = _needed_sound_voters(len(voters), wanted_voters)
    return count_sound_voters(voters) >= needed


def count_sound_voters(members: Iterable[MemberFacts]) -> int:
    """Return how many voters have just answered and have caught up."""
    return sum(member.voter and member.caught_up for member in members)


def _needed_sound_voters(voters: int, wanted_voters: int) -> int:
    """Return how many of a number of voters must be sound.

    A majority of them must be left after the planned losses.  With fewer
    voters than are wanted, the result is larger than their number.
    """
    planned_losses = (wanted_voters - 1) // 2
    return voters // 2 + 1 + planned_losses


def may_retire(
    remaining_instances: AbstractSet[InstanceId],
    retiring: AbstractSet[InstanceId],
    instance: InstanceId,
    wanted_voters: int,
) -> bool:
    """Return whether enough machines remain after an instance retires.

    ``remaining_instances`` have been heard of within ``GONE_SECONDS``: one
    that is frozen or cut off for a time counts.  One that is gone for good
    must not: the order would wait for a machine that never comes, and take
    the next one that comes in place of another machine.
    """
    return len(remaining_instances - retiring - {instance}) >= wanted_voters


def _is_lost(member: MemberFacts, members: Sequence[MemberFacts]) -> bool:
    return member.silent_seconds > TAKE_OVER_SECONDS or _superseded(member, members)


def _superseded(member: MemberFacts, members: Sequence[MemberFacts]) -> bool:
    """Return whether the member's instance has joined again with a new id.

    An instance that lost its disk takes a new member id, and the old id never
    answers again.
    """
    later = members[members.index(member) + 1 :]
    return any(other.instance == member.instance for other in later)
