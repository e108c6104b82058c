"""Short runs of the fault soak with seeds that once failed."""

import unittest

from parameterized import parameterized

from tests.soak.run import run_seed

SECONDS = 6.0
"""Time during which faults are injected; the jobs then still end."""

SEEDS = [
    # A connection to a target stayed silent for good, and the job waited 60 s.
    ("silent_connections", 1),
    # The pace of a run was judged by its first events only.
    ("slow_target", 102),
    ("slow_target_again", 200),
]


class SoakTests(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, doubled, falsely refused and incomplete work."""

    @parameterized.expand(SEEDS)
    async def test_promises_hold_under_faults(self, _: str, seed: int) -> None:
        soak = await run_seed(seed, SECONDS)
        self.assertGreater(soak.jobs, 0)
        self.assertGreater(soak.statuses[200], 0)
