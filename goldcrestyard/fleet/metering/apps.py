"""Plug-in: counts and reports the requests of each organisation."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.metering.commands import (
    CloseUsage,
    NoReply,
    UsageCounts,
    UsageReported,
    UsageSnapshot,
)
from goldcrestyard.fleet.metering.meter import UsageChannel, UsageMerger, UsageMeter
from goldcrestyard.fleet.metering.reporting import UsageApi, UsageReporter
from goldcrestyard.fleet.metering.slices import MeteringSlice
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.wire.codec import Codec


class MeteringConfig(PluginConfig):
    """Counts requests on entries; the leader closes and reports windows."""

    name = "metering"
    after = ("assembly", "entry")
    slices = (MeteringSlice,)
    messages = (CloseUsage, UsageReported, UsageCounts, NoReply, UsageSnapshot)

    def ready(self, app: Application) -> None:
        """Create the meter on entries and the merger on control members."""
        codec = app.get(Codec)
        digests = app.find(EntryDigests)
        if digests is not None:
            window_seconds = app.settings.section(DutySettings).usage_window_seconds
            meter = app.provide(UsageMeter, UsageMeter(window_seconds))
            digests.add(UsageChannel(meter, codec))
        leader_digests = app.find(LeaderDigests)
        if leader_digests is not None:
            merger = app.provide(UsageMerger, UsageMerger(codec))
            leader_digests.add(merger)

    async def serve(self, app: Application) -> None:
        """Report windows while this member leads."""
        member = app.find(ControlMember)
        api = app.find(UsageApi)  # type: ignore[type-abstract]
        if member is None or api is None:
            return
        settings = app.settings.section(DutySettings)
        reporter = UsageReporter(
            member,
            app.get(UsageMerger),
            api,
            settings.usage_window_seconds,
            settings.quiet_seconds,
            app.clock,
        )
        app.supervise(
            partial(while_leading, member, "report usage", reporter.run),
            "report usage",
        )
