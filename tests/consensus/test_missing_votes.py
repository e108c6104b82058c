"""Tests of the texts that say which votes an election lacks.

Guards against log lines from which it can't be told why nobody is elected.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.link import MemberState
from goldcrestyard.consensus.member_lines import (
    describe_answers,
    describe_followers,
    describe_lacks,
    describe_voters,
)
from goldcrestyard.consensus.missing_votes import MemberAnswer, find_lacking_groups
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex, Term


def ids(names: str) -> tuple[MemberId, ...]:
    """Return the ids of members, each named by the letter of its instance.

    A capital letter stands for the member after the disk was lost.
    """
    return tuple(
        MemberId(f"10.0.0.{name.lower()}:70#{'ffff' if name.isupper() else '1111'}99")
        for name in names
    )


def answer(
    name: str, seconds_ago: float = 0.4, failure: str = "", leader: str = ""
) -> MemberAnswer:
    (member,) = ids(name)
    state = MemberState(
        Role.FOLLOWER,
        Term(6),
        ids(leader)[0] if leader else None,
        LogIndex(912),
        Term(6),
        LogIndex(905),
        (ids("abc"),),
        (),
    )
    instance = InstanceId(member.partition("#")[0])
    return MemberAnswer(instance, seconds_ago, member, state, failure)


DISK = "the member's disk failed"
FULL = f"{DISK}: /data/vote: [Errno 28] No space left on device"
ONE, JOINT = ("abc",), ("abc", "abd")


class LacksTests(unittest.TestCase):
    """What member ``a`` lacks, by the answers of the others."""

    @parameterized.expand(
        [
            ("enough", ONE, [answer("b")], "", "nothing, enough voters answer"),
            (
                "silent",
                ONE,
                [answer("b", 7.2)],
                "",
                "1 of 2 votes: 10.0.0.b#1111 silent 7.2s, 10.0.0.c#1111 never answered",
            ),
            (
                "emptied",
                ONE,
                [answer("B"), answer("c", 9.0)],
                "",
                "1 of 2 votes: 10.0.0.b#1111 emptied, now #ffff, "
                "10.0.0.c#1111 silent 9.0s",
            ),
            (
                "suspended_and_refusing",
                ONE,
                [answer("b", failure=FULL), answer("c", leader="d")],
                "c",
                f"1 of 2 votes: 10.0.0.b#1111 {DISK}, "
                "10.0.0.c#1111 refuses, follows 10.0.0.d#1111",
            ),
            (
                "new_group_of_a_replacement",
                JOINT,
                [answer("c")],
                "",
                "1 of 2 new votes: 10.0.0.b#1111 never answered, "
                "10.0.0.d#1111 never answered",
            ),
            (
                "both_groups",
                JOINT,
                [answer("b", 4.0)],
                "",
                "1 of 2 old votes: 10.0.0.b#1111 silent 4.0s, "
                "10.0.0.c#1111 never answered; "
                "1 of 2 new votes: 10.0.0.b#1111 silent 4.0s, "
                "10.0.0.d#1111 never answered",
            ),
            (
                "own_disk_was_emptied",
                ONE,
                [answer("b")],
                "",
                "1 of 2 votes: 10.0.0.a#1111 emptied, now #ffff, "
                "10.0.0.c#1111 never answered",
                "A",
            ),
        ]
    )
    def test_lacks(
        self,
        _: str,
        groups: tuple[str, ...],
        answers: list[MemberAnswer],
        refusing: str,
        expected: str,
        own: str = "a",
    ) -> None:
        found = find_lacking_groups(
            tuple(map(ids, groups)), ids(own)[0], answers, set(ids(refusing))
        )
        self.assertEqual(expected, describe_lacks(found))

    @parameterized.expand(
        [
            (ONE, "10.0.0.a#1111 10.0.0.b#1111 10.0.0.c#1111"),
            (
                JOINT,
                "old 10.0.0.a#1111 10.0.0.b#1111 10.0.0.c#1111; "
                "new 10.0.0.a#1111 10.0.0.b#1111 10.0.0.d#1111",
            ),
        ]
    )
    def test_voters(self, groups: tuple[str, ...], expected: str) -> None:
        self.assertEqual(expected, describe_voters(tuple(map(ids, groups))))

    def test_answers(self) -> None:
        self.assertEqual(
            "10.0.0.b#1111 follower term 6 last 912 cfg 905 0.4s ago; "
            f"10.0.0.c#1111 {DISK} 2.0s ago; 10.0.0.d:70 state unknown 1.0s ago",
            describe_answers(
                [
                    answer("b"),
                    answer("c", 2.0, failure=FULL),
                    MemberAnswer(InstanceId("10.0.0.d:70"), 1.0),
                    MemberAnswer(InstanceId("10.0.0.e:70"), 9.0),
                ]
            ),
        )

    def test_followers(self) -> None:
        """Guards against missing votes in the line where there is a leader."""
        answers = [answer("b", leader="c"), answer("d", 9.0, leader="b"), answer("e")]
        self.assertEqual(
            "10.0.0.b#1111 follows 10.0.0.c#1111", describe_followers(answers)
        )
        self.assertIn("b#1111 follower of 10.0.0.c#1111 te", describe_answers(answers))
