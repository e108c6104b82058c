"""Plug-in: fair shares and the choice of targets."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.targets.slices import TargetsSlice


class SchedulingConfig(PluginConfig):
    """Provides the scheduler."""

    name = "scheduling"
    requires = ("entry", "targets")
    settings_section = "scheduling"
    settings_class = SchedulingSettings

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

    async def start(self, app: Application) -> None:
        """Start to look for targets that return from ejection."""
        app.spawn(app.get(Scheduler).run(), "scheduler")
