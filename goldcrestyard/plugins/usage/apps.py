"""Plug-in ``usage``: metering and reporting of usage.

Each entry counts its attempts and sends totals to the replicated log.  The
leader closes time windows, and each closed window is reported by an order.
"""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders.commands import Receiver, ReceiverId
from goldcrestyard.plugins.scheduling.scheduler import Run, Scheduler
from goldcrestyard.plugins.usage import checks
from goldcrestyard.plugins.usage.commands import UsageSnapshot
from goldcrestyard.plugins.usage.meter import UsageMeter
from goldcrestyard.plugins.usage.settings import UsageSettings
from goldcrestyard.plugins.usage.slices import UsageSlice
from goldcrestyard.plugins.usage.views import UsageViews
from goldcrestyard.plugins.usage.window_closer import WindowCloser
from goldcrestyard.policy.orders import Guards


def record_run(meter: UsageMeter, run: Run) -> None:
    """Count an attempt that the scheduler reports."""
    meter.record(
        run.organisation,
        run.name,
        run.tokens.prompt,
        run.tokens.generated,
        run.attempt,
    )


class UsageConfig(PluginConfig):
    """Meters usage and closes windows if ``[usage]`` is set.

    Without the section no ``UsageMeter`` is provided.
    """

    name = "usage"
    # The plug-ins that send attempts are required so that this one drains
    # after them, and a planned stop sends the usage of their last attempts.
    requires = (
        "control",
        "engines",
        "entry",
        "listeners",
        "operators",
        "orders",
        "scheduling",
        "services",
        "trainers",
    )
    settings_section = "usage"
    settings_class = UsageSettings
    slices = (UsageSlice,)
    messages = (*UsageSlice.commands, UsageSnapshot)
    checks = (checks.check_usage,)

    def ready(self, app: Application) -> None:
        """Provide the meter and add the operators' route."""
        settings = app.settings.find(UsageSettings)
        if settings is None:
            return
        meter = UsageMeter(
            app.settings.section(InstanceSettings).id,
            app.get(LeaderLink),
            app.clock,
            settings.window_seconds,
            settings.flush_seconds,
        )
        app.provide(UsageMeter, meter)
        app.get(Scheduler).observe_runs(partial(record_run, meter))
        member = app.find(ControlMember)
        if member is not None:
            views = UsageViews(member, app.settings.section(OperatorSettings))
            app.get(AdminRoutes).add("GET", "/operator/v1/usage", views.usage)

    async def start(self, app: Application) -> None:
        """Start the meter, and the window closer on control members."""
        settings = app.settings.find(UsageSettings)
        if settings is None:
            return
        app.supervise(app.get(UsageMeter).run, "usage totals")
        member = app.find(ControlMember)
        if member is not None:
            guards = Guards(
                settings.checks_fencing, settings.honours_keys, settings.can_look_up
            )
            receiver = Receiver(ReceiverId("usage"), settings.address, guards)
            closer = WindowCloser(member, app.clock, settings, receiver)
            app.supervise(closer.run, "usage windows")

    async def drain(self, app: Application) -> None:
        """Send the totals that this entry has not sent yet."""
        meter = app.find(UsageMeter)
        if meter is not None:
            await meter.flush_before_stop()
