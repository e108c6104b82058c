"""Tests of the quorums of a configuration."""

import unittest

from parameterized import parameterized

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
    has_quorum,
    quorum_value,
)
from goldcrestyard.core.ids import InstanceId


def member(name: str, *, voter: bool = True) -> MemberRecord:
    return MemberRecord(MemberId(name), InstanceId(name), "", voter)


def ids(names: str) -> tuple[MemberId, ...]:
    return tuple(map(MemberId, names))


class QuorumTests(unittest.TestCase):
    """Guards against two quorums that have no voter in common."""

    @parameterized.expand(
        [
            ("one_of_three", ("abc",), "a", False),
            ("two_of_three", ("abc",), "ab", True),
            ("half_of_four", ("abcd",), "ab", False),
            ("three_of_four", ("abcd",), "abc", True),
            ("old_group_only", ("abc", "abd"), "bc", False),
            ("new_group_only", ("abc", "abd"), "bd", False),
            ("both_groups", ("abc", "abd"), "cbd", True),
        ]
    )
    def test_quorum(
        self, _: str, names: tuple[str, ...], present: str, expected: bool
    ) -> None:
        groups = tuple(map(ids, names))
        self.assertIs(has_quorum(groups, set(ids(present))), expected)
        reached = {
            voter: float(voter in present) for group in groups for voter in group
        }
        self.assertEqual(quorum_value(groups, reached), float(expected))

    def test_learner_counts_in_no_group_of_a_replacement(self) -> None:
        before = Configuration(
            (*map(member, "abc"), member("d", voter=False), member("e", voter=False))
        )
        joint = before.with_replacement(MemberId("c"), MemberId("d"))
        self.assertEqual(set(joint.voter_groups), {ids("abc"), ids("abd")})
        after = joint.without_replaced()
        self.assertEqual(after.voter_groups, (ids("abd"),))
        self.assertEqual(after.find(MemberId("e")), member("e", voter=False))
