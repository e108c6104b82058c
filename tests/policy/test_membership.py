"""Tests of the membership changes that the leader makes."""

import unittest
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import permutations

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
    Replace,
    has_enough_sound_voters,
    may_retire,
    next_membership_change,
)


def facts(
    member: str,
    *,
    voter: bool = True,
    silent: float = 0.1,
    caught_up: bool = True,
    is_behind: bool = False,
) -> MemberFacts:
    """Return a member; the part before the ``#`` names its instance.

    One that is silent for a moment does not count as caught up.
    """
    instance = InstanceId(member.partition("#")[0])
    answers = silent < UNSURE
    return MemberFacts(
        MemberId(member),
        instance,
        voter,
        silent,
        caught_up and answers and not is_behind,
        answers,
        is_behind,
    )


def joiner(member: str) -> Joiner:
    return Joiner(MemberId(member), InstanceId(member.partition("#")[0]), "a:1")


def replace(voter: str, learner: str, reason: str) -> Replace:
    return Replace(MemberId(voter), MemberId(learner), reason)


RETIRING = "instance is retiring"
UNSURE = 1.0
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
    retired: frozenset[str] = field(default_factory=frozenset)


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
        "learner_takes_the_vote_of_a_silent_voter",
        (*THREE[:2], facts("c#1", silent=LOST), facts("d#1", voter=False)),
        replace("c#1", "d#1", "lost"),
    ),
    Case(
        "silent_voter_that_enough_others_outvote_goes",
        (*THREE, facts("d#1", silent=LOST), facts("e#1", voter=False)),
        Drop(MemberId("d#1"), "lost, and enough others vote"),
    ),
    Case(
        "voter_that_is_silent_for_a_moment_stays",
        (*THREE[:2], facts("c#1", silent=UNSURE), facts("d#1", voter=False)),
        None,
    ),
    Case(
        "learner_that_is_silent_for_a_moment_gets_no_vote",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False, silent=UNSURE),
        ),
        None,
    ),
    Case(
        "successor_that_lacks_entries_takes_the_vote_of_a_lost_voter",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False, caught_up=False),
        ),
        replace("c#1", "d#1", "lost"),
    ),
    Case(
        "successor_that_lacks_no_entries_goes_before_one_that_does",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False, caught_up=False),
            facts("e#1", voter=False),
        ),
        replace("c#1", "e#1", "lost"),
    ),
    Case(
        "identity_of_a_wiped_disk_is_replaced_before_the_log_is_copied",
        (*THREE[:2], facts("c#1"), facts("c#2", voter=False, caught_up=False)),
        replace("c#1", "c#2", "lost"),
    ),
    Case(
        "learner_that_lacks_entries_takes_no_vote_of_a_voter_that_retires",
        (*THREE, facts("d#1", voter=False, caught_up=False)),
        None,
        retiring=frozenset({"c"}),
    ),
    Case(
        "learner_that_lacks_entries_adds_no_vote",
        (*THREE[:2], facts("d#1", voter=False, caught_up=False)),
        None,
    ),
    Case(
        "learner_that_joined_again_on_an_empty_disk_votes",
        (*THREE[:2], facts("d#1", voter=False), facts("d#2", voter=False)),
        Promote(MemberId("d#2")),
    ),
    Case(
        "learner_votes_while_there_are_too_few_voters",
        (*THREE[:2], facts("d#1", voter=False)),
        Promote(MemberId("d#1")),
    ),
    Case(
        "identity_of_a_wiped_disk_is_lost_at_once",
        (*THREE[:2], facts("c#1", silent=0.5), facts("c#2", voter=False)),
        replace("c#1", "c#2", "lost"),
    ),
    Case(
        "old_identity_is_lost_even_if_it_was_heard_last",
        (*THREE[:2], facts("c#1", silent=0.1), facts("c#2", voter=False, silent=0.4)),
        replace("c#1", "c#2", "lost"),
    ),
    Case(
        "voter_without_its_disk_goes_before_a_silent_one",
        (
            facts("a#1"),
            facts("b#1", silent=LOST),
            facts("c#1", silent=LOST),
            facts("d#1"),
            facts("c#2", voter=False),
        ),
        replace("c#1", "c#2", "lost"),
    ),
    Case(
        "learner_without_its_disk_gets_no_vote",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False),
            facts("d#2", voter=False, silent=UNSURE),
        ),
        Drop(MemberId("d#1"), "silent learner"),
    ),
    Case(
        "learner_that_lost_its_disk_takes_the_vote_on_its_present_one",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False),
            facts("d#2", voter=False, caught_up=False),
        ),
        replace("c#1", "d#2", "lost"),
    ),
    Case(
        "learner_that_has_the_log_takes_the_vote_of_one_that_copies_it",
        (*THREE[:2], facts("d#1", is_behind=True), facts("e#1", voter=False)),
        replace("d#1", "e#1", "has not caught up"),
    ),
    Case(
        "voter_that_lacks_entries_for_a_moment_stays",
        (*THREE[:2], facts("c#1", caught_up=False), facts("d#1", voter=False)),
        None,
    ),
    Case(
        "learner_that_copies_takes_no_vote_of_one_that_does",
        (
            *THREE[:2],
            facts("d#1", is_behind=True),
            facts("e#1", voter=False, caught_up=False),
        ),
        None,
    ),
    Case(
        "no_exchange_that_needs_the_copy_to_be_committed",
        (
            THREE[0],
            facts("b#1", silent=UNSURE),
            facts("d#1", is_behind=True),
            facts("e#1", voter=False),
        ),
        None,
    ),
    Case("spare_learner_does_not_vote", (*THREE, facts("d#1", voter=False)), None),
    Case(
        "silent_learner_goes",
        (*THREE, facts("d#1", voter=False, silent=LOST_LEARNER_SECONDS + 1)),
        Drop(MemberId("d#1"), "silent learner"),
    ),
    Case(
        "learner_takes_the_vote_of_a_retiring_voter",
        (*THREE, facts("d#1", voter=False)),
        replace("c#1", "d#1", RETIRING),
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_stays_without_a_learner",
        THREE,
        None,
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_goes_if_enough_others_vote",
        (*THREE, facts("d#1")),
        Drop(MemberId("c#1"), RETIRING),
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_stays_while_one_of_the_others_is_silent",
        (facts("a#1"), facts("b#1", silent=UNSURE), facts("c#1"), facts("d#1")),
        None,
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_keeps_its_vote_while_one_of_the_others_is_silent",
        (
            facts("a#1"),
            facts("b#1", silent=UNSURE),
            facts("c#1"),
            facts("d#1", voter=False),
        ),
        None,
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_keeps_its_vote_if_four_others_include_a_silent_one",
        (
            facts("a#1"),
            facts("b#1", silent=UNSURE),
            facts("c#1"),
            facts("d#1"),
            facts("e#1", voter=False),
        ),
        None,
        retiring=frozenset({"c"}),
    ),
    Case(
        "retiring_voter_stays_beside_four_others_one_of_them_silent",
        (
            facts("a#1"),
            facts("b#1", silent=UNSURE),
            facts("c#1"),
            facts("d#1"),
            facts("e#1"),
        ),
        None,
        retiring=frozenset({"c"}),
    ),
    Case(
        "lost_voter_goes_before_a_retiring_one",
        (
            facts("a#1"),
            facts("b#1", silent=LOST),
            facts("c#1"),
            facts("d#1", voter=False),
        ),
        replace("b#1", "d#1", "lost"),
        retiring=frozenset({"c"}),
    ),
    Case(
        "two_voters_retire_one_after_the_other",
        (*THREE, facts("d#1", voter=False), facts("e#1", voter=False)),
        replace("b#1", "d#1", RETIRING),
        retiring=frozenset({"b", "c"}),
    ),
    Case(
        "retiring_machine_is_not_added",
        THREE,
        None,
        ("d#1",),
        frozenset({"d"}),
    ),
    Case(
        "retiring_machine_is_added_for_a_lost_voter",
        (*THREE[:2], facts("c#1", silent=LOST)),
        Add(joiner("d#1")),
        ("d#1",),
        frozenset({"d"}),
    ),
    Case(
        "retiring_machine_is_not_added_beside_another_successor",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("e#1", voter=False, silent=UNSURE),
        ),
        None,
        ("d#1",),
        frozenset({"d"}),
    ),
    Case(
        "retired_machine_is_not_added",
        (*THREE[:2], facts("c#1", silent=LOST)),
        None,
        ("d#1",),
        frozenset({"d"}),
        frozenset({"d"}),
    ),
    Case(
        "retiring_learner_takes_the_vote_of_a_lost_voter",
        (*THREE[:2], facts("c#1", silent=LOST), facts("d#1", voter=False)),
        replace("c#1", "d#1", "lost"),
        retiring=frozenset({"d"}),
    ),
    Case(
        "retiring_learner_leaves_the_vote_to_one_that_catches_up",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False),
            facts("e#1", voter=False, caught_up=False),
        ),
        replace("c#1", "e#1", "lost"),
        retiring=frozenset({"d"}),
    ),
    Case(
        "retiring_learner_leaves_the_vote_to_one_that_is_silent_for_a_moment",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False),
            facts("e#1", voter=False, silent=UNSURE),
        ),
        Drop(MemberId("d#1"), RETIRING),
        retiring=frozenset({"d"}),
    ),
    Case(
        "retiring_learner_takes_the_vote_beside_a_silent_learner",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False),
            facts("e#1", voter=False, silent=LOST),
        ),
        replace("c#1", "d#1", "lost"),
        retiring=frozenset({"d"}),
    ),
    Case(
        "retiring_learner_that_is_needed_stays",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False, silent=UNSURE),
        ),
        None,
        retiring=frozenset({"d"}),
    ),
    Case(
        "retiring_learner_that_is_needed_takes_the_vote_before_it_has_the_log",
        (
            *THREE[:2],
            facts("c#1", silent=LOST),
            facts("d#1", voter=False, caught_up=False),
        ),
        replace("c#1", "d#1", "lost"),
        retiring=frozenset({"d"}),
    ),
    Case(
        "learner_on_a_retired_machine_gets_no_vote",
        (*THREE[:2], facts("c#1", silent=LOST), facts("d#1", voter=False)),
        Drop(MemberId("d#1"), RETIRING),
        retiring=frozenset({"d"}),
        retired=frozenset({"d"}),
    ),
    Case(
        "retiring_learner_that_is_not_needed_goes",
        (*THREE, facts("d#1", voter=False)),
        Drop(MemberId("d#1"), RETIRING),
        retiring=frozenset({"d"}),
    ),
]


