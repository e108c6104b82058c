"""Tests of the decision which slow bodies are given up."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.policy.arrivals import (
    GRACE_SECONDS,
    ON_COURSE_SECONDS,
    Arrival,
    bodies_to_end,
)

MEGABYTE = 1_000_000
STEP_SECONDS = 0.25


@dataclass(frozen=True)
class Body:
    """A body that arrives at a rate, perhaps until it stalls."""

    name: str
    expected: int
    bytes_per_second: float
    age: float
    may_end: bool
    stalls_after: float = 1e9

    def arrival(self) -> Arrival:
        """Return what has arrived at the body's age; it began at time 0."""
        arrival = Arrival(0.0, self.expected)
        now = 0.0
        while now < self.age:
            now += STEP_SECONDS
            if now <= self.stalls_after:
                arrival.add(now, int(self.bytes_per_second * STEP_SECONDS))
        return arrival


class ArrivalTests(unittest.TestCase):
    """Guards against slow bodies that keep their room from all others."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                Body("young", 30 * MEGABYTE, 0, GRACE_SECONDS / 2, False),
                Body("nothing_arrives", 30 * MEGABYTE, 0, GRACE_SECONDS, True),
                Body("fast", 30 * MEGABYTE, 3 * MEGABYTE, 5.0, False),
                Body("fast_chunks", 0, 3 * MEGABYTE, 5.0, False),
                Body("drips", 30 * MEGABYTE, 4.0, 5.0, True),
                Body("dripping_chunks", 0, 4.0, ON_COURSE_SECONDS, True),
                Body("stalls", 30 * MEGABYTE, 5 * MEGABYTE, 9.0, True, 4.0),
                Body("pauses", 30 * MEGABYTE, 5 * MEGABYTE, 4.5, False, 4.0),
                Body("poor_link", 4 * MEGABYTE, MEGABYTE / 4, 5.0, False),
                Body("poor_link_large", 30 * MEGABYTE, MEGABYTE / 4, 5.0, True),
                Body("old", 30 * MEGABYTE, MEGABYTE, ON_COURSE_SECONDS, True),
            )
        ]
    )
    def test_which_body_may_be_given_up(self, _: str, case: Body) -> None:
        self.assertEqual(case.arrival().may_end(case.age), case.may_end)

    @parameterized.expand(
        [
            ("none_is_needed", 0, "new", []),
            ("one_is_enough", MEGABYTE, "new", ["stalled"]),
            ("slowest_first", 4 * MEGABYTE, "new", ["stalled", "dripping"]),
            ("in_vain", 40 * MEGABYTE, "new", []),
            ("for_itself", MEGABYTE, "stalled", []),
            ("for_a_slower_one", 4 * MEGABYTE, "dripping", []),
        ]
    )
    def test_which_bodies_are_given_up(
        self, _: str, missing: int, own: str, expected: list[str]
    ) -> None:
        held = 3 * MEGABYTE
        bodies_by_key = {
            "fast": Body("", held, MEGABYTE, 2.5, False),
            "dripping": Body("", held, 100.0, 5.0, True),
            "stalled": Body("", held, 0.0, 5.0, True),
        }
        arrivals = [(key, body.arrival(), held) for key, body in bodies_by_key.items()]
        self.assertEqual(bodies_to_end(arrivals, missing, own, 5.0), expected)


if __name__ == "__main__":
    unittest.main()
