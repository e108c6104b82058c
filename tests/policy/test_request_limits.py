"""Tests of the permits for requests to targets with a request limit."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import RequestRate, TargetId
from goldcrestyard.policy.request_limits import (
    PERMIT_SECONDS,
    NotPermitted,
    PermitSchedules,
    Permitted,
    is_usable,
    limit_pacing,
)

TARGET = TargetId("t")
WINDOW_SECONDS = 4.0
SECONDS = 40.0


@dataclass(frozen=True)
class Case:
    """How often all senders together ask, and what happens meanwhile."""

    name: str
    rate: float
    asks_per_second: float
    paused_until: float = 0.0
    """End of a pause that begins after the first second."""
    new_issuer_each_seconds: float = SECONDS
    least_share: float = 0.95
    """Least share of the rate that must be used."""


CASES = [
    Case("one_per_second", 1.0, 20.0),
    Case("fraction", 0.4, 20.0),
    Case("fast_target", 60.0, 500.0),
    Case("burst_after_a_pause", 5.0, 100.0, paused_until=20.0, least_share=0.5),
    Case("new_leader", 1.3, 50.0, new_issuer_each_seconds=7.0),
    Case("target_that_takes_nothing", 0.0, 50.0),
    Case("asked_less_than_the_rate", 10.0, 5.0, least_share=0.5),
]


class PermitScheduleTests(unittest.TestCase):
    """Guards against more permits than a target's limit, also in bursts."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_any_window_keeps_to_the_limit(self, _: str, case: Case) -> None:
        used: list[float] = []
        schedules = PermitSchedules()
        now = issuer_since = 0.0
        while now < SECONDS:
            if 1.0 < now < case.paused_until:
                now = case.paused_until
            if now - issuer_since >= case.new_issuer_each_seconds:
                schedules, issuer_since = PermitSchedules(), now
            match schedules.take(
                TARGET, "1", limit_pacing(RequestRate(case.rate)), now
            ):
                case Permitted(delay_seconds=delay):
                    used.append(now + delay)
            now += 1.0 / case.asks_per_second
        allowed = 1.5 * case.rate * WINDOW_SECONDS + 5
        for begin in used:
            window = sum(begin <= at < begin + WINDOW_SECONDS for at in used)
            self.assertLessEqual(window, allowed)
        self.assertGreaterEqual(len(used), case.least_share * case.rate * SECONDS)
        self.assertTrue(used)

    def test_advice_is_the_time_of_the_next_permit(self) -> None:
        schedules, rate = PermitSchedules(), limit_pacing(RequestRate(2.0))
        self.assertIsInstance(schedules.take(TARGET, "1", rate, 0.0), Permitted)
        decision = schedules.take(TARGET, "1", rate, 0.0)
        assert isinstance(decision, NotPermitted)
        at = decision.retry_after_seconds
        early = schedules.take(TARGET, "1", rate, at - 0.01)
        self.assertIsInstance(early, NotPermitted)
        self.assertIsInstance(schedules.take(TARGET, "1", rate, at), Permitted)

    def test_available_permits_can_all_be_taken(self) -> None:
        for rate in (0.5, 1.0, 7.3, 40.0):
            schedules, pacing = PermitSchedules(), limit_pacing(RequestRate(rate))
            schedules.take(TARGET, "1", pacing, 0.0)
            for _ in range(schedules.available(TARGET, "1", pacing, 9.0)):
                decision = schedules.take(TARGET, "1", pacing, 9.0)
                self.assertIsInstance(decision, Permitted)

    def test_restarted_target_has_a_schedule_of_its_own(self) -> None:
        schedules, rate = PermitSchedules(), limit_pacing(RequestRate(1.0))
        schedules.take(TARGET, "1", rate, 0.0)
        self.assertIsInstance(schedules.take(TARGET, "2", rate, 0.0), Permitted)

    def test_permit_expires(self) -> None:
        self.assertTrue(is_usable(1.0, 1.0 + PERMIT_SECONDS))
        self.assertFalse(is_usable(1.0, 1.1 + PERMIT_SECONDS))
