"""Short texts for the log lines of members without a leader.

Readers of an incident may have the first 200 characters of a line only.
"""

from collections.abc import Sequence

from goldcrestyard.consensus.configuration import MemberId, VoterGroups
from goldcrestyard.consensus.missing_votes import (
    ANSWER_SECONDS,
    Emptied,
    LackingGroup,
    MemberAnswer,
    Refusing,
    Silent,
    Suspended,
    VoteFault,
)

GROUP_NAMES = ("old ", "new ")
"""Names of the groups of voters while a voter is replaced."""

MAX_FAILURE_CHARACTERS = 40
INCARNATION_CHARACTERS = 4


def short_id(member: MemberId) -> str:
    """Return the host or name in a member id, and part of its incarnation."""
    instance, _, incarnation = member.rpartition("#")
    return f"{instance.partition(':')[0]}#{incarnation[:INCARNATION_CHARACTERS]}"


def describe_ids(members: Sequence[MemberId]) -> str:
    """Return short ids, separated by spaces."""
    return " ".join(map(short_id, members))


def describe_voters(groups: VoterGroups) -> str:
    """Return the voters; the old and the new ones during a replacement."""
    if len(groups) == 1:
        return describe_ids(groups[0])
    named = zip(GROUP_NAMES, groups, strict=True)
    return "; ".join(name + describe_ids(group) for name, group in named)


def describe_lacks(groups: Sequence[LackingGroup | None]) -> str:
    """Return how many votes each group lacks, and why."""
    names = GROUP_NAMES if len(groups) > 1 else ("",)
    if not any(groups):
        return "nothing, enough voters answer"
    return "; ".join(
        f"{group.missing} of {group.needed} {name}votes: "
        + ", ".join(
            f"{short_id(voter)} {_describe_fault(fault)}"
            for voter, fault in group.faults.items()
        )
        for name, group in zip(names, groups, strict=True)
        if group is not None
    )


def _describe_fault(fault: VoteFault) -> str:
    match fault:
        case Silent(seconds=None):
            return "never answered"
        case Silent(seconds=seconds):
            return f"silent {seconds:.1f}s"
        case Emptied(member=member):
            return f"emptied, now #{short_id(member).rpartition('#')[2]}"
        case Suspended(failure=failure):
            return _shorten(failure)
        case Refusing(leader=leader):
            return f"refuses, follows {short_id(leader)}" if leader else "refuses"


def describe_followers(answers: Sequence[MemberAnswer]) -> str:
    """Return which members that answer follow a leader; empty if none does."""
    return ", ".join(
        f"{short_id(answer.member)} follows {short_id(answer.state.leader)}"
        for answer in answers
        if answer.member is not None
        and answer.state is not None
        and answer.state.leader is not None
        and answer.seconds_ago <= ANSWER_SECONDS
    )


def describe_answers(answers: Sequence[MemberAnswer]) -> str:
    """Return what the other members answer: role, log and configuration.

    Members that ceased to answer while there was a leader are left out: they
    have told no state.
    """
    return "; ".join(
        _describe_answer(answer)
        for answer in answers
        if answer.state is not None or answer.seconds_ago <= ANSWER_SECONDS
    )


def _describe_answer(answer: MemberAnswer) -> str:
    name = short_id(answer.member) if answer.member else str(answer.instance)
    state = answer.state
    if answer.failure:
        text = _shorten(answer.failure)
    elif state is None:
        text = "state unknown"
    else:
        leader = f" of {short_id(state.leader)}" if state.leader else ""
        text = (
            f"{state.role.value}{leader} term {state.term} last {state.last_index} "
            f"cfg {state.configuration_index}"
        )
    return f"{name} {text} {answer.seconds_ago:.1f}s ago"


def _shorten(failure: str) -> str:
    """Return a failure without its details; the member's own log has them."""
    return failure.partition(":")[0][:MAX_FAILURE_CHARACTERS]
