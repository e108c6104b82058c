"""Why the next step of the membership does not finish."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.consensus.configuration import MemberId, VoterGroups, has_quorum
from goldcrestyard.core.ids import InstanceId, LogIndex
from goldcrestyard.policy.membership import (
    LOST_VOTER_SECONDS,
    MemberFacts,
    count_sound_voters,
    has_enough_sound_voters,
)

SILENT_SECONDS = 1.0
"""Time without an answer from which the silence of a member, and not what it
lacks, is the reason of a wait."""


class Step(Enum):
    """A step that the leader takes once its condition is met."""

    COMMIT = "commit"
    """Commit the latest configuration, such as that of a replacement."""
    REPLACE = "replace"
    """Give the vote of a lost voter to a learner."""
    RETIRE = "retire"
    """Take the vote of a machine that is ordered to be emptied."""
    COMPLETE = "complete"
    """Record that an emptied machine may be taken away."""
    PROMOTE = "promote"
    """Give a vote to a learner, since there are too few voters."""


@dataclass(frozen=True, slots=True)
class NoLearner:
    """No process with a disk is there to take a vote."""


@dataclass(frozen=True, slots=True)
class Silent:
    """A member has not answered for some time."""

    member: MemberId
    seconds: float


@dataclass(frozen=True, slots=True)
class LacksEntries:
    """A member lacks too many entries of the log."""

    member: MemberId
    entries: int


@dataclass(frozen=True, slots=True)
class LacksConfiguration:
    """A member does not store the latest configuration."""

    member: MemberId


@dataclass(frozen=True, slots=True)
class NotStored:
    """Too few voters are known to store the configuration at an index."""

    index: LogIndex
    is_joint: bool
    lacking: tuple[MemberId, ...]
    """Voters, of the groups without a majority, that have not answered."""


Cause = NoLearner | Silent | LacksEntries | LacksConfiguration | NotStored


@dataclass(frozen=True, slots=True)
class MembershipWait:
    """A step that waits, and why."""

    step: Step
    subject: InstanceId | None
    """Instance of the voter or the machine that the step concerns."""
    cause: Cause

    def is_same_reason(self, other: "MembershipWait | None") -> bool:
        """Return whether two waits differ in their numbers only."""
        return other is not None and _reason(self) == _reason(other)


@dataclass(frozen=True, slots=True)
class LogFacts:
    """State of the leader's log, and what each member stores of it."""

    last_index: LogIndex
    commit_index: LogIndex
    configuration_index: LogIndex
    voter_groups: VoterGroups
    matched_by_id: dict[MemberId, LogIndex]
    max_lag: int
    """Number of entries that a member may lack to have caught up."""


def find_membership_wait(
    members: Sequence[MemberFacts],
    log: LogFacts,
    wanted_voters: int,
    retiring: AbstractSet[InstanceId] = frozenset(),
    retired: AbstractSet[InstanceId] = frozenset(),
) -> MembershipWait | None:
    """Return the first step that is due and can't be taken, or None.

    The arguments are those of ``next_membership_change``, and the log.
    """
    if log.commit_index < log.configuration_index:
        return MembershipWait(Step.COMMIT, None, _find_missing_stores(log))
    latest = {member.instance: member.id for member in members}
    present = [m for m in members if latest[m.instance] == m.id]
    voters = [member for member in members if member.voter]
    lost = [
        voter
        for voter in voters
        if voter not in present or voter.silent_seconds > LOST_VOTER_SECONDS
    ]
    successor = _find_successor_cause(present, log, retiring, retired, bool(lost))
    unsound = [m for m in voters if not m.caught_up and m not in lost]
    hindrance = _find_cause(unsound[0], log) if unsound else successor
    found: tuple[Step, InstanceId | None, Cause | None] | None = None
    leaving = [voter.instance for voter in voters if voter.instance in retiring]
    emptied = retiring - retired - latest.keys()
    if lost and count_sound_voters(voters) < wanted_voters:
        found = Step.REPLACE, lost[0].instance, successor
    elif leaving and len(voters) <= wanted_voters:
        found = Step.RETIRE, leaving[0], hindrance
    elif emptied and not has_enough_sound_voters(members, wanted_voters):
        found = Step.COMPLETE, min(emptied), hindrance
    elif len(voters) < wanted_voters:
        found = Step.PROMOTE, None, successor
    if found is None or found[2] is None:
        return None
    return MembershipWait(found[0], found[1], found[2])


def _find_missing_stores(log: LogFacts) -> NotStored:
    stored = {
        member
        for member, matched in log.matched_by_id.items()
        if matched >= log.configuration_index
    }
    lacking = {
        voter: None
        for group in log.voter_groups
        if not has_quorum((group,), stored)
        for voter in group
        if voter not in stored
    }
    return NotStored(log.configuration_index, len(log.voter_groups) > 1, tuple(lacking))


def _find_successor_cause(
    present: Sequence[MemberFacts],
    log: LogFacts,
    retiring: AbstractSet[InstanceId],
    retired: AbstractSet[InstanceId],
    needs_retiring: bool,
) -> Cause | None:
    """Return why no learner can take a vote, or None if one can.

    Only a lost voter's vote may go to a learner that retires, if there is no
    other.
    """
    learners = [m for m in present if not m.voter and m.instance not in retired]
    staying = [m for m in learners if m.instance not in retiring]
    if staying or not needs_retiring:
        learners = staying
    if not learners:
        return NoLearner()
    if any(learner.caught_up for learner in learners):
        return None
    if needs_retiring and any(learner.answers for learner in learners):
        # It takes the vote of a lost voter while it copies the log.
        return None
    # The first that answers, so that the reason stays the same.
    return _find_cause(min(learners, key=_is_silent), log)


def _find_cause(member: MemberFacts, log: LogFacts) -> Cause:
    """Return why a member has not caught up."""
    matched = log.matched_by_id.get(member.id, 0)
    missing = log.last_index - matched
    if not _is_silent(member):
        if missing > log.max_lag:
            return LacksEntries(member.id, missing)
        if matched < log.configuration_index:
            return LacksConfiguration(member.id)
    return Silent(member.id, member.silent_seconds)


def _is_silent(member: MemberFacts) -> bool:
    return member.silent_seconds > SILENT_SECONDS


def _reason(wait: MembershipWait) -> tuple[object, ...]:
    match wait.cause:
        case Silent(member=member) | LacksEntries(member=member):
            return wait.step, wait.subject, type(wait.cause), member
        case cause:
            return wait.step, wait.subject, cause
