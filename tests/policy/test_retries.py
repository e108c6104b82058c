"""Tests of the retry policy.

They guard against sending a non-idempotent request twice, against a refusal
that wrongly says "not run", and against unlimited retries.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
)
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.policy.retries import GiveUp, RetryAfter, RetryBudget, decide

UNREACHED = Unreached("refused")
TURNED_AWAY = TurnedAway(503, "full")
BROKEN = Broken("reset")


@dataclass(frozen=True)
class Case:
    """The failures of a request, and the expected decision."""

    name: str
    failures: tuple[AttemptFailure, ...]
    idempotent: bool
    retried: bool
    verdict: Verdict = Verdict.NOT_RUN


CASES = [
    Case("unreached_is_safe_to_repeat", (UNREACHED,), False, True),
    Case("turned_away_is_safe_to_repeat", (TURNED_AWAY,), False, True),
    Case("broken_is_not_repeated", (BROKEN,), False, False, Verdict.MAY_HAVE_RUN),
    Case("broken_is_repeated_if_idempotent", (BROKEN,), True, True),
    Case(
        "earlier_break_counts",
        (BROKEN, UNREACHED),
        False,
        False,
        Verdict.MAY_HAVE_RUN,
    ),
    Case(
        "attempts_are_bounded",
        (BROKEN, BROKEN, UNREACHED),
        True,
        False,
        Verdict.MAY_HAVE_RUN,
    ),
    Case("turned_away_waits_for_room", (TURNED_AWAY,) * 7, False, True),
    Case("turned_away_is_bounded", (TURNED_AWAY,) * 8, False, False),
    Case("refusal_after_bound_is_true", (UNREACHED,) * 3, True, False),
]


class RetryTests(unittest.TestCase):
    """Decisions after failed attempts."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_decision(self, _: str, case: Case) -> None:
        decision = decide(
            case.failures,
            idempotent=case.idempotent,
            max_attempts=3,
            seconds_left=10.0,
            budget=RetryBudget(),
            jitter=0.5,
        )
        match decision:
            case RetryAfter():
                self.assertTrue(case.retried)
            case GiveUp(refusal=refusal):
                self.assertFalse(case.retried)
                self.assertIs(refusal.verdict, case.verdict)

    def test_budget_bounds_retries_to_a_share_of_requests(self) -> None:
        budget = RetryBudget(share=0.1, reserve=10.0)
        retried = 0
        for _ in range(1000):
            budget.deposit()
            retried += budget.withdraw()
        self.assertLessEqual(retried, 0.1 * 1000 + 10)
