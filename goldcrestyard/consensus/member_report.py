"""State of this instance's member for its own log lines."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.link import MemberState
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.missing_votes import (
    LackingGroup,
    MemberAnswer,
    find_lacking_groups,
)
from goldcrestyard.core.ids import Term


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a member knows of itself and of the other members."""

    member: MemberId
    is_member: bool
    """Whether it is in its own configuration, with or without a vote."""
    disk_was_empty: bool
    """Whether the disk held no state of a cluster at the start."""
    state: MemberState
    configuration_term: Term | None
    """Term of the latest configuration's entry; None if it is compacted."""
    silent_seconds_by_voter: dict[MemberId, float | None]
    """Time since this member's link to a voter was last answered by it.  None
    if never; another member may answer in its place."""
    other_members: tuple[MemberId, ...]
    """Members that have answered on a link and have no vote."""
    answers: tuple[MemberAnswer, ...]
    """Latest answers of the other instances, the newest first."""
    refusing: AbstractSet[MemberId]
    """Voters that have lately refused this member a vote."""

    @property
    def known_by(self) -> tuple[MemberId, MemberState]:
        """The member whose configuration counts here, and its state.

        One that is no member goes by the latest configuration that it was
        told.
        """
        known = self.member, self.state
        if not self.is_member:
            for answer in self.answers:
                if (
                    answer.member is not None
                    and answer.state is not None
                    and answer.state.configuration_index > known[1].configuration_index
                ):
                    known = answer.member, answer.state
        return known

    def rounded_silence(self) -> dict[MemberId, float | None]:
        """Return ``silent_seconds_by_voter`` as it is logged."""
        return {
            voter: round(seconds, 1) if seconds is not None else None
            for voter, seconds in self.silent_seconds_by_voter.items()
        }

    def lacking_groups(self) -> tuple[LackingGroup | None, ...]:
        """Return, for each group of voters, what keeps it from a majority."""
        groups = self.known_by[1].voter_groups
        return find_lacking_groups(groups, self.member, self.answers, self.refusing)


def make_member_state(core: Member) -> MemberState:
    """Return the state of ``core`` as told to other members."""
    return MemberState(
        core.role,
        core.term,
        core.leader,
        core.log.last_index,
        core.log.last_term,
        core.log.configuration_index or core.log.base_index,
        core.configuration.voter_groups,
        tuple(m.id for m in core.configuration.members if not m.voter),
    )


def make_member_report(
    core: Member,
    disk_was_empty: bool,
    answers: tuple[MemberAnswer, ...],
    refusing: AbstractSet[MemberId],
) -> MemberReport:
    """Return the report of the member whose state is ``core``."""
    seconds_ago = {answer.member: answer.seconds_ago for answer in answers}
    silent = {voter: seconds_ago.get(voter) for voter in core.configuration.voters}
    if core.id in silent:
        silent[core.id] = 0.0
    others = {answer.member for answer in answers if answer.member is not None}
    state = make_member_state(core)
    return MemberReport(
        core.id,
        core.configuration.find(core.id) is not None,
        disk_was_empty,
        state,
        core.log.term_at(state.configuration_index),
        silent,
        tuple(sorted(others - silent.keys())),
        tuple(sorted(answers, key=lambda answer: answer.seconds_ago)),
        refusing,
    )
