"""Tests of the outcomes of attempts.

They guard against resending a request that has run, because an answer was
wrongly taken as proof that it has not.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.core.attempts import proves_not_run


class NotRunTests(unittest.TestCase):
    """Statuses and headers that prove that a request has not run."""

    @parameterized.expand(
        [
            ("refused_with_header", 503, {"x-not-run": "true"}, True),
            ("limited_with_header", 429, {"x-not-run": "true"}, True),
            ("no_header", 503, {}, False),
            ("other_value", 503, {"x-not-run": "false"}, False),
            ("header_with_an_answer", 200, {"x-not-run": "true"}, False),
            ("header_with_a_failure", 500, {"x-not-run": "true"}, False),
        ]
    )
    def test_proof(
        self, _: str, status: int, headers: dict[str, str], proves: bool
    ) -> None:
        self.assertIs(proves_not_run(status, headers), proves)
