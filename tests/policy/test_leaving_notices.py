"""Tests of which runs of a target a notice of leaving applies to."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.policy.leaving_notices import LeavingNotice, applies_to, latest


@dataclass(frozen=True)
class Case:
    """Notices in the order of their answers, a run, and whether it leaves."""

    name: str
    notices: tuple[LeavingNotice, ...]
    run: str
    leaves: bool


FIRST = LeavingNotice("1000", 5.0)

CASES = [
    Case("same_run", (FIRST,), "1000", True),
    Case("run_before", (FIRST,), "900", False),
    Case("started_after_the_request", (FIRST,), "5001", False),
    # The request went to a run whose heartbeat had not been received.
    Case("started_before_the_request", (FIRST,), "4000", True),
    Case("asked_again_later", (FIRST, LeavingNotice("1000", 9.0)), "8000", True),
    Case("late_answer", (LeavingNotice("1000", 9.0), FIRST), "8000", True),
    Case("newer_run_said_so", (FIRST, LeavingNotice("7000", 9.0)), "7000", True),
    Case("old_run_says_so_late", (LeavingNotice("7000", 9.0), FIRST), "7000", True),
    Case("no_start_is_known", (LeavingNotice("", 5.0),), "", True),
    Case("reported_by_another", (LeavingNotice("1000", 0.0),), "4000", False),
]


class LeavingNoticeTests(unittest.TestCase):
    """Guards against work for a run that leaves, and none for the next one."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_applies(self, _: str, case: Case) -> None:
        held: LeavingNotice | None = None
        for notice in case.notices:
            held = latest(held, notice)
        assert held is not None
        self.assertEqual(case.leaves, applies_to(held, case.run))
