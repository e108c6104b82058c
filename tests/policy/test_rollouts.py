"""Tests of the rollout of a weight version.

They guard against an engine that counts as updated because it acknowledged an
order, although it does not serve the version.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.policy.rollouts import (
    Activate,
    Later,
    Need,
    Nothing,
    NotTold,
    Served,
    Stage,
    need_of,
    straggler_count,
)


class NeedTests(unittest.TestCase):
    """The next step of an engine by its reported versions; 5 is published."""

    @parameterized.expand(
        [
            ("serves_it", Served(5), Nothing()),
            ("serves_it_and_has_it_staged", Served(5, (5,)), Nothing()),
            ("has_staged_it", Served(4, (5,)), Activate()),
            ("has_staged_another", Served(4, (3,)), Stage()),
            ("serves_nothing", Served(None), Stage()),
            ("does_not_say", NotTold("timeout"), Later("timeout")),
        ]
    )
    def test_need(self, _: str, answer: Served | NotTold, need: Need) -> None:
        self.assertEqual(need_of(answer, 5), need)

    @parameterized.expand([(1, 0), (2, 1), (5, 1), (40, 2), (930, 46)])
    def test_others_wait_shortly_for_the_last_few(self, engines: int, few: int) -> None:
        """Guards against one hanging engine that delays 929 others."""
        self.assertEqual(straggler_count(engines), few)
