"""Faults of former incidents, put back for a search that has to find them."""

from collections.abc import Callable, Iterable, Sequence
from collections.abc import Set as AbstractSet
from contextlib import AbstractContextManager, ExitStack
from dataclasses import replace
from functools import partial
from typing import Any
from unittest import mock

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.policy.membership import (
    LOST_VOTER_SECONDS,
    Drop,
    MemberFacts,
    MembershipChange,
    Replace,
    _Facts,
    has_enough_sound_voters,
    next_membership_change,
)

Patch = Callable[[], AbstractContextManager[object]]


def _patch_policy(policy: Callable[..., MembershipChange | None]) -> Patch:
    name = "goldcrestyard.fleet.assembly.manager.next_membership_change"
    return lambda: mock.patch(name, policy)


def _with_trusted_voters(members: Iterable[MemberFacts]) -> list[MemberFacts]:
    return [
        replace(member, caught_up=True)
        if member.voter and member.silent_seconds <= LOST_VOTER_SECONDS
        else member
        for member in members
    ]


def _trust_silent_voters(
    members: Sequence[MemberFacts], *arguments: Any
) -> MembershipChange | None:
    return next_membership_change(_with_trusted_voters(members), *arguments)


def _has_enough_trusted_voters(
    members: Iterable[MemberFacts], wanted_voters: int
) -> bool:
    return has_enough_sound_voters(_with_trusted_voters(members), wanted_voters)


def _drop_lost_voter_first(
    members: Sequence[MemberFacts], *arguments: Any
) -> MembershipChange | None:
    change = next_membership_change(members, *arguments)
    match change:
        case Replace(voter=voter, reason="lost" as reason):
            return Drop(voter, reason)
    return change


def _wait_for_the_copy(
    members: Sequence[MemberFacts], *arguments: Any
) -> MembershipChange | None:
    changed = [replace(member, answers=member.caught_up) for member in members]
    return next_membership_change(changed, *arguments)


def _all_machines(manager: MembershipManager) -> frozenset[InstanceId]:
    machines = manager._machines
    return frozenset(machines.names_by_instance) - machines.retired_instances()


def _admits_no_retiring(self: _Facts, instance: InstanceId) -> bool:
    retiring: AbstractSet[InstanceId] = self._retiring
    return instance not in retiring


def _patch_all(*patches: Patch) -> Patch:
    def enter() -> AbstractContextManager[object]:
        stack = ExitStack()
        for patch in patches:
            stack.enter_context(patch())
        return stack

    return enter


_SILENT_VOTERS_STAY = _patch_all(
    _patch_policy(_trust_silent_voters),
    partial(
        mock.patch,
        "goldcrestyard.fleet.assembly.manager.has_enough_sound_voters",
        _has_enough_trusted_voters,
    ),
)
_GONE_MACHINES_COUNT: Patch = partial(
    mock.patch.object, MembershipManager, "_remaining_instances", _all_machines
)
_RETIRING_STAY_OUT: Patch = partial(
    mock.patch.object, _Facts, "may_join", _admits_no_retiring
)

FORMER_FAULTS: dict[str, Patch] = {
    "silent_voters_stay": _SILENT_VOTERS_STAY,
    "gone_machines_count": _GONE_MACHINES_COUNT,
    "retiring_stay_out": _RETIRING_STAY_OUT,
    "gone_machines_count_and_silent_voters_stay": _patch_all(
        _GONE_MACHINES_COUNT, _SILENT_VOTERS_STAY
    ),
    "gone_machines_count_and_retiring_stay_out": _patch_all(
        _GONE_MACHINES_COUNT, _RETIRING_STAY_OUT
    ),
    "lost_voter_is_dropped_first": _patch_policy(_drop_lost_voter_first),
    "vote_waits_for_the_copy": _patch_policy(_wait_for_the_copy),
}
"""Issue 40: all but ``vote_waits_for_the_copy``, which is issue 43.  An order
to empty a machine was accepted although another one was gone for good, and the
two parts of the incident then followed from it."""
