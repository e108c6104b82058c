"""Cluster configuration: the members of the replicated log."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NewType

from goldcrestyard.core.ids import InstanceId

MemberId = NewType("MemberId", str)
"""Instance id and incarnation of a member.  The incarnation is drawn at random
when the data folder is created.  An instance that lost its disk is therefore a
different member, so it cannot vote twice in a term, and the entries that it
lost do not count as stored."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member of a configuration, either a voter or a learner.

    ``address`` is the peer address of its instance.
    """

    id: MemberId
    instance: InstanceId
    address: str
    voter: bool


@dataclass(frozen=True, slots=True)
class Configuration:
    """The set of members.

    Consecutive configurations differ by at most one voter, so that any two
    of their majorities overlap.
    """

    members: tuple[MemberRecord, ...] = ()

    @property
    def voters(self) -> tuple[MemberId, ...]:
        """Ids of the members that count towards the quorum."""
        return tuple(member.id for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

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


def quorum_value(values: Iterable[float], quorum: int) -> float:
    """Return the largest value that a quorum of voters has reached.

    ``values`` has one value for each voter.
    """
    return sorted(values, reverse=True)[quorum - 1]
