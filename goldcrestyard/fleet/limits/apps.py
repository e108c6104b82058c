"""Plug-in: request limits that targets name, and those of cold targets."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.limits.cold import (
    ColdChannel,
    ColdMerger,
    ColdTargets,
    HeardFromLeader,
    HeardFromTargets,
)
from goldcrestyard.fleet.limits.known import KnownLimits, LimitsChannel, LimitsMerger
from goldcrestyard.fleet.limits.messages import MESSAGES
from goldcrestyard.fleet.limits.permits import (
    IssuedByLeader,
    IssuedHere,
    PermitIssuer,
    PermitSource,
    TargetPermits,
)
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.state.commands import AppliedEntry
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers


class RequestLimitsConfig(PluginConfig):
    """Shares the request limits of targets; the leader issues permits."""

    name = "request_limits"
    requires = ("evacuations", "observability", "peers", "serving", "tracking")
    after = ("assembly", "entry")
    messages = MESSAGES

    def ready(self, app: Application) -> None:
        """Create the record of limits and the source of permits."""
        metrics = app.get(FleetMetrics)
        codec = app.get(Codec)
        known = app.provide(KnownLimits, KnownLimits(metrics, app.clock))
        member = app.find(ControlMember)
        settings = app.settings.section(ColdTargetSettings)
        source: PermitSource
        if member is not None:
            knowledge = HeardFromTargets(app.get(TargetTracker).cold_seconds_left)
            cold = ColdTargets(member.machine, knowledge, settings, app.clock)
            issuer = PermitIssuer(member, known, cold, app.clock)
            issuer.register(app.get(Handlers))
            app.get(LeaderDigests).add(LimitsMerger(known, codec))
            app.get(LeaderDigests).add(ColdMerger(cold, codec, app.clock))
            source = IssuedHere(issuer)
        else:
            view = app.get(EntryView)
            cold = ColdTargets(
                view.machine,
                HeardFromLeader(view.renewed_seconds_ago),
                settings,
                app.clock,
            )
            app.get(EntryDigests).add(LimitsChannel(known, codec))
            digests = app.get(EntryDigests)
            digests.add(ColdChannel(cold, codec))
            view.machine.listen(partial(_ask_early, cold, digests))
            source = IssuedByLeader(app.get(LeaderLink))
        app.provide(ColdTargets, cold)
        metrics.cold_targets.set_function(cold.count)
        app.provide(
            TargetPermits, TargetPermits(known, cold, source, metrics, app.clock)
        )


def _ask_early(cold: ColdTargets, digests: EntryDigests, entry: AppliedEntry) -> None:
    """Learn at once of cold targets when services begin to name their rate."""
    match entry.envelope.command:
        case PutServing() if cold.in_use:
            digests.request_renewal()
