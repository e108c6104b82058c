"""Who takes part in the replicated log."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NewType

from goldcrestyard.core.ids import InstanceId

MemberId = NewType("MemberId", str)
"""Instance id and incarnation.  The incarnation is drawn when the data
folder is created, so an instance that lost its disk is a different member:
it cannot vote from memory that it no longer has."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member of the replicated log."""

    id: MemberId
    instance: InstanceId
    address: str
    voter: bool


@dataclass(frozen=True, slots=True)
class Configuration:
    """All members; two that follow each other differ by one voter at most."""

    members: tuple[MemberRecord, ...] = ()

    @property
    def voters(self) -> tuple[MemberId, ...]:
        """The members whose votes and copies count."""
        return tuple(member.id for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """The number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def find(self, member_id: MemberId) -> MemberRecord | None:
        """Return a member by id, or None."""
        for member in self.members:
            if member.id == member_id:
                return member
        return None

    def with_learner(self, member: MemberRecord) -> "Configuration":
        """Return the configuration with one more member that cannot vote."""
        return Configuration((*self.members, replace(member, voter=False)))

    def with_voter(self, member_id: MemberId) -> "Configuration":
        """Return the configuration with a learner made a voter."""
        return Configuration(
            tuple(
                replace(member, voter=True) if member.id == member_id else member
                for member in self.members
            )
        )

    def without(self, member_id: MemberId) -> "Configuration":
        """Return the configuration without a member."""
        return Configuration(
            tuple(member for member in self.members if member.id != member_id)
        )


def quorum_value(values: Iterable[float], quorum: int) -> float:
    """Return the largest value that a quorum has reached."""
    return sorted(values, reverse=True)[quorum - 1]
