"""Tests of the statuses that answers of targets may have."""

import unittest

from parameterized import parameterized

from goldcrestyard.policy.target_statuses import AnswerKind, kind_of_answer

FINAL, INTERIM, INVALID = AnswerKind.FINAL, AnswerKind.INTERIM, AnswerKind.INVALID


class StatusTests(unittest.TestCase):
    """Guards against a status outside the protocol taken for an answer."""

    @parameterized.expand(
        [
            (-1, INVALID),
            (0, INVALID),
            (99, INVALID),
            (100, INTERIM),
            (101, INVALID),
            (102, INTERIM),
            (103, INTERIM),
            (104, INVALID),
            (199, INVALID),
            (200, FINAL),
            (299, FINAL),
            (404, FINAL),
            (599, FINAL),
            (600, INVALID),
            (999, INVALID),
            (2000, INVALID),
        ]
    )
    def test_kind(self, status: int, expected: AnswerKind) -> None:
        self.assertIs(kind_of_answer(status), expected)
