"""Schedules of faults in a simulated cluster.

They guard against two leaders in a term, two holders of the lease, lost or
changed committed entries, state machines that differ, and a cluster that
does not recover once the faults have ended.
"""

import unittest

from parameterized import parameterized

from tests.consensus.simulation import Faults, InvariantError, Node, Simulation

CASES = [
    (50, Faults("calm", drift=0.05)),
    (150, Faults("lossy", drop=0.2, duplicate=0.2, max_delay=0.4)),
    (200, Faults("late", duplicate=0.3, max_delay=1.2, partition_rate=0.2)),
    (200, Faults("crashes", drop=0.05, crash_rate=0.6, slow_sync=0.3)),
    (200, Faults("partitions", partition_rate=0.4, drift=0.05, idle=True)),
    (200, Faults("pauses", pause_rate=0.5, drift=0.05, slow_sync=0.05)),
    (
        200,
        Faults("idle_links", partition_rate=0.4, crash_rate=0.6, drift=0.05, idle=True),
    ),
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


class LeaseTests(unittest.TestCase):
    """Guards the leader's lease where chance rarely leads to."""

    def _idle(self, name: str, seed: int) -> tuple[Simulation, Node, list[Node]]:
        """Return a cluster with a leader that has nothing to replicate."""
        simulation = Simulation(Faults(name), seed)
        simulation.run(8.0)
        leader = simulation.leader()
        assert leader is not None
        followers = [node for node in simulation.nodes if node is not leader]
        return simulation, leader, followers

    def test_restarted_voter_does_not_support_another_leader(self) -> None:
        """A voter forgets with each restart that it heard the leader."""
        for seed in range(40):
            simulation, leader, (silent, voter) = self._idle("restarts", seed)
            simulation.cut(leader, silent)
            for _ in range(20):
                simulation.run(0.3)
                simulation.crash(voter)
                simulation.run(0.01)
                simulation.boot(voter)

    def test_drift_of_the_clocks_is_allowed_for(self) -> None:
        """The leader's clock runs slow while the voters' run fast."""
        for seed in range(100):
            simulation, leader, followers = self._idle("drift", seed)
            simulation.change_rate(leader, 0.975)
            for follower in followers:
                simulation.change_rate(follower, 1.025)
            simulation.run(2.0)
            for follower in followers:
                simulation.cut(leader, follower)
            simulation.run(6.0)

    def test_late_answers_do_not_extend_the_lease(self) -> None:
        """Answers may take as long as the election timeout."""
        for seed in range(60):
            simulation, leader, followers = self._idle("answers", seed)
            for follower in followers:
                simulation.delay(follower, leader, 1.5)
            simulation.run(1.0)
            for follower in followers:
                simulation.cut_one_way(leader, follower)
            simulation.run(6.0)
