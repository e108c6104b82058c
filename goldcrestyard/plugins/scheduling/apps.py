"""Plug-in: fair shares and the choice of targets."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.scheduling.use_digests import (
    TokenUseChannel,
    TokenUseDigest,
    TokenUseMerger,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.wire.codec import Codec


class SchedulingConfig(PluginConfig):
    """Provides the scheduler."""

    name = "scheduling"
    requires = ("control", "entry", "targets")
    settings_section = "scheduling"
    settings_class = SchedulingSettings
    messages = (TokenUseDigest,)

    def ready(self, app: Application) -> None:
        """Create the scheduler on this entry's view."""
        view = app.get(EntryView)
        scheduler = Scheduler(
            view.machine.get(TargetsSlice),
            app.clock,
            app.settings.section(InstanceSettings).region,
            app.settings.section(SchedulingSettings),
        )
        view.listen(scheduler.pump)
        app.provide(Scheduler, scheduler)
        codec = app.get(Codec)
        channel = TokenUseChannel(scheduler.use, codec, app.clock)
        app.get(EntryDigests).add(channel)
        leader_digests = app.find(LeaderDigests)
        if leader_digests is not None:
            leader_digests.add(TokenUseMerger(codec, app.clock))

    async def start(self, app: Application) -> None:
        """Start to look for targets that return from ejection."""
        app.spawn(app.get(Scheduler).run(), "scheduler")
