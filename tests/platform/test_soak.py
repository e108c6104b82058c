"""Short fault-injection runs with seeds that revealed faults."""

import unittest

from parameterized import parameterized

from tests.soak.run import run_seed

SECONDS = 6.0
"""Time in seconds during which faults are injected; the jobs then run to their
end without faults."""

SEEDS = [
    # A connection to a target stopped delivering data without being closed,
    # and the job waited for 60 s.
    ("silent_connections", 1),
    # The speed of a run was estimated from its first events only.
    ("slow_target", 102),
    ("slow_target_again", 200),
]


class SoakTests(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, repeated, wrongly refused and incomplete work."""

    @parameterized.expand(SEEDS)
    async def test_promises_hold_under_faults(self, _: str, seed: int) -> None:
        soak = await run_seed(seed, SECONDS)
        self.assertGreater(soak.jobs, 0)
        self.assertGreater(soak.statuses[200], 0)

    async def test_promises_hold_while_services_name_request_limits(self) -> None:
        soak = await run_seed(26, SECONDS, limits=True)
        self.assertGreater(soak.jobs, 0)
        self.assertGreater(soak.statuses[200], 0)

    async def test_promises_hold_while_software_versions_change(self) -> None:
        """Also guards against texts that two software versions generated."""
        soak = await run_seed(4101, SECONDS, versions=True)
        self.assertGreater(soak.jobs, 0)
        self.assertEqual(soak.mixed_texts, 0)

    async def test_promises_hold_after_the_last_loss_of_a_disk(self) -> None:
        """Also guards against a cluster without a leader at the end."""
        soak = await run_seed(5500, SECONDS, losses=True)
        self.assertGreater(soak.jobs, 0)
        self.assertGreater(soak.statuses[200], 0)

    async def test_promises_hold_while_targets_leave(self) -> None:
        """Also guards against calls to a target whose notice was passed on."""
        soak = await run_seed(3001, SECONDS, leaving=True)
        self.assertGreater(soak.jobs, 0)
        self.assertGreater(soak.statuses[200], 0)
