"""Plug-in: tracking of targets by their heartbeats."""

from collections.abc import Collection
from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.settings import TrackingSettings
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.plugins.targets.commands import HomedTarget, TargetsSnapshot
from goldcrestyard.plugins.targets.slices import TargetsSlice


class TrackingConfig(PluginConfig):
    """Replicates the targets; the leader tracks their heartbeats."""

    name = "tracking"
    requires = ("observability", "serving")
    after = ("assembly", "entry")
    slices = (TargetsSlice,)
    messages = (*TargetsSlice.commands, HomedTarget, TargetsSnapshot)

    def ready(self, app: Application) -> None:
        """Create the tracker on control members."""
        member = app.find(ControlMember)
        if member is None:
            return
        settings = app.settings.section(TrackingSettings)
        serving = member.machine.get(ServingSlice)

        def configured_services() -> Collection[str]:
            table = serving.table
            return table.services_by_name.keys() if table is not None else ()

        tracker = app.provide(
            TargetTracker,
            TargetTracker(
                member,
                settings.regions_by_data_centre,
                settings.heartbeat_seconds,
                app.clock,
                configured_services,
            ),
        )
        app.get(FleetMetrics).unused_targets.set_function(tracker.unused_count)

    async def serve(self, app: Application) -> None:
        """Remove targets without heartbeats while this member leads."""
        tracker = app.find(TargetTracker)
        if tracker is not None:
            member = app.get(ControlMember)
            app.supervise(
                partial(while_leading, member, "watch targets", tracker.run),
                "watch targets",
            )
