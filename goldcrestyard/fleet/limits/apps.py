"""Plug-in: request limits that targets name in their answers."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.limits.known import KnownLimits, LimitsChannel, LimitsMerger
from goldcrestyard.fleet.limits.messages import MESSAGES
from goldcrestyard.fleet.limits.permits import (
    IssuedByLeader,
    IssuedHere,
    PermitIssuer,
    PermitSource,
    TargetPermits,
)
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers


class RequestLimitsConfig(PluginConfig):
    """Shares the request limits of targets; the leader issues permits."""

    name = "request_limits"
    requires = ("observability", "peers")
    after = ("assembly", "entry")
    messages = MESSAGES

    def ready(self, app: Application) -> None:
        """Create the record of limits and the source of permits."""
        metrics = app.get(FleetMetrics)
        codec = app.get(Codec)
        known = app.provide(KnownLimits, KnownLimits(metrics, app.clock))
        member = app.find(ControlMember)
        source: PermitSource
        if member is not None:
            issuer = PermitIssuer(member, known, app.clock)
            issuer.register(app.get(Handlers))
            app.get(LeaderDigests).add(LimitsMerger(known, codec))
            source = IssuedHere(issuer)
        else:
            app.get(EntryDigests).add(LimitsChannel(known, codec))
            source = IssuedByLeader(app.get(LeaderLink))
        app.provide(TargetPermits, TargetPermits(known, source, metrics, app.clock))
