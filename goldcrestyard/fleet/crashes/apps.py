"""Plug-in: rejects requests that crash the targets that run them."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.calls import TargetClient
from goldcrestyard.fleet.crashes.commands import (
    CrashingRequest,
    CrashingRequestsSnapshot,
)
from goldcrestyard.fleet.crashes.guard import RequestGuard
from goldcrestyard.fleet.crashes.messages import MESSAGES
from goldcrestyard.fleet.crashes.rejection import RequestRejection
from goldcrestyard.fleet.crashes.slices import CrashingRequestsSlice
from goldcrestyard.fleet.crashes.suspects import (
    Suspects,
    SuspectsChannel,
    SuspectsMerger,
)
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.wire.codec import Codec


class CrashingRequestsConfig(PluginConfig):
    """Replicates crashing requests; entries report, the leader decides."""

    name = "crashing_requests"
    requires = ("observability", "peers", "target_client", "tracking")
    after = ("assembly", "entry")
    slices = (CrashingRequestsSlice,)
    messages = (
        *CrashingRequestsSlice.commands,
        CrashingRequest,
        CrashingRequestsSnapshot,
        *MESSAGES,
    )

    def __init__(self) -> None:
        self._rejection: RequestRejection | None = None

    def ready(self, app: Application) -> None:
        """Create the record of suspects, and the guard of an entry."""
        metrics = app.get(FleetMetrics)
        codec = app.get(Codec)
        member = app.find(ControlMember)
        if member is not None:
            rejected = member.machine.get(CrashingRequestsSlice)
            suspects = Suspects(rejected, metrics, app.clock)
            app.get(LeaderDigests).add(SuspectsMerger(suspects, codec))
            self._rejection = RequestRejection(member, suspects)
            return
        machine = app.get(EntryView).machine
        digests = app.get(EntryDigests)
        suspects = Suspects(machine.get(CrashingRequestsSlice), metrics, app.clock)
        guard = app.provide(
            RequestGuard,
            RequestGuard(
                suspects,
                machine.get(TargetsSlice),
                app.get(TargetClient),  # type: ignore[type-abstract]
                app.clock,
                digests.request_renewal,
            ),
        )
        digests.add(SuspectsChannel(suspects, guard.resolve, codec))

    async def serve(self, app: Application) -> None:
        """Decide on rejections while this member leads."""
        if self._rejection is not None:
            member = app.get(ControlMember)
            app.supervise(
                partial(while_leading, member, "reject requests", self._rejection.run),
                "reject requests",
            )
