"""Plug-in: this instance's member of the replicated log."""

from pathlib import Path

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.membership.digests import LeaderDigests
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.entry.settings import EntrySettings
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers


class ControlConfig(PluginConfig):
    """Runs the control member where the settings have ``[control]``."""

    name = "control"
    requires = ("peers", "entry")
    settings_section = "control"
    settings_class = ControlSettings

    def ready(self, app: Application) -> None:
        """Create the member, the change feed and the entry sessions."""
        control = app.settings.find(ControlSettings)
        if control is None:
            return
        codec = app.get(Codec)
        machine = StateMachine(slice_class() for slice_class in app.slice_classes)
        member = app.provide(
            ControlMember,
            ControlMember(
                app.settings.section(InstanceSettings).id,
                Path(control.data_folder),
                machine,
                codec,
                app.clock,
            ),
        )
        feed = app.provide(ChangeFeed, ChangeFeed(codec, app.clock))
        machine.listen(feed.add)
        lease_seconds = app.settings.section(EntrySettings).lease_seconds
        digests = app.provide(LeaderDigests, LeaderDigests())
        sessions = EntrySessions(member, feed, codec, app.clock, lease_seconds, digests)
        sessions.register(app.get(Handlers))
        app.provide(EntrySessions, sessions)

    async def start(self, app: Application) -> None:
        """Load the log and take part in the cluster."""
        member = app.find(ControlMember)
        if member is not None:
            await member.start()

    async def stop(self, app: Application) -> None:
        """Close the log."""
        member = app.find(ControlMember)
        if member is not None:
            await member.stop()
