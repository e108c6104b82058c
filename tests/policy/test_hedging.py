"""Tests of the budget, the delay and the kind of second attempts."""

import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from goldcrestyard.policy.hedging import (
    GENERATION_SECONDS,
    HEDGE_QUANTILE,
    MAX_HEDGE_TOKENS,
    MIN_KNOWN_ANSWERS,
    HedgeBudget,
    HedgePace,
    HedgeWithheld,
    LatencyHistogram,
    SecondAttempt,
    hedge_pace,
    second_attempt,
    seconds_to_next_check,
)

WAIT, HEDGE, RETRY = SecondAttempt.WAIT, SecondAttempt.HEDGE, SecondAttempt.RETRY


class BudgetTests(unittest.TestCase):
    """Guards against hedges that double the load."""

    @given(
        st.lists(st.booleans(), max_size=300),
        st.sampled_from([0.0, 0.05, 0.1, 0.5, 1.0]),
    )
    def test_no_window_exceeds_the_budget(
        self, hedge_wanted: list[bool], share: float
    ) -> None:
        budget = HedgeBudget(share)
        sent = []
        for wanted in hedge_wanted:
            budget.note_request()
            sent.append(wanted and budget.take() is None)
        for first in range(len(sent)):
            hedges = 0
            for number, hedged in enumerate(sent[first:], 1):
                hedges += hedged
                self.assertLessEqual(hedges, share * number + MAX_HEDGE_TOKENS + 1e-6)

    @parameterized.expand(
        [
            ("off", 0.0, 0, 100, HedgeWithheld.OFF),
            ("at_first", 0.1, 2, 0, None),
            ("used_up", 0.1, 3, 0, HedgeWithheld.BUDGET),
            ("too_few_requests", 0.1, 3, 9, HedgeWithheld.BUDGET),
            ("filled_again", 0.1, 3, 11, None),
        ]
    )
    def test_take(
        self,
        _: str,
        share: float,
        taken: int,
        requests: int,
        expected: HedgeWithheld | None,
    ) -> None:
        budget = HedgeBudget(share)
        for _number in range(taken):
            budget.take()
        for _number in range(requests):
            budget.note_request()
        self.assertIs(budget.take(), expected)


@dataclass(frozen=True)
class LatencyCase:
    """Latencies, the time since they were recorded, and the quantile."""

    name: str
    latencies: tuple[float, ...]
    seconds_ago: float
    expected: float | None


LATENCY_CASES = [
    LatencyCase("none", (), 0.0, None),
    LatencyCase("too_few", (0.1,) * (MIN_KNOWN_ANSWERS - 1), 0.0, None),
    LatencyCase("enough", (0.1,) * MIN_KNOWN_ANSWERS, 0.0, 0.1),
    LatencyCase("slowest_twentieth", (0.1,) * 95 + (3.0,) * 5, 0.0, 0.1),
    LatencyCase("slowest_tenth", (0.1,) * 90 + (3.0,) * 10, 0.0, 3.0),
    LatencyCase("earlier", (0.1,) * 100, GENERATION_SECONDS, 0.1),
    LatencyCase("long_ago", (0.1,) * 100, 2 * GENERATION_SECONDS, None),
    LatencyCase("beyond_the_buckets", (1000.0,) * 100, 0.0, 120.0),
]


class LatencyTests(unittest.TestCase):
    """Guards against a delay that does not follow the latencies."""

    @parameterized.expand([(case.name, case) for case in LATENCY_CASES])
    def test_quantile(self, _: str, case: LatencyCase) -> None:
        histogram = LatencyHistogram()
        for latency in case.latencies:
            histogram.record(latency, 100.0)
        quantile = histogram.quantile(HEDGE_QUANTILE, 100.0 + case.seconds_ago)
        if case.expected is None:
            self.assertIsNone(quantile)
        else:
            assert quantile is not None
            self.assertGreaterEqual(quantile, 0.99 * case.expected)
            self.assertLessEqual(quantile, 1.1 * case.expected)

    @given(st.lists(st.floats(0.001, 100.0), min_size=MIN_KNOWN_ANSWERS))
    def test_at_most_a_twentieth_lies_above(self, latencies: list[float]) -> None:
        histogram = LatencyHistogram()
        for latency in latencies:
            histogram.record(latency, 0.0)
        quantile = histogram.quantile(HEDGE_QUANTILE, 0.0)
        assert quantile is not None
        above = sum(latency > quantile for latency in latencies)
        self.assertLessEqual(above, 0.05 * len(latencies))

    @parameterized.expand(
        [
            ("cold", 0.5, None, 0.2, 0.4),
            ("cold_without_an_objective", None, None, 0.4, 0.8),
            ("quick", 0.5, 0.02, 0.08, 0.2),
            ("usual", 0.5, 0.12, 0.12, 0.24),
            ("slower_than_the_objective", 0.5, 1.0, 1.0, 2.0),
        ]
    )
    def test_pace(
        self,
        _: str,
        objective: float | None,
        quantile: float | None,
        hedge: float,
        silence: float,
    ) -> None:
        pace = hedge_pace(objective, quantile)
        self.assertAlmostEqual(pace.hedge_seconds, hedge)
        self.assertAlmostEqual(pace.silence_seconds, silence)


PACE = HedgePace(0.1, 0.3)


class SecondAttemptTests(unittest.TestCase):
    """Guards against a silent target that nothing covers."""

    @parameterized.expand(
        [
            ("early", 0.05, False, False, WAIT),
            ("slow", 0.1, False, False, HEDGE),
            ("slow_and_hedged", 0.2, False, True, WAIT),
            ("silent", 0.3, False, False, RETRY),
            ("silent_and_hedged", 0.3, False, True, RETRY),
            ("slow_beside_others", 0.5, True, True, WAIT),
            ("slow_beside_others_not_hedged", 0.5, True, False, HEDGE),
            ("silent_connection", 0.6, True, True, RETRY),
        ]
    )
    def test_kind(
        self,
        _: str,
        waited: float,
        answers: bool,
        hedged: bool,
        expected: SecondAttempt,
    ) -> None:
        kind = second_attempt(PACE, waited, target_answers=answers, hedged=hedged)
        self.assertIs(kind, expected)

    @parameterized.expand(
        [(0.0, 0.1), (0.1, 0.2), (0.3, 0.3), (0.45, 0.15), (0.6, 0.3)]
    )
    def test_next_check(self, waited: float, expected: float) -> None:
        self.assertAlmostEqual(seconds_to_next_check(PACE, waited), expected)
