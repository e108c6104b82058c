"""Tests of the rollout of a weight version.

They guard against an engine that counts as updated because it acknowledged an
order, although it does not serve the version.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.policy.rollouts import (
    Activate,
    Need,
    RetryLater,
    Stage,
    UpToDate,
    VersionsReported,
    VersionsUnknown,
    next_rollout_step,
    straggler_count,
)


class NeedTests(unittest.TestCase):
    """The next step of an engine by its reported versions; 5 is published."""

    @parameterized.expand(
        [
            ("serves_it", VersionsReported(5), UpToDate()),
            ("serves_it_and_has_it_staged", VersionsReported(5, (5,)), UpToDate()),
            ("has_staged_it", VersionsReported(4, (5,)), Activate()),
            ("has_staged_another", VersionsReported(4, (3,)), Stage()),
            ("serves_nothing", VersionsReported(None), Stage()),
            ("does_not_say", VersionsUnknown("timeout"), RetryLater("timeout")),
        ]
    )
    def test_need(
        self, _: str, answer: VersionsReported | VersionsUnknown, need: Need
    ) -> None:
        self.assertEqual(next_rollout_step(answer, 5), need)

    @parameterized.expand([(1, 0), (2, 1), (5, 1), (40, 2), (930, 46)])
    def test_others_wait_shortly_for_the_last_few(self, engines: int, few: int) -> None:
        """Guards against one hanging engine that delays 929 others."""
        self.assertEqual(straggler_count(engines), few)
