"""Tests of the choice of samples to hedge.

They guard against a step that waits for one slow engine, and against unlimited
hedges.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import SampleId
from goldcrestyard.policy.stragglers import RunningSample, StreamPace, choose_hedges


@dataclass(frozen=True)
class Case:
    """Streams as (id, seconds, tokens), and the samples that are hedged."""

    name: str
    streams: tuple[tuple[str, float, int], ...]
    expected: list[str]
    done: int = 95
    hedged: int = 0
    learned: int = 10


SLOW = ("slow", 30.0, 10)
SLOWER = ("slower", 60.0, 10)
FINE = ("fine", 30.0, 290)

CASES = [
    Case("slow_stream", (SLOW, FINE), ["slow"]),
    Case("slowest_first", (SLOW, SLOWER, FINE), ["slower", "slow"]),
    Case("silent_stream", (("silent", 30.0, 0),), ["silent"]),
    Case("long_sample_at_the_usual_pace", (("long", 300.0, 3000),), []),
    Case("too_early_to_tell", (("new", 0.5, 0),), []),
    Case("early_in_the_step", (SLOW,), [], done=50),
    Case("pace_not_learned", (SLOW,), [], learned=2),
    Case("budget_spent", (SLOW,), [], hedged=5),
    Case("budget_nearly_spent", (SLOW, SLOWER), ["slower"], hedged=4),
    Case("nothing_runs", (), []),
]


class StragglerTests(unittest.TestCase):
    """A step of 100 samples on engines that take 0.1 s for each token."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_hedges(self, _: str, case: Case) -> None:
        pace = StreamPace()
        for _number in range(case.learned):
            pace.observe(10.0, 100)
        chosen = choose_hedges(
            [RunningSample(SampleId(i), s, t) for i, s, t in case.streams],
            pace,
            done=case.done,
            total=100,
            hedged=case.hedged,
        )
        self.assertEqual(chosen, case.expected)
