"""Plug-in: the software version that began each resumable stream."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.resumption.commands import (
    KeptOrigins,
    OriginGroup,
    OriginsSnapshot,
)
from goldcrestyard.fleet.resumption.entry_side import StreamOrigins
from goldcrestyard.fleet.resumption.leader_side import OriginKeeper
from goldcrestyard.fleet.resumption.messages import MESSAGES
from goldcrestyard.fleet.resumption.slices import StreamOriginsSlice
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.wire.connection import Handlers


class StreamResumptionConfig(PluginConfig):
    """Entries record the origins of streams; the leader commits them."""

    name = "stream_resumption"
    requires = ("observability", "peers", "serving", "tracking")
    after = ("assembly", "entry")
    slices = (StreamOriginsSlice,)
    messages = (
        *StreamOriginsSlice.commands,
        OriginGroup,
        KeptOrigins,
        OriginsSnapshot,
        *MESSAGES,
    )

    def __init__(self) -> None:
        self._keeper: OriginKeeper | None = None

    def ready(self, app: Application) -> None:
        """Create the leader's part on a control member, else the entry's."""
        metrics = app.get(FleetMetrics)
        member = app.find(ControlMember)
        if member is not None:
            self._keeper = OriginKeeper(member, app.clock)
            self._keeper.register(app.get(Handlers))
            kept = member.machine.get(StreamOriginsSlice)
            metrics.recorded_streams.set_function(kept.count)
            return
        app.provide(
            StreamOrigins,
            StreamOrigins(app.get(LeaderLink), metrics, app.clock),
        )

    async def serve(self, app: Application) -> None:
        """Start the task that records streams."""
        if self._keeper is None:
            app.supervise(app.get(StreamOrigins).run, "record streams")
            return
        member = app.get(ControlMember)
        app.supervise(self._keeper.watch_log_time, "watch the log's time")
        app.supervise(
            partial(while_leading, member, "record streams", self._keeper.run),
            "record streams",
        )
