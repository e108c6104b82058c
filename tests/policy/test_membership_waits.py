"""Tests of the reasons for which a step of the membership waits.

Guards against a cluster that stays one disk from its end without a line that
says which step does not finish, and why.
"""

import unittest
from collections.abc import Mapping
from dataclasses import replace

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId, LogIndex
from goldcrestyard.policy.membership import MemberFacts
from goldcrestyard.policy.membership_waits import (
    Cause,
    LacksConfiguration,
    LacksEntries,
    LogFacts,
    MembershipWait,
    NoLearner,
    NotStored,
    Silent,
    Step,
    find_membership_wait,
)
from tests.policy.test_cluster_health import LOST, learner, voter

A, B, C, D = (MemberId(f"{name}#1") for name in "abcd")
COMMIT, REPLACE, RETIRE, COMPLETE, PROMOTE = Step
THREE = voter(A), voter(B), voter(C)
TWO_LEFT = (*THREE[:2], voter(C, LOST))
BEHIND = learner(D, caught_up=False)
ALL_STORED = {A: 200, B: 200, C: 200, D: 200}
FIRST, SECOND = ((A, B, C),), ((A, B, C), (A, B, D))


def log(
    matched: Mapping[MemberId, int] = ALL_STORED, *, joint: bool = False
) -> LogFacts:
    """Return a log whose configuration is committed unless it is joint."""
    return LogFacts(
        LogIndex(200),
        LogIndex(100 if joint else 200),
        LogIndex(190),
        SECOND if joint else FIRST,
        {member: LogIndex(index) for member, index in (ALL_STORED | matched).items()},
        64,
    )


def unsound(member: MemberId, silent: float = 0.1) -> MemberFacts:
    """Return a voter that is not lost and has not caught up."""
    return replace(voter(member, silent), caught_up=False)


class MembershipWaitTests(unittest.TestCase):
    """The first step that is due and can't be taken."""

    @parameterized.expand(
        [
            ("sound", THREE, log(), None),
            ("lost", TWO_LEFT, log(), (REPLACE, "c", NoLearner())),
            ("successor", (*TWO_LEFT, learner(D)), log(), None),
            (
                "silent_learner",
                (*TWO_LEFT, learner(D, 1.4, caught_up=False)),
                log({D: 20}),
                (REPLACE, "c", Silent(D, 1.4)),
            ),
            (
                "copying_learner",
                (*TWO_LEFT, replace(BEHIND, answers=True)),
                log({D: 20}),
                None,
            ),
            (
                "entries",
                (*TWO_LEFT, BEHIND),
                log({D: 20}),
                (REPLACE, "c", LacksEntries(D, 180)),
            ),
            (
                "configuration",
                (*TWO_LEFT, BEHIND),
                log({D: 180}),
                (REPLACE, "c", LacksConfiguration(D)),
            ),
            (
                "emptied",
                (
                    *THREE[:2],
                    unsound(C, 1.4),
                    learner(MemberId("c#2"), caught_up=False),
                ),
                log(),
                (REPLACE, "c", LacksEntries(MemberId("c#2"), 200)),
            ),
            (
                "replacement",
                (*THREE, voter(D, LOST)),
                log({B: 20, D: 20}, joint=True),
                (COMMIT, None, NotStored(LogIndex(190), True, (B, D))),
            ),
            ("order", THREE, log(), (RETIRE, "c", NoLearner()), "c"),
            (
                "order_with_silent_voter",
                (THREE[0], unsound(B, 1.4), THREE[2], learner(D)),
                log(),
                (RETIRE, "c", Silent(B, 1.4)),
                "c",
            ),
            (
                "end_of_order",
                (THREE[0], unsound(B), THREE[2]),
                log({B: 20}),
                (COMPLETE, "e", LacksEntries(B, 180)),
                "e",
            ),
            ("ended_order", (THREE[0], unsound(B), THREE[2]), log(), None, "e", "e"),
            ("two_voters", THREE[:2], log(), (PROMOTE, None, NoLearner())),
        ]
    )
    def test_reason(
        self,
        _: str,
        members: tuple[MemberFacts, ...],
        facts: LogFacts,
        expected: tuple[Step, InstanceId | None, Cause] | None,
        retiring: str = "",
        retired: str = "",
    ) -> None:
        found = find_membership_wait(
            members,
            facts,
            3,
            frozenset(map(InstanceId, retiring)),
            frozenset(map(InstanceId, retired)),
        )
        self.assertEqual(MembershipWait(*expected) if expected else None, found)
