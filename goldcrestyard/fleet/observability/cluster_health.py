"""Gauges of the losses that the control cluster can bear."""

from collections.abc import Callable
from functools import partial

from goldcrestyard.fleet.assembly.health import ClusterHealthMonitor
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.policy.cluster_health import ClusterHealth


def observe_cluster_health(
    metrics: FleetMetrics, monitor: ClusterHealthMonitor | None
) -> None:
    """Connect the gauges to the monitor of a control member, if any."""
    for gauge, read in (
        (metrics.voters, lambda health: health.voters),
        (metrics.sound_voters, lambda health: health.sound_voters),
        (metrics.tolerated_losses, lambda health: health.tolerated_losses),
        (metrics.missing_machines, lambda health: health.missing_machines),
        (
            metrics.lost_without_successor,
            lambda health: len(health.lost_without_successor),
        ),
        (metrics.waiting_retirements, lambda health: len(health.waiting_retirements)),
    ):
        gauge.set_function(partial(_read, monitor, read))


def _read(
    monitor: ClusterHealthMonitor | None, read: Callable[[ClusterHealth], int]
) -> float:
    health = monitor.health if monitor is not None else None
    return read(health) if health is not None else float("nan")
