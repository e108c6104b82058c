"""Searches the model of the membership changes, also with injected faults.

    python -m tests.policy.test_membership_model

searches larger cases than the tests do.
"""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from parameterized import parameterized

from goldcrestyard.policy.membership import (
    LOST_VOTER_SECONDS,
    Drop,
    MemberFacts,
    MembershipChange,
    Replace,
    has_enough_sound_voters,
    next_membership_change,
)
from tests.policy.membership_model import Case, Policy, ViolationError, explore


def with_trusted_voters(members: Sequence[MemberFacts]) -> list[MemberFacts]:
    """Return the members; voters silent for a moment count as answering."""
    return [
        replace(member, caught_up=True)
        if member.voter and member.silent_seconds <= LOST_VOTER_SECONDS
        else member
        for member in members
    ]


def trust_silent_voters(
    members: Sequence[MemberFacts], *arguments: Any
) -> MembershipChange | None:
    return next_membership_change(with_trusted_voters(members), *arguments)


def drop_lost_voter_first(
    members: Sequence[MemberFacts], *arguments: Any
) -> MembershipChange | None:
    change = next_membership_change(members, *arguments)
    match change:
        case Replace(voter=voter, reason="lost" as reason):
            return Drop(voter, reason)
    return change


def wait_for_the_copy(
    members: Sequence[MemberFacts], *arguments: Any
) -> MembershipChange | None:
    changed = [replace(member, answers=member.caught_up) for member in members]
    return next_membership_change(changed, *arguments)


def has_enough_trusted_voters(
    members: Sequence[MemberFacts], wanted_voters: int
) -> bool:
    return has_enough_sound_voters(with_trusted_voters(members), wanted_voters)


SLOW_COPIES = Case(
    "second_loss_during_a_copy", spares=0, orders=0, freezes=0, slow_copies=True
)

FAULTS = [
    (
        "silent_voters_count_as_staying",
        Policy(trust_silent_voters, has_enough_trusted_voters),
        Case("", spares=0, freezes=0),
        "the sound disks have no quorum of the committed configuration",
    ),
    (
        "lost_voter_is_dropped_before_its_successor_votes",
        Policy(drop_lost_voter_first),
        Case("", orders=0, losses=1, freezes=1),
        "the sound disks have no quorum of the pending configuration",
    ),
    (
        "vote_stays_with_a_lost_disk_until_the_log_is_copied",
        Policy(wait_for_the_copy),
        SLOW_COPIES,
        "the sound disks have no quorum of the committed configuration",
    ),
    (
        "removed_voter_starts_no_election",
        Policy(removed_voter_campaigns=False),
        Case("", losses=1, freezes=0),
        "no sound disk that has what is committed can lead",
    ),
]
"""Faults of the policy, with a case that shows each and the rule it breaks."""

FIVE = Case("five", wanted_voters=5, budget=2, losses=3, freezes=1)

CASES = [
    Case("no_spare_machine", spares=0, freezes=1),
    Case("spare_machine_and_an_order", losses=1, freezes=0),
    Case("spare_machine_and_two_losses", orders=0, freezes=0),
    SLOW_COPIES,
    replace(SLOW_COPIES, name="second_loss_during_a_copy_with_a_spare", spares=1),
    Case("spare_machine_to_a_depth", freezes=1, depth=6),
    replace(FIVE, name="five_voters_to_a_depth", depth=5),
]

DEEP_CASES = [
    Case("two_frozen_machines_and_no_spare", spares=0),
    Case("order_and_two_losses", freezes=0),
    replace(SLOW_COPIES, name="copy_loss_and_freeze", freezes=1, spares=1),
    replace(SLOW_COPIES, name="copy_losses_and_order", orders=1),
    Case("two_orders", orders=2, losses=1, freezes=0),
    Case("loss_and_freeze", orders=0, losses=1, freezes=1),
    Case("spare_machine_deeper", freezes=1, depth=10),
    replace(FIVE, name="five_voters_deeper", depth=7),
]


class MembershipModelTests(unittest.TestCase):
    """Guards against changes that leave too few sound disks for a quorum."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_every_state_is_sound(self, _: str, case: Case) -> None:
        explore(case)

    @parameterized.expand(FAULTS)
    def test_fault_is_found(
        self, _: str, policy: Policy, case: Case, rule: str
    ) -> None:
        with self.assertRaises(ViolationError) as raised:
            explore(case, policy)
        self.assertEqual(str(raised.exception).splitlines()[0], rule)


def main() -> None:
    """Search the deep cases, and print the number of states and the depth."""
    for case in DEEP_CASES:
        print(case.name, *explore(case), flush=True)


if __name__ == "__main__":
    main()
