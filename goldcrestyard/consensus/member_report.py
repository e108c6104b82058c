"""State of this instance's member for its own log lines."""

from collections.abc import Mapping
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import LogIndex, Term


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a member knows of itself and of the other members."""

    member: MemberId
    is_member: bool
    """Whether it is in its own configuration, with or without a vote."""
    disk_was_empty: bool
    """Whether the disk held no state of a cluster at the start."""
    role: Role
    term: Term
    last_index: LogIndex
    silent_seconds_by_voter: dict[MemberId, float | None]
    """Time since this member's link to a voter was last answered by it.  None
    if never; another member may answer in its place."""
    other_members: tuple[MemberId, ...]
    """Members that have answered on a link and have no vote."""


def make_member_report(
    core: Member,
    disk_was_empty: bool,
    answered_at_by_member: Mapping[MemberId, float],
    now: float,
) -> MemberReport:
    """Return the report of the member whose state is ``core``."""
    silent: dict[MemberId, float | None] = {}
    for voter in core.configuration.voters:
        answered_at = answered_at_by_member.get(voter)
        silent[voter] = now - answered_at if answered_at is not None else None
    if core.id in silent:
        silent[core.id] = 0.0
    return MemberReport(
        core.id,
        core.configuration.find(core.id) is not None,
        disk_was_empty,
        core.role,
        core.term,
        core.log.last_index,
        silent,
        tuple(sorted(answered_at_by_member.keys() - silent.keys())),
    )
