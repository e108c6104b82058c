"""Plug-in: evacuations of data centres."""

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.evacuations.commands import (
    EndEvacuation,
    Evacuation,
    EvacuationsSnapshot,
    RequestEvacuation,
)
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.evacuations.orders import EvacuationOrders
from goldcrestyard.fleet.evacuations.running import (
    RunningChannel,
    RunningMerger,
    RunningRequests,
)
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.leaving.known import LeavingTargets
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.tracking.settings import TrackingSettings
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.view import EntryView
from goldcrestyard.state.commands import AppliedEntry
from goldcrestyard.wire.codec import Codec

logger = structlog.get_logger(__name__)


class EvacuationsConfig(PluginConfig):
    """Replicates evacuations; all processes apply them to their requests."""

    name = "evacuations"
    requires = ("leaving_targets", "observability", "peers", "serving", "tracking")
    after = ("assembly", "entry")
    slices = (EvacuationsSlice,)
    messages = (
        *EvacuationsSlice.commands,
        Evacuation,
        EvacuationsSnapshot,
        RunningRequests,
    )

    def ready(self, app: Application) -> None:
        """Provide the exclusions, and on control members the orders."""
        codec = app.get(Codec)
        member = app.find(ControlMember)
        machine = member.machine if member is not None else app.get(EntryView).machine
        exclusions = app.provide(
            TargetExclusions,
            TargetExclusions(
                machine.get(EvacuationsSlice), app.get(LeavingTargets).includes
            ),
        )
        if member is not None:
            merger = RunningMerger(exclusions, codec, app.clock)
            app.get(LeaderDigests).add(merger)
            zones = app.settings.section(TrackingSettings).regions_by_data_centre
            app.provide(EvacuationOrders, EvacuationOrders(member, zones, merger))
        else:
            app.get(EntryDigests).add(RunningChannel(exclusions, codec))
        machine.listen(_log_change)
        metrics = app.get(FleetMetrics)
        metrics.evacuated_data_centres.set_function(exclusions.count_evacuated)
        metrics.evacuated_requests.set_function(exclusions.count_running)


def _log_change(entry: AppliedEntry) -> None:
    """Log from when on this process keeps to an evacuation."""
    match entry.envelope.command:
        case RequestEvacuation(data_centre=data_centre):
            logger.info("evacuation in force here", data_centre=data_centre)
        case EndEvacuation(data_centre=data_centre):
            logger.info("evacuation over here", data_centre=data_centre)
