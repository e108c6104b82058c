"""Tests of what the list of control members says about further losses.

They guard against a list on which a lost voter, or one that has never
answered, counts as sound.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.cli.commands.members_list import Command
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex
from goldcrestyard.plugins.members.health import VotersHealth, voters_health
from goldcrestyard.plugins.members.messages import MemberLine

INF = float("inf")


def lines(*silent: float | None, role: Role = Role.FOLLOWER) -> list[MemberLine]:
    """Return members that have been silent for so many seconds."""
    return [
        MemberLine(
            f"{role.value}-{number}#1",
            InstanceId(f"{role.value}-{number}"),
            "",
            role.value,
            LogIndex(1),
            seconds,
        )
        for number, seconds in enumerate(silent)
    ]


CASES = [
    ("all_answer", lines(0.0, 0.1, 0.2), VotersHealth(3, 3, 1)),
    ("one_is_lost", lines(0.0, 0.1, 60.0), VotersHealth(3, 2, 0)),
    ("one_never_answered", lines(0.0, 0.1, INF), VotersHealth(3, 2, 0)),
    ("one_is_not_known", lines(0.0, 0.1, None), VotersHealth(3, 2, 0)),
    ("one_of_five_is_lost", lines(0.0, 0.1, 0.1, 0.1, 9.0), VotersHealth(5, 4, 1)),
    (
        "learner_has_no_vote",
        [*lines(0.0, 0.1, 9.0), *lines(0.1, role=Role.LEARNER)],
        VotersHealth(3, 2, 0),
    ),
]


class VotersHealthTests(unittest.TestCase):
    """The answer to the list of members."""

    @parameterized.expand(CASES)
    def test_health(
        self, _: str, members: list[MemberLine], expected: VotersHealth
    ) -> None:
        self.assertEqual(voters_health(members), expected)

    def test_command_prints_it(self) -> None:
        health = {"voters": 3, "sound_voters": 2, "tolerated_losses": 0}
        self.assertEqual(
            ("2 of 3 voters answer; disks that may be lost now: 0",),
            tuple(Command().footer({"members": [], "health": health})),
        )

    def test_instance_of_an_earlier_release(self) -> None:
        self.assertEqual((), tuple(Command().footer({"members": []})))
