"""Tests of the tally of crashes, by which requests are rejected."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import RequestDigest, TargetId
from goldcrestyard.policy.crashing_requests import (
    HELD_SECONDS,
    MAX_SUSPECTS,
    SUSPECT_SECONDS,
    Crash,
    CrashTally,
    TargetRun,
)

DEADLY = RequestDigest(b"deadly")
INNOCENT = RequestDigest(b"innocent")


def run(name: str) -> TargetRun:
    return TargetRun(TargetId(name), "1000")


@dataclass(frozen=True)
class Case:
    """Runs that crashed under two requests, one a second, and the result."""

    name: str
    deadly: str
    innocent: str = ""
    answered_at: float | None = None
    explained: str = ""
    rejected_before: bool = False
    rejected: bool = False


CASES = [
    Case("two_crashes", "ab"),
    Case("three_crashes", "abc", rejected=True),
    Case("one_run_reported_thrice", "aaa"),
    Case("answer_after_them", "abc", answered_at=2.0),
    Case("answer_between_them", "abc", answered_at=0.5),
    Case("answer_before_them", "abc", answered_at=-1.0, rejected=True),
    Case("other_on_some_of_the_runs", "abc", "ab", rejected=True),
    Case("other_on_the_same_runs", "abc", "abc"),
    Case("other_on_these_and_further_runs", "abc", "abcd"),
    Case("one_run_more_than_the_other", "abcd", "abc", rejected=True),
    Case("always_together", "abcde", "abcde", rejected=True),
    Case("a_rejected_request_was_there", "abc", explained="b"),
    Case("rejected_before", "a", rejected_before=True, rejected=True),
    Case("rejected_before_without_a_crash", "", rejected_before=True),
]


class CrashTallyTests(unittest.TestCase):
    """Guards against rejecting innocent requests and serving deadly ones."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_rejection(self, _: str, case: Case) -> None:
        tally = CrashTally()
        for request, runs in ((DEADLY, case.deadly), (INNOCENT, case.innocent)):
            for number, name in enumerate(runs):
                tally.note_crash(Crash(request, run(name), float(number)))
        if case.answered_at is not None:
            tally.note_answer(DEADLY, case.answered_at)
        tally.explain(map(run, case.explained))
        self.assertEqual(
            case.rejected,
            tally.is_to_reject(DEADLY, rejected_before=case.rejected_before),
        )

    @parameterized.expand(
        [
            ("one_crash", "a", 0.0, 0.0, None),
            ("two_crashes", "ab", 0.0, 1.0, HELD_SECONDS),
            ("latest_jitter", "ab", 1.0, 1.0, 2 * HELD_SECONDS),
            ("a_crash_later", "abc", 0.0, 3.0, HELD_SECONDS - 1.0),
            ("over", "ab", 0.0, 1.0 + HELD_SECONDS, None),
        ]
    )
    def test_hold(
        self, _: str, runs: str, jitter: float, now: float, left: float | None
    ) -> None:
        tally = CrashTally()
        for number, name in enumerate(runs):
            tally.note_crash(Crash(DEADLY, run(name), float(number)))
        self.assertEqual(left, tally.held_seconds_left(DEADLY, now, jitter))

    def test_answer_outweighs_earlier_crashes_that_are_reported_late(self) -> None:
        tally = CrashTally()
        tally.note_crash(Crash(INNOCENT, run("a"), 1.0))
        tally.note_answer(INNOCENT, 5.0)
        for name in "abc":
            self.assertFalse(tally.note_crash(Crash(INNOCENT, run(name), 4.0)))
        self.assertTrue(tally.note_crash(Crash(INNOCENT, run("d"), 6.0)))

    def test_old_and_least_suspects_are_forgotten(self) -> None:
        tally = CrashTally()
        tally.note_crash(Crash(INNOCENT, run("a"), 0.0))
        now = SUSPECT_SECONDS + 1.0
        for name in "ab":
            tally.note_crash(Crash(DEADLY, run(name), now))
        for number in range(MAX_SUSPECTS):
            request = RequestDigest(b"%d" % number)
            tally.note_crash(Crash(request, run("c"), now + number))
        tally.discard_old(now)
        self.assertEqual(MAX_SUSPECTS, len(tally.suspects()))
        self.assertEqual(DEADLY, tally.suspects()[0])
        self.assertEqual({}, tally.crashes(INNOCENT))
