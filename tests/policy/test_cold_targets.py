"""Tests of the decisions on cold targets."""

import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from goldcrestyard.core.ids import RequestRate, TargetId
from goldcrestyard.policy.cold_targets import (
    COLD_PERMIT_SECONDS,
    TRANSIT_SECONDS,
    ColdBound,
    cold_pacing,
    cold_seconds_left,
)
from goldcrestyard.policy.request_limits import PermitSchedules, Permitted

TARGET = TargetId("t")
ROUNDING = 1e-6

Phase = tuple[float, float, float, float, bool]
"""Seconds in which nobody asks and then seconds in which all do, the share of
the time in which a permit may be used and of the transit that pass for their
requests, and whether a new leader has taken over before."""

SHARES = st.sampled_from((0.0, 1.0)) | st.floats(0.0, 1.0)
PHASES = st.lists(
    st.tuples(
        st.just(0.0) | st.floats(0.0, 2.0),
        st.floats(0.1, 1.5),
        SHARES,
        SHARES,
        st.booleans(),
    ),
    min_size=2,
    max_size=6,
)


def arrivals(phases: list[Phase], rate: float, bound: ColdBound) -> list[float]:
    """Return the times at which requests with permits reach the target."""
    pacing = cold_pacing(RequestRate(rate), bound)
    schedules = PermitSchedules()
    now = 0.0
    found: list[float] = []
    for pause, seconds, late, transit, new_leader in phases:
        now += pause
        end = now + seconds
        if new_leader:
            schedules = PermitSchedules()
        while now < end:
            match schedules.take(TARGET, "1", pacing, now):
                case Permitted(delay_seconds=delay):
                    sent = now + delay + late * COLD_PERMIT_SECONDS
                    found.append(sent + transit * TRANSIT_SECONDS)
                case _:
                    now += 0.2 / rate
    return sorted(found)


class BoundTests(unittest.TestCase):
    """Guards against more requests in a second than a cold target bears."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(PHASES, st.floats(1.0, 60.0), st.floats(1.0, 2.0), st.floats(1.0, 6.0))
    def test_any_second(
        self, phases: list[Phase], rate: float, overage: float, slack: float
    ) -> None:
        found = arrivals(phases, rate, ColdBound(overage, slack))
        for begin in found:
            count = sum(begin <= at <= begin + 1.0 - ROUNDING for at in found)
            self.assertLessEqual(count, rate * overage + slack + ROUNDING)

    @parameterized.expand(
        [
            ("twelve", 12.0, 1.5, 5.0, 12.0, 0.25),
            ("one", 1.0, 1.5, 5.0, 1.0, 0.25),
            ("many", 100.0, 1.5, 5.0, 100.0, 0.09),
            ("no_overage", 100.0, 1.0, 5.0, 104.0 / 1.45, 0.0),
        ]
    )
    def test_rate_and_burst(
        self,
        _: str,
        rate: float,
        overage: float,
        slack: float,
        expected: float,
        burst: float,
    ) -> None:
        pacing = cold_pacing(RequestRate(rate), ColdBound(overage, slack))
        self.assertAlmostEqual(expected, pacing.rate)
        self.assertAlmostEqual(burst, pacing.burst_seconds)

    def test_most_of_the_rate_is_used(self) -> None:
        """Guards against a target that gets nothing while it is cold."""
        found = arrivals([(0.0, 20.0, 0.0, 0.0, False)], 12.0, ColdBound(1.5, 5.0))
        self.assertGreater(len(found), 0.9 * 12.0 * 20.0)


@dataclass(frozen=True)
class LeftCase:
    """What is known of a target that is cold for 10 s after its start."""

    name: str
    since_start: float | None
    since_evacuation: float | None
    told: float
    expected: float


LEFT_CASES = [
    LeftCase("just_started", 0.0, None, 0.0, 10.0),
    LeftCase("started", 4.0, None, 0.0, 6.0),
    LeftCase("warm", 11.0, None, 0.0, 0.0),
    LeftCase("unknown_start", None, None, 0.0, 0.0),
    LeftCase("clock_set_back", -30.0, None, 0.0, 10.0),
    LeftCase("evacuation_ended", 60.0, 3.0, 0.0, 7.0),
    LeftCase("evacuation_ended_long_ago", 60.0, 300.0, 0.0, 0.0),
    LeftCase("cold_again", 60.0, None, 2.5, 2.5),
    LeftCase("says_that_it_is_warm", 1.0, None, 0.0, 9.0),
    LeftCase("odd_report", 60.0, None, float("nan"), 0.0),
    LeftCase("odd_report_after_a_start", 1.0, None, float("nan"), 9.0),
]


class SecondsLeftTests(unittest.TestCase):
    """Guards against a cold target that counts as warm, and the reverse."""

    @parameterized.expand([(case.name, case) for case in LEFT_CASES])
    def test_seconds_left(self, _: str, case: LeftCase) -> None:
        left = cold_seconds_left(
            10.0, case.since_start, case.since_evacuation, case.told
        )
        self.assertAlmostEqual(case.expected, left)