class NextStepTests(unittest.TestCase):
    """Guards against voters that lost their log, and a lost majority."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_step(self, _: str, case: Case) -> None:
        step = next_membership_change(
            case.members,
            [joiner(member) for member in case.joiners],
            3,
            instances(case.retiring),
            instances(case.retired),
        )
        self.assertEqual(step, case.expected)

    @parameterized.expand(
        [
            ("three", THREE, True),
            ("two", THREE[:2], False),
            ("two_and_a_learner", (*THREE[:2], facts("d#1", voter=False)), False),
            ("two_and_a_silent_one", (*THREE[:2], facts("c#1", silent=UNSURE)), False),
            ("three_and_a_silent_one", (*THREE, facts("d#1", silent=UNSURE)), False),
            ("four", (*THREE, facts("d#1")), True),
        ]
    )
    def test_enough_sound_voters(
        self, _: str, members: tuple[MemberFacts, ...], expected: bool
    ) -> None:
        self.assertIs(has_enough_sound_voters(members, 3), expected)

    @parameterized.expand(
        [
            ("three", "abc", "", False),
            ("four", "abcd", "", True),
            ("four_of_which_one_retires", "abcd", "d", False),
            ("repeated_order", "abcd", "c", True),
        ]
    )
    def test_retirement_leaves_enough(
        self, _: str, known: str, retiring: str, expected: bool
    ) -> None:
        self.assertEqual(
            may_retire(instances(known), instances(retiring), InstanceId("c"), 3),
            expected,
        )


def instances(names: Iterable[str]) -> frozenset[InstanceId]:
    return frozenset(map(InstanceId, names))


class Fleet:
    """Control members whose processes freeze, return and lose their disks.

    The leader's changes are applied one at a time, and only while a majority
    of the voters runs.
    """

    wanted_voters = 3

    def __init__(self) -> None:
        self.generations = dict.fromkeys("abcd", 1)
        self.frozen: set[str] = set()
        self.retiring: set[str] = set()
        self.voter_by_id = {"a#1": True, "b#1": True, "c#1": True, "d#1": False}
        self.changes: list[object] = []

    def running(self, member: str) -> bool:
        name, _, generation = member.partition("#")
        return name not in self.frozen and self.generations[name] == int(generation)

    def voters(self) -> list[str]:
        return [member for member, votes in self.voter_by_id.items() if votes]

    def has_majority(self) -> bool:
        voters = self.voters()
        return 2 * sum(map(self.running, voters)) > len(voters)

    def play(self, event: tuple[str, str]) -> None:
        match event:
            case "freeze", name:
                self.frozen.add(name)
            case "thaw", name:
                self.frozen.discard(name)
            case "lose disk", name:
                self.generations[name] += 1
            case "retire", name:
                if may_retire(
                    instances("".join(self.generations)),
                    instances("".join(self.retiring)),
                    InstanceId(name),
                    self.wanted_voters,
                ):
                    self.retiring.add(name)

    def settle(self) -> None:
        """Apply the leader's changes until there are none."""
        for _ in range(30):
            if not self.has_majority():
                return
            members = [
                facts(
                    member,
                    voter=votes,
                    silent=0.1 if self.running(member) else LOST_LEARNER_SECONDS + 1,
                    caught_up=self.running(member),
                )
                for member, votes in self.voter_by_id.items()
            ]
            joiners = [
                joiner(f"{name}#{generation}")
                for name, generation in self.generations.items()
                if name not in self.frozen
            ]
            change = next_membership_change(
                members, joiners, self.wanted_voters, instances("".join(self.retiring))
            )
            if change is None:
                return
            self.changes.append(change)
            match change:
                case Add(joiner=added):
                    self.voter_by_id[added.id] = False
                case Promote(learner=learner):
                    self.voter_by_id[learner] = True
                case Replace(voter=voter, learner=learner):
                    del self.voter_by_id[voter]
                    self.voter_by_id[learner] = True
                case Drop(id=dropped):
                    del self.voter_by_id[dropped]
        raise AssertionError(f"the changes do not end: {self.changes[-6:]}")


RETIREMENT_EVENTS = [
    ("freeze", "b"),
    ("thaw", "b"),
    ("lose disk", "c"),
    ("retire", "a"),
    ("freeze", "d"),
    ("thaw", "d"),
]


class RetirementTests(unittest.TestCase):
    """Pattern: a machine is emptied while others freeze, return and fail.

    Every order of the events is played.  Guards against changes that take
    away the majority, and against an order that never ends.
    """

    def test_every_order(self) -> None:
        for events in permutations(RETIREMENT_EVENTS):
            with self.subTest(events=events):
                fleet = Fleet()
                for event in events:
                    fleet.play(event)
                    had_majority = fleet.has_majority()
                    fleet.settle()
                    self.assertEqual(fleet.has_majority(), had_majority)
                fleet.frozen.clear()
                fleet.settle()
                self.assertTrue(fleet.has_majority())
                self.assertEqual(fleet.retiring, {"a"})
                names = {member[0] for member in fleet.voters()}
                self.assertEqual(names, {"b", "c", "d"})
                self.assertTrue(all(map(fleet.running, fleet.voters())))
