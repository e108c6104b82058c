"""Tests of the membership changes that the leader makes."""

import unittest
from dataclasses import dataclass, field

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.membership import (
    LOST_LEARNER_SECONDS,
    LOST_VOTER_SECONDS,
    Add,
    Drop,
    Joiner,
    MemberFacts,
    Promote,
    may_retire,
    next_membership_change,
)


def facts(
    member: str, *, voter: bool = True, silent: float = 0.1, caught_up: bool = True
) -> MemberFacts:
    """Return a member; the part before the ``#`` names its instance."""
    instance = InstanceId(member.partition("#")[0])
    return MemberFacts(MemberId(member), instance, voter, silent, caught_up)


def joiner(member: str) -> Joiner:
    return Joiner(MemberId(member), InstanceId(member.partition("#")[0]), "a:1")


LOST = LOST_VOTER_SECONDS + 0.1
THREE = (facts("a#1"), facts("b#1"), facts("c#1"))


@dataclass(frozen=True)
class Case:
    """Members and joining processes, and the next change."""

    name: str
    members: tuple[MemberFacts, ...]
    expected: object
    joiners: tuple[str, ...] = ()
    retiring: frozenset[str] = field(default_factory=frozenset)


CASES = [
    Case("all_well", THREE, None),
    Case("known_member_asks_again", THREE, None, ("c#1",)),
    Case("new_machine", THREE, Add(joiner("d#1")), ("d#1",)),
    Case("empty_disk_at_an_old_address", THREE, Add(joiner("c#2")), ("c#2",)),
    Case(
        "silent_voter_without_a_successor",
        (*THREE[:2], facts("c#1", silent=LOST)),
        None,
    ),
    Case(
        "silent_voter_goes_before_its_successor_votes",
        (*THREE[:2], facts("c#1", silent=LOST), facts("d#1", voter=False)),
        Drop(MemberId("c#1"), "lost, and another member takes its place"),
    ),
    Case(
        "successor_that_lacks_entries_waits",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False, caught_up=False),
        ),
        None,
    ),
    Case(
        "successor_votes_once_the_lost_one_is_gone",
        (*THREE[:2], facts("d#1", voter=False)),
        Promote(InstanceId("d")),
    ),
    Case(
        "identity_of_a_wiped_disk_is_lost_at_once",
        (*THREE[:2], facts("c#1", silent=0.5), facts("c#2", voter=False)),
        Drop(MemberId("c#1"), "lost, and another member takes its place"),
    ),
    Case(
        "old_identity_is_lost_even_if_it_was_heard_last",
        (*THREE[:2], facts("c#1", silent=0.1), facts("c#2", voter=False, silent=0.4)),
        Drop(MemberId("c#1"), "lost, and another member takes its place"),
    ),
    Case("spare_learner_does_not_vote", (*THREE, facts("d#1", voter=False)), None),
    Case(
        "silent_learner_goes",
        (*THREE, facts("d#1", voter=False, silent=LOST_LEARNER_SECONDS + 1)),
        Drop(MemberId("d#1"), "silent learner"),
    ),
    Case(
        "retiring_voter_stays_until_another_votes",
        (*THREE, facts("d#1", voter=False)),
        Promote(InstanceId("d")),
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_goes_then",
        (*THREE, facts("d#1")),
        Drop(MemberId("c#1"), "instance is lost or retiring"),
        retiring=frozenset({"c"}),
    ),
    Case("retired_machine_is_not_added", THREE, None, ("d#1",), frozenset({"d"})),
]


class NextStepTests(unittest.TestCase):
    """Guards against voters that lost their log, and a lost majority."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_step(self, _: str, case: Case) -> None:
        step = next_membership_change(
            case.members,
            [joiner(member) for member in case.joiners],
            3,
            frozenset(InstanceId(name) for name in case.retiring),
        )
        self.assertEqual(step, case.expected)

    @parameterized.expand(
        [("three", THREE, False), ("four", (*THREE, facts("d#1")), True)]
    )
    def test_retirement_leaves_enough(
        self, _: str, members: tuple[MemberFacts, ...], expected: bool
    ) -> None:
        self.assertEqual(may_retire(members, InstanceId("c"), 3), expected)
