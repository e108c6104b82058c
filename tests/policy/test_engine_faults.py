"""Tests of the trust in engines whose answers to items are invalid."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import ItemId, JobId, TargetId
from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.policy.engine_faults import (
    FAULT_EXPIRY_SECONDS,
    FIRST_AVOIDANCE_SECONDS,
    MAX_AVOIDANCE_SECONDS,
    EngineFaults,
)
from goldcrestyard.policy.job_schedule import EngineTrust, ItemKey

RUN = TargetRun(TargetId("e"), "1")
NEXT_RUN = TargetRun(TargetId("e"), "2")
TEXT = ""
"""Stands for a complete text, where others are items with a fault."""


@dataclass(frozen=True)
class Case:
    """Times and items of faults or texts; the trust at a later time."""

    name: str
    events: tuple[tuple[float, str], ...]
    now: float
    expected: EngineTrust
    run: TargetRun = RUN


TWO_FAULTS = ((0.0, "a"), (0.1, "b"))
AVOIDED_UNTIL = 0.1 + FIRST_AVOIDANCE_SECONDS
TRIAL = AVOIDED_UNTIL + 0.1

CASES = [
    Case("none", (), 0.0, EngineTrust.TRUSTED),
    Case("one_item", ((0.0, "a"),), 0.0, EngineTrust.TRUSTED),
    Case(
        "one_item_again_and_again",
        tuple((float(second), "a") for second in range(9)),
        9.0,
        EngineTrust.TRUSTED,
    ),
    Case("two_items", TWO_FAULTS, 0.2, EngineTrust.AVOIDED),
    Case("avoided_for_a_time", TWO_FAULTS, AVOIDED_UNTIL, EngineTrust.ON_TRIAL),
    Case(
        "texts_between_faults",
        ((0.0, "a"), (0.1, TEXT), (0.2, "b")),
        0.3,
        EngineTrust.TRUSTED,
    ),
    Case("complete_trial", (*TWO_FAULTS, (TRIAL, TEXT)), TRIAL, EngineTrust.TRUSTED),
    Case(
        "failed_trial",
        (*TWO_FAULTS, (TRIAL, "a")),
        TRIAL + 2 * FIRST_AVOIDANCE_SECONDS - 0.1,
        EngineTrust.AVOIDED,
    ),
    Case(
        "runs_of_the_same_time_are_one_trial",
        (*TWO_FAULTS, *((0.2 + 0.1 * number, f"c{number}") for number in range(9))),
        AVOIDED_UNTIL,
        EngineTrust.ON_TRIAL,
    ),
    Case(
        "faults_expire",
        TWO_FAULTS,
        0.2 + FAULT_EXPIRY_SECONDS,
        EngineTrust.TRUSTED,
    ),
    Case("restarted_engine", TWO_FAULTS, 0.2, EngineTrust.TRUSTED, NEXT_RUN),
]


class TrustTests(unittest.TestCase):
    """Guards against items that each learn of a faulty engine by themselves.

    Also guards against a single item that takes the engines from all others.
    """

    def setUp(self) -> None:
        self.faults = EngineFaults()

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_trust(self, _: str, case: Case) -> None:
        for at, item in case.events:
            self._note(item, at)
        self.assertIs(self.faults.trust(case.run, case.now), case.expected)

    def test_trials_go_on_with_growing_pauses(self) -> None:
        """Guards against an engine that is never tried again."""
        now = 0.0
        pauses = []
        self._note("a", now)
        for number in range(8):
            self._note(f"b{number}", now)
            began = now
            while self.faults.trust(RUN, now) is EngineTrust.AVOIDED:
                now += 0.5
            self.assertIs(self.faults.trust(RUN, now), EngineTrust.ON_TRIAL)
            pauses.append(now - began)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[0], FIRST_AVOIDANCE_SECONDS)
        self.assertEqual(pauses[-1], MAX_AVOIDANCE_SECONDS)

    def _note(self, item: str, at: float) -> None:
        if item == TEXT:
            self.faults.note_text(RUN)
        else:
            self.faults.note_fault(RUN, ItemKey(JobId("j"), ItemId(item)), at)
