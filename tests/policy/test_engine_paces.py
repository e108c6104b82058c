"""Tests of the detection of slow engines."""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import TargetId
from goldcrestyard.policy.engine_paces import (
    PACE_EXPIRY_SECONDS,
    SLOW_PACE_EXPIRY_SECONDS,
    EnginePaces,
)

A, B, C = TargetId("a"), TargetId("b"), TargetId("c")


class PaceTests(unittest.TestCase):
    """Guards against training steps that wait for items on a slow engine."""

    def setUp(self) -> None:
        self.paces = EnginePaces()
        for target, seconds in ((A, 0.035), (B, 0.036), (C, 0.14)):
            self.paces.observe(target, seconds, 0.0)

    @parameterized.expand([("usual", 0.04, False), ("slow", 0.14, True)])
    def test_slow(self, _: str, seconds: float, expected: bool) -> None:
        self.assertEqual(self.paces.is_slow(seconds, 1.0), expected)

    def test_unknown_engine_is_taken_as_usual(self) -> None:
        self.assertEqual(self.paces.pace(TargetId("new"), 1.0), 0.036)

    def test_slow_engine_gets_work_again_after_a_while(self) -> None:
        later = SLOW_PACE_EXPIRY_SECONDS + 0.1
        self.paces.observe(A, 0.035, later)
        # The median of the other engines, whose paces stay known.
        self.assertEqual(self.paces.pace(C, later), (0.035 + 0.036) / 2)

    def test_usual_pace_stays_known_between_steps(self) -> None:
        self.assertEqual(self.paces.pace(B, PACE_EXPIRY_SECONDS - 0.1), 0.036)
        later = PACE_EXPIRY_SECONDS + 0.1
        self.paces.observe(A, 0.035, later)
        self.assertEqual(self.paces.pace(B, later), 0.035)

    def test_a_single_engine_is_never_slow(self) -> None:
        alone = EnginePaces()
        alone.observe(A, 0.1, 0.0)
        self.assertFalse(alone.is_slow(9.0, 0.0))
