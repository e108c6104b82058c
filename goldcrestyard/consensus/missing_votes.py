"""Which votes the members without a leader lack, and why."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId, VoterGroups
from goldcrestyard.consensus.link import MemberState
from goldcrestyard.core.ids import InstanceId

ANSWER_SECONDS = 3.0
"""Time since its latest answer within which a member counts as answering.  An
idle link requests one each second, and takes up to two to connect again."""


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """Latest answer from the address of an instance."""

    instance: InstanceId
    seconds_ago: float
    member: MemberId | None = None
    """The member that answered; None if it has never told its id."""
    state: MemberState | None = None
    """None if it has not told its state, as members of earlier releases."""
    failure: str = ""
    """Why it takes no part, such as a disk that fails."""


@dataclass(frozen=True, slots=True)
class Silent:
    """The voter has not answered lately; None if never."""

    seconds: float | None


@dataclass(frozen=True, slots=True)
class Emptied:
    """Another member answers in its place, since the disk is another one."""

    member: MemberId


@dataclass(frozen=True, slots=True)
class Suspended:
    """The voter answers that it takes no part."""

    failure: str


@dataclass(frozen=True, slots=True)
class Refusing:
    """The voter has lately refused its vote."""

    leader: MemberId | None
    """The leader that it follows, if any."""


VoteFault = Silent | Emptied | Suspended | Refusing


@dataclass(frozen=True, slots=True)
class LackingGroup:
    """A group of voters without a majority that could vote."""

    voters: tuple[MemberId, ...]
    faults: dict[MemberId, VoteFault]
    """The voters that could not vote now, and why."""

    @property
    def needed(self) -> int:
        """Number of votes that an election needs of this group."""
        return len(self.voters) // 2 + 1

    @property
    def missing(self) -> int:
        """Number of votes that it lacks."""
        return self.needed - (len(self.voters) - len(self.faults))


def find_lacking_groups(
    groups: VoterGroups,
    own: MemberId,
    answers: Iterable[MemberAnswer],
    refusing: AbstractSet[MemberId],
) -> tuple[LackingGroup | None, ...]:
    """Return, for each group of voters, what keeps it from a majority.

    None stands for a group with a majority that answers.  ``refusing`` have
    lately refused a vote to ``own``.
    """
    by_instance = {answer.instance: answer for answer in answers}
    own_instance = _instance_of(own)
    by_instance[own_instance] = MemberAnswer(own_instance, 0.0, own)
    found: list[LackingGroup | None] = []
    for group in groups:
        faults = {}
        for voter in group:
            fault = _find_fault(voter, by_instance, refusing)
            if fault is not None:
                faults[voter] = fault
        lacking = LackingGroup(group, faults)
        found.append(lacking if lacking.missing > 0 else None)
    return tuple(found)


def _find_fault(
    voter: MemberId,
    by_instance: Mapping[InstanceId, MemberAnswer],
    refusing: AbstractSet[MemberId],
) -> VoteFault | None:
    answer = by_instance.get(_instance_of(voter))
    if answer is None:
        return Silent(None)
    if answer.member not in (None, voter):
        assert answer.member is not None
        return Emptied(answer.member)
    if answer.seconds_ago > ANSWER_SECONDS:
        return Silent(answer.seconds_ago)
    if answer.failure:
        return Suspended(answer.failure)
    if voter in refusing:
        return Refusing(answer.state.leader if answer.state is not None else None)
    return None


def _instance_of(member: MemberId) -> InstanceId:
    return InstanceId(member.rpartition("#")[0])
