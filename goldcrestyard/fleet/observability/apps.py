"""Plug-in: Prometheus metrics of fleet processes."""

from prometheus_client import CollectorRegistry

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.fleet.observability.cluster_health import observe_cluster_health
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel import logs
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.view import EntryView


class ObservabilityConfig(PluginConfig):
    """Provides the metrics object that other plug-ins update."""

    name = "observability"
    requires = ("peers",)
    after = ("assembly", "entry")

    def ready(self, app: Application) -> None:
        """Create the metrics; gauges read their values when collected."""
        metrics = app.provide(FleetMetrics, FleetMetrics(CollectorRegistry()))
        metrics.dropped_lines.set_function(logs.dropped_line_count)
        manager = app.find(MembershipManager)
        observe_cluster_health(metrics, manager.monitor if manager else None)
        view = app.find(EntryView)
        if view is not None:
            metrics.lease.set_function(view.lease_remaining)
            metrics.revision.set_function(lambda: view.revision)
            metrics.longest_apply.set_function(
                lambda: view.machine.longest_apply_seconds
            )
        member = app.find(ControlMember)
        if member is not None:
            metrics.leader.set_function(lambda: member.is_leader)
            metrics.disk_failing.set_function(lambda: member.is_suspended)
            metrics.disk_outages.set_function(lambda: member.disk_outages.count)
            metrics.disk_outage_seconds.set_function(
                lambda: member.disk_outages.seconds
            )
            metrics.term.set_function(lambda: member.term)
            metrics.revision.set_function(lambda: member.machine.revision)
            metrics.longest_apply.set_function(
                lambda: member.machine.longest_apply_seconds
            )
