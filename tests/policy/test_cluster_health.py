"""Tests of the losses that the members of the replicated log can bear."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.cluster_health import (
    ClusterHealth,
    ClusterState,
    assess_cluster,
)
from goldcrestyard.policy.membership import LOST_VOTER_SECONDS, MemberFacts

LOST = LOST_VOTER_SECONDS + 0.1
FULL, REDUCED, CRITICAL = ClusterState


def voter(member: str, silent: float = 0.1) -> MemberFacts:
    """Return a voter; the part before the ``#`` names its instance."""
    instance = InstanceId(member.partition("#")[0])
    return MemberFacts(MemberId(member), instance, True, silent, silent < LOST)


def learner(member: str, silent: float = 0.1, *, caught_up: bool = True) -> MemberFacts:
    instance = InstanceId(member.partition("#")[0])
    return MemberFacts(MemberId(member), instance, False, silent, caught_up)


def health(
    state: ClusterState,
    voters: int,
    sound: int,
    tolerated: int,
    *,
    missing: int = 0,
    lost: str = "",
    waiting: str = "",
) -> ClusterHealth:
    """Return an assessment; each letter names an instance."""
    return ClusterHealth(
        state,
        voters,
        sound,
        tolerated,
        missing,
        tuple(map(InstanceId, lost)),
        tuple(map(InstanceId, waiting)),
    )


@dataclass(frozen=True)
class Case:
    """Members, and the losses that they can bear."""

    name: str
    members: tuple[MemberFacts, ...]
    expected: ClusterHealth
    retiring: str = ""
    wanted_voters: int = 3


TWO = (voter("a#1"), voter("b#1"))
THREE = (*TWO, voter("c#1"))
FIVE = (*THREE, voter("d#1"), voter("e#1"))

CASES = [
    Case("all_well", THREE, health(FULL, 3, 3, 1)),
    Case("only_voter_of_one", (voter("a#1"),), health(FULL, 1, 1, 0), wanted_voters=1),
    Case(
        "silent_for_a_moment",
        (*TWO, voter("c#1", LOST_VOTER_SECONDS)),
        health(FULL, 3, 3, 1),
    ),
    Case(
        "lost_without_successor",
        (*TWO, voter("c#1", LOST)),
        health(CRITICAL, 3, 2, 0, missing=1, lost="c"),
    ),
    Case(
        "learner_takes_the_place_of_the_lost",
        (*TWO, voter("c#1", LOST), learner("d#1", caught_up=False)),
        health(CRITICAL, 3, 2, 0),
    ),
    Case(
        "learner_is_lost_too",
        (*TWO, voter("c#1", LOST), learner("d#1", LOST)),
        health(CRITICAL, 3, 2, 0, missing=1, lost="c"),
    ),
    Case(
        "emptied_disk_with_an_empty_process_at_its_address",
        (*TWO, voter("c#1", 0.1), learner("c#2")),
        health(CRITICAL, 3, 2, 0),
    ),
    Case(
        "learner_of_the_emptied_instance_is_its_own_successor",
        (voter("a#1"), voter("b#1", LOST), voter("c#1", 0.1), learner("c#2")),
        health(CRITICAL, 3, 1, 0, missing=1, lost="b"),
    ),
    Case(
        "lost_one_of_four_votes_on",
        (*THREE, voter("d#1", LOST)),
        health(CRITICAL, 4, 3, 0),
    ),
    Case(
        "lost_one_is_removed_without_successor",
        TWO,
        health(CRITICAL, 2, 2, 0, missing=1),
    ),
    Case(
        "no_majority_left",
        (voter("a#1"), voter("b#1", LOST), voter("c#1", LOST)),
        health(CRITICAL, 3, 1, 0, missing=2, lost="bc"),
    ),
    Case(
        "retiring_voter_waits_for_a_machine",
        THREE,
        health(FULL, 3, 3, 1, missing=1, waiting="c"),
        retiring="c",
    ),
    Case(
        "retiring_voter_has_a_successor",
        (*THREE, learner("d#1")),
        health(FULL, 3, 3, 1),
        retiring="c",
    ),
    Case(
        "learner_on_a_retiring_machine_is_no_successor",
        (*TWO, voter("c#1", LOST), learner("d#1")),
        health(CRITICAL, 3, 2, 0, missing=1, lost="c"),
        retiring="d",
    ),
    Case(
        "retiring_voter_waits_while_the_lost_one_takes_the_learner",
        (voter("a#1", LOST), *THREE[1:], learner("d#1")),
        health(CRITICAL, 3, 2, 0, missing=1, waiting="c"),
        retiring="c",
    ),
    Case(
        "retiring_voter_leaves_four",
        (*THREE, voter("d#1")),
        health(FULL, 4, 4, 1),
        retiring="c",
    ),
    Case(
        "one_lost_of_five",
        (*FIVE[:4], voter("e#1", LOST)),
        health(REDUCED, 5, 4, 1, missing=1, lost="e"),
        wanted_voters=5,
    ),
    Case(
        "two_lost_of_five_and_one_learner",
        (*THREE, voter("d#1", LOST), voter("e#1", LOST), learner("f#1")),
        health(CRITICAL, 5, 3, 0, missing=1, lost="e"),
        wanted_voters=5,
    ),
    Case(
        "fewer_voters_than_wanted",
        THREE,
        health(REDUCED, 3, 3, 1, missing=2),
        wanted_voters=5,
    ),
]


class AssessClusterTests(unittest.TestCase):
    """Guards against a loss of the majority that nobody saw coming."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_health(self, _: str, case: Case) -> None:
        retiring = frozenset(map(InstanceId, case.retiring))
        self.assertEqual(
            assess_cluster(case.members, case.wanted_voters, retiring), case.expected
        )
