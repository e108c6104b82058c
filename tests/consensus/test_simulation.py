"""Randomised fault schedules in a simulated cluster.

They guard against two leaders in a term, two holders of the lease, lost or
changed committed entries, diverging state machines, and a cluster that does
not recover once the faults have ended.
"""

import unittest

from parameterized import parameterized

from tests.consensus.simulation import Faults, InvariantViolationError, Node, Simulation

FAULT_SCHEDULES = [
    (50, Faults("calm", drift=0.05)),
    (
        150,
        Faults("lossy", drop_probability=0.2, duplicate_probability=0.2, max_delay=0.4),
    ),
    (200, Faults("late", duplicate_probability=0.3, max_delay=1.2, partition_rate=0.2)),
    (
        200,
        Faults(
            "crashes", drop_probability=0.05, crash_rate=0.6, slow_sync_probability=0.3
        ),
    ),
    (200, Faults("partitions", partition_rate=0.4, drift=0.05, few_proposals=True)),
    (200, Faults("pauses", pause_rate=0.5, drift=0.05, slow_sync_probability=0.05)),
    (
        200,
        Faults(
            "idle_links",
            partition_rate=0.4,
            crash_rate=0.6,
            drift=0.05,
            few_proposals=True,
        ),
    ),
    (
        250,
        Faults(
            "all",
            drop_probability=0.05,
            duplicate_probability=0.1,
            max_delay=0.3,
            crash_rate=0.25,
            partition_rate=0.3,
            pause_rate=0.2,
            slow_sync_probability=0.2,
            drift=0.05,
        ),
    ),
    (
        150,
        Faults(
            "five",
            members=5,
            drop_probability=0.1,
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
            spare_nodes=2,
            drop_probability=0.05,
            partition_rate=0.3,
            crash_rate=0.2,
            configuration_change_rate=1.0,
            drift=0.05,
        ),
    ),
    (
        200,
        Faults(
            "disk_lost",
            spare_nodes=1,
            drop_probability=0.05,
            crash_rate=0.4,
            configuration_change_rate=1.0,
            wipe_disk=True,
            slow_sync_probability=0.1,
        ),
    ),
]

FAULT_SECONDS = 14.0
"""Time in seconds for which faults are injected; several elections fit in."""


class SimulationTests(unittest.TestCase):
    """Guards the invariants of Raft under each mix of faults."""

    @parameterized.expand([(case.name, count, case) for count, case in FAULT_SCHEDULES])
    def test_schedules(self, _: str, count: int, faults: Faults) -> None:
        for seed in range(count):
            try:
                Simulation(faults, seed).run_with_faults(FAULT_SECONDS)
            except (InvariantViolationError, AssertionError) as error:
                raise AssertionError(f"{faults.name}, seed {seed}: {error}") from error


class LeaseTests(unittest.TestCase):
    """The leader's lease, in cases that random schedules rarely reach."""

    def _make_idle_cluster(
        self, name: str, seed: int
    ) -> tuple[Simulation, Node, list[Node]]:
        """Return a cluster with a leader that has nothing to replicate."""
        simulation = Simulation(Faults(name), seed)
        simulation.run(8.0)
        leader = simulation.leader()
        assert leader is not None
        followers = [node for node in simulation.nodes if node is not leader]
        return simulation, leader, followers

    def test_restarted_voter_does_not_support_another_leader(self) -> None:
        """A restarted voter has no record of the latest heartbeat.

        If the voter granted a vote at once, a second leader could be elected
        during the lease.
        """
        for seed in range(40):
            simulation, leader, (silent, voter) = self._make_idle_cluster(
                "restarts", seed
            )
            simulation.cut(leader, silent)
            for _ in range(20):
                simulation.run(0.3)
                simulation.crash(voter)
                simulation.run(0.01)
                simulation.start(voter)

    def test_drift_of_the_clocks_is_allowed_for(self) -> None:
        """The leader's clock is slow and the voters' clocks are fast.

        A lease without an allowance for drift would outlast the election
        timeouts.
        """
        for seed in range(100):
            simulation, leader, followers = self._make_idle_cluster("drift", seed)
            simulation.set_clock_rate(leader, 0.975)
            for follower in followers:
                simulation.set_clock_rate(follower, 1.025)
            simulation.run(2.0)
            for follower in followers:
                simulation.cut(leader, follower)
            simulation.run(6.0)

    def test_late_answers_do_not_extend_the_lease(self) -> None:
        """Replies may be delayed by almost the election timeout.

        A lease counted from the arrival of a reply would last too long.
        """
        for seed in range(60):
            simulation, leader, followers = self._make_idle_cluster("answers", seed)
            for follower in followers:
                simulation.delay(follower, leader, 1.5)
            simulation.run(1.0)
            for follower in followers:
                simulation.cut_one_way(leader, follower)
            simulation.run(6.0)
