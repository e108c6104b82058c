"""Tests of the texts that say which votes an election lacks.

Guards against log lines from which it can't be told why nobody is elected.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.consensus import member_lines
from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.link import MemberState
from goldcrestyard.consensus.missing_votes import MemberAnswer, find_lacking_groups
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex, Term


def ids(names: str) -> tuple[MemberId, ...]:
    """Return member ids; a capital letter is a member on an emptied disk."""
    return tuple(MemberId(f"{n.lower()}:7#{1 + n.isupper()}") for n in names)


GROUP = ids("abc")
ONE, JOINT = (GROUP,), (GROUP, ids("abd"))
DISK = "the member's disk failed"
FULL = f"{DISK}: /data/vote: [Errno 28] No space left on device"


def answer(
    name: str, seconds_ago: float = 0.4, failure: str = "", leader: str = ""
) -> MemberAnswer:
    (member,) = ids(name)
    role, term, index = Role.FOLLOWER, Term(6), LogIndex(912)
    followed = ids(leader)[0] if leader else None
    state = MemberState(role, term, followed, index, term, LogIndex(905), ONE, ())
    instance = InstanceId(f"{name.lower()}:7")
    return MemberAnswer(instance, seconds_ago, member, state, failure)


B, C, EMPTIED_B = answer("b"), answer("c"), answer("B")
FAILING, FOLLOWING = answer("b", failure=FULL), answer("c", leader="d")
LATE = answer("b", 7.2)
FOLLOWERS = [B, FOLLOWING, answer("e", 9.0, leader="d")]
OF_TWO = "1 of 2 votes: "
NEVER = "never answered"


class LacksTests(unittest.TestCase):
    """What a member lacks, by the answers of the others."""

    @parameterized.expand(
        [
            ("enough", ONE, [B], "nothing, enough voters answer"),
            ("silent", ONE, [LATE], f"{OF_TWO}b#1 silent 7.2s, c#1 {NEVER}"),
            ("emptied", ONE, [EMPTIED_B], f"{OF_TWO}b#1 emptied, now #2, c#1 {NEVER}"),
            (
                "suspended_and_refusing",
                ONE,
                [FAILING, FOLLOWING],
                f"{OF_TWO}b#1 {DISK}, c#1 refuses, follows d#1",
            ),
            ("joint", JOINT, [C], f"1 of 2 new votes: b#1 {NEVER}, d#1 {NEVER}"),
            (
                "both_groups",
                JOINT,
                [LATE],
                f"1 of 2 old votes: b#1 silent 7.2s, c#1 {NEVER}; "
                f"1 of 2 new votes: b#1 silent 7.2s, d#1 {NEVER}",
            ),
            ("own", ONE, [B], f"{OF_TWO}a#1 emptied, now #2, c#1 {NEVER}", "A"),
        ]
    )
    def test_lacks(
        self,
        _: str,
        groups: tuple[tuple[MemberId, ...], ...],
        answers: list[MemberAnswer],
        expected: str,
        own: str = "a",
    ) -> None:
        refusing = {a.member for a in answers if a.member and a is FOLLOWING}
        found = find_lacking_groups(groups, ids(own)[0], answers, refusing)
        self.assertEqual(expected, member_lines.describe_lacks(found))

    @parameterized.expand(
        [
            (member_lines.describe_voters, ONE, "a#1 b#1 c#1"),
            (member_lines.describe_voters, JOINT, "old a#1 b#1 c#1; new a#1 b#1 d#1"),
            (member_lines.describe_followers, FOLLOWERS, "c#1 follows d#1"),
            (
                member_lines.describe_answers,
                [
                    FOLLOWING,
                    FAILING,
                    MemberAnswer(InstanceId("d:7"), 1.0),
                    MemberAnswer(InstanceId("e:7"), 9.0),
                ],
                "c#1 follower of d#1 term 6 last 912 cfg 905 0.4s ago; "
                f"b#1 {DISK} 0.4s ago; d:7 state unknown 1.0s ago",
            ),
        ]
    )
    def test_description(self, describe, argument, expected) -> None:  # type: ignore[no-untyped-def]
        self.assertEqual(expected, describe(argument))
