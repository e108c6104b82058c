"""Cluster configuration: the members of the replicated log."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from enum import Enum
from typing import NewType

from goldcrestyard.core.ids import InstanceId

MemberId = NewType("MemberId", str)
"""Instance id and incarnation of a member.  The incarnation is drawn at random
when the data folder is created.  An instance that lost its disk is therefore a
different member, so it cannot vote twice in a term, and the entries that it
lost do not count as stored."""

VoterGroups = tuple[tuple[MemberId, ...], ...]
"""Groups of voters of which a quorum has a majority each."""


class VoterChange(Enum):
    """How a voter takes part in a replacement that is in progress."""

    NONE = "none"
    ENTERING = "entering"
    """It replaces another voter, and counts in the new group only."""
    LEAVING = "leaving"
    """It is replaced, and counts in the old group only."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member of a configuration, either a voter or a learner.

    ``address`` is the peer address of its instance.
    """

    id: MemberId
    instance: InstanceId
    address: str
    voter: bool
    change: VoterChange = VoterChange.NONE


@dataclass(frozen=True, slots=True)
class Configuration:
    """The set of members.

    The quorums of consecutive configurations overlap: they differ by at most
    one voter, or one of them is the joint configuration of a replacement.  A
    quorum of that one has a majority of the old voters and a majority of the
    new ones (joint consensus).
    """

    members: tuple[MemberRecord, ...] = ()

    @property
    def voters(self) -> tuple[MemberId, ...]:
        """Ids of the members that count towards a quorum."""
        return tuple(member.id for member in self.members if member.voter)

    @property
    def is_joint(self) -> bool:
        """Whether the replacement of a voter is in progress."""
        return any(member.change is not VoterChange.NONE for member in self.members)

    @property
    def voter_groups(self) -> VoterGroups:
        """The old and the new voters during a replacement, else one group."""
        if not self.is_joint:
            return (self.voters,)
        return tuple(
            tuple(
                member.id
                for member in self.members
                if member.voter and member.change is not left_out
            )
            for left_out in (VoterChange.ENTERING, VoterChange.LEAVING)
        )

    def find(self, member_id: MemberId) -> MemberRecord | None:
        """Return a member by id, or None."""
        for member in self.members:
            if member.id == member_id:
                return member
        return None

    def with_learner(self, member: MemberRecord) -> "Configuration":
        """Return the configuration with a member added as a learner."""
        return Configuration((*self.members, replace(member, voter=False)))

    def with_voter(self, member_id: MemberId) -> "Configuration":
        """Return the configuration with a learner promoted to voter."""
        return Configuration(
            tuple(
                replace(member, voter=True) if member.id == member_id else member
                for member in self.members
            )
        )

    def without_member(self, member_id: MemberId) -> "Configuration":
        """Return the configuration without a member."""
        return Configuration(
            tuple(member for member in self.members if member.id != member_id)
        )

    def with_replacement(self, voter: MemberId, learner: MemberId) -> "Configuration":
        """Return the joint configuration of a replacement."""
        changes = {voter: VoterChange.LEAVING, learner: VoterChange.ENTERING}
        return Configuration(
            tuple(
                replace(member, voter=True, change=changes[member.id])
                if member.id in changes
                else member
                for member in self.members
            )
        )

    def without_replaced(self) -> "Configuration":
        """Return the configuration that ends a replacement."""
        return Configuration(
            tuple(
                replace(member, change=VoterChange.NONE)
                for member in self.members
                if member.change is not VoterChange.LEAVING
            )
        )


def has_quorum(groups: VoterGroups, members: AbstractSet[MemberId]) -> bool:
    """Return whether members include a majority of each group of voters."""
    return all(
        sum(voter in members for voter in group) > len(group) // 2 for group in groups
    )


def quorum_value(groups: VoterGroups, value_by_id: Mapping[MemberId, float]) -> float:
    """Return the largest value that a majority of each group has reached."""
    return min(
        sorted((value_by_id[voter] for voter in group), reverse=True)[len(group) // 2]
        for group in groups
    )
