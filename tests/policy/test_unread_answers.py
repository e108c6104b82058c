"""Tests of the decision to close connections that are not read."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.policy.unread_answers import SCARCE_SECONDS, UnreadAnswer

IDLE_SECONDS = 15.0


@dataclass(frozen=True)
class Looks:
    """The bytes that wait at each second, and the second of the close."""

    name: str
    waiting_bytes: list[int]
    closed_at: int | None
    scarce: bool = False
    idle_seconds: float = IDLE_SECONDS


CASES = [
    Looks("not_read", [100] * 60, 15),
    Looks("not_read_while_scarce", [100] * 60, int(SCARCE_SECONDS), scarce=True),
    Looks("short_limit_while_scarce", [100] * 60, 1, scarce=True, idle_seconds=1.0),
    Looks("read_slowly", list(range(100, 40, -1)), None),
    Looks("read_slowly_while_scarce", list(range(100, 40, -1)), None, scarce=True),
    Looks("read_now_and_then", [100] * 10 + [99] * 10 + [98] * 30, 36),
]


class UnreadAnswerTests(unittest.TestCase):
    """Guards against held memory, and against closing slow clients."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_closes_without_progress(self, _: str, case: Looks) -> None:
        answer = UnreadAnswer(100, 0.0)
        closed_at = None
        for second, waiting in enumerate(case.waiting_bytes, 1):
            if answer.must_close(
                waiting, float(second), case.idle_seconds, scarce=case.scarce
            ):
                closed_at = second
                break
        self.assertEqual(closed_at, case.closed_at)
