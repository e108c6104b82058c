"""Checks of the control settings."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.policy.leases import MAX_CLOCK_DRIFT

MIN_HEARTBEAT_SECONDS = 0.02
MIN_HEARTBEATS_PER_LEASE = 3
MIN_SNAPSHOT_ENTRIES = 10


def check_timing(settings: Settings) -> Iterable[Problem]:
    """Check the intervals that make the leader's lease safe."""
    control = settings.find(ControlSettings)
    if control is None:
        return
    if control.heartbeat_seconds < MIN_HEARTBEAT_SECONDS:
        yield Problem(
            Severity.ERROR,
            "control.E001",
            "control.heartbeat_seconds",
            f"{control.heartbeat_seconds} is less than {MIN_HEARTBEAT_SECONDS}",
            f"Set at least {MIN_HEARTBEAT_SECONDS}: shorter intervals cost processor "
            "time and detect failures no sooner.",
        )
    if control.lease_seconds < MIN_HEARTBEATS_PER_LEASE * control.heartbeat_seconds:
        yield Problem(
            Severity.ERROR,
            "control.E002",
            "control.lease_seconds",
            f"is shorter than {MIN_HEARTBEATS_PER_LEASE} heartbeats",
            "Raise it, so that the lease survives the loss of one or two heartbeats, "
            "or lower control.heartbeat_seconds.",
        )
    # The leader's clock may run slow while that of a voter runs fast.
    longest_lease = control.election_timeout_seconds * (1 - 2 * MAX_CLOCK_DRIFT)
    if control.lease_seconds > longest_lease:
        yield Problem(
            Severity.ERROR,
            "control.E003",
            "control.lease_seconds",
            f"is longer than {longest_lease:.2f}, the election timeout less the "
            "drift of two clocks",
            "Lower it or raise control.election_timeout_seconds: a longer lease "
            "would let two members act as the leader.",
        )
    if control.start_quiet_seconds < control.lease_seconds * (1 + MAX_CLOCK_DRIFT):
        yield Problem(
            Severity.ERROR,
            "control.E007",
            "control.start_quiet_seconds",
            "is shorter than the lease and the drift of the clocks",
            "Raise it: the member may have confirmed a lease just before its restart "
            "and must not vote until that lease has expired.",
        )
    spread = control.election_timeout_max_seconds - control.election_timeout_seconds
    if spread < control.heartbeat_seconds:
        yield Problem(
            Severity.ERROR,
            "control.E004",
            "control.election_timeout_max_seconds",
            "exceeds control.election_timeout_seconds by less than a heartbeat",
            "Raise it: members that become candidates at the same time split the "
            "votes.",
        )


def check_snapshots(settings: Settings) -> Iterable[Problem]:
    """Check the number of log entries between two snapshots."""
    control = settings.find(ControlSettings)
    if control is not None and control.snapshot_entries < MIN_SNAPSHOT_ENTRIES:
        yield Problem(
            Severity.ERROR,
            "control.E005",
            "control.snapshot_entries",
            f"{control.snapshot_entries} is less than {MIN_SNAPSHOT_ENTRIES}",
            f"Set at least {MIN_SNAPSHOT_ENTRIES}: each snapshot writes the complete "
            "state to disk.",
        )


def check_member(settings: Settings) -> Iterable[Problem]:
    """Check that each listed control member has a ``[control]`` section."""
    cluster = settings.find(ClusterSettings)
    instance = settings.find(InstanceSettings)
    if cluster is None or instance is None:
        return
    if (
        settings.find(ControlSettings) is None
        and instance.id in cluster.control_members
    ):
        yield Problem(
            Severity.ERROR,
            "control.E006",
            "control",
            f"is missing, but cluster.control_members names {instance.id}",
            "Add the section with its data_folder, or remove the instance from "
            "cluster.control_members.",
        )
