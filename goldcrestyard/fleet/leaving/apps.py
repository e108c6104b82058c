"""Plug-in: targets that say in their answers that they leave."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.leaving.drainer import LeavingDrainer
from goldcrestyard.fleet.leaving.known import (
    LeavingChannel,
    LeavingMerger,
    LeavingTargets,
)
from goldcrestyard.fleet.leaving.messages import MESSAGES
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.wire.codec import Codec


class LeavingTargetsConfig(PluginConfig):
    """Records the targets that leave; the leader drains them."""

    name = "leaving_targets"
    requires = ("observability", "peers", "tracking")
    after = ("assembly", "entry")
    messages = MESSAGES

    def ready(self, app: Application) -> None:
        """Create the record of targets and the exchange with the leader."""
        codec = app.get(Codec)
        member = app.find(ControlMember)
        machine = member.machine if member is not None else app.get(EntryView).machine
        leaving = app.provide(
            LeavingTargets, LeavingTargets(machine.get(TargetsSlice), app.clock)
        )
        if member is not None:
            app.get(LeaderDigests).add(LeavingMerger(leaving, codec))
        else:
            app.get(EntryDigests).add(LeavingChannel(leaving, codec))
        metrics = app.get(FleetMetrics)
        metrics.leaving_targets.set_function(leaving.count)
        metrics.leaving_services.set_function(leaving.count_services)

    async def serve(self, app: Application) -> None:
        """Start the task that drains targets whenever this member leads."""
        member = app.find(ControlMember)
        if member is not None:
            drainer = LeavingDrainer(member, app.get(LeavingTargets))
            app.supervise(
                partial(while_leading, member, "drain leaving targets", drainer.run),
                "drain leaving targets",
            )
