"""Schedules of faults in a simulated cluster.

They guard against two leaders in a term, two holders of the lease, lost or
changed committed entries, state machines that differ, and a cluster that
does not recover once the faults have ended.
"""

import unittest

from parameterized import parameterized

from tests.consensus.simulation import Faults, InvariantError, Simulation

CASES = [
    (50, Faults("calm", drift=0.05)),
    (150, Faults("lossy", drop=0.2, duplicate=0.2, max_delay=0.4)),
    (200, Faults("late", duplicate=0.3, max_delay=1.2, partition_rate=0.2)),
    (200, Faults("crashes", drop=0.05, crash_rate=0.6, slow_sync=0.3)),
    (200, Faults("partitions", partition_rate=0.6, drift=0.05)),
    (200, Faults("pauses", pause_rate=0.5, drift=0.05, slow_sync=0.05)),
    (
        250,
        Faults(
            "all",
            drop=0.05,
            duplicate=0.1,
            max_delay=0.3,
            crash_rate=0.25,
            partition_rate=0.3,
            pause_rate=0.2,
            slow_sync=0.2,
            drift=0.05,
        ),
    ),
    (
        150,
        Faults(
            "five",
            members=5,
            drop=0.1,
            crash_rate=0.3,
            partition_rate=0.4,
            pause_rate=0.2,
            drift=0.05,
        ),
    ),
    (
        200,
        Faults(
            "member_changes",
            spare=2,
            drop=0.05,
            partition_rate=0.3,
            crash_rate=0.2,
            change_rate=1.0,
            drift=0.05,
        ),
    ),
    (
        200,
        Faults(
            "disk_lost",
            spare=1,
            drop=0.05,
            crash_rate=0.4,
            change_rate=1.0,
            wipe=True,
            slow_sync=0.1,
        ),
    ),
]

CHAOS_SECONDS = 14.0
"""Long enough for several elections."""


class SimulationTests(unittest.TestCase):
    """Guards the promises of the replicated log against any mix of faults."""

    @parameterized.expand([(case.name, count, case) for count, case in CASES])
    def test_schedules(self, _: str, count: int, faults: Faults) -> None:
        for seed in range(count):
            try:
                Simulation(faults, seed).run_schedule(CHAOS_SECONDS)
            except (InvariantError, AssertionError) as error:
                raise AssertionError(f"{faults.name}, seed {seed}: {error}") from error
