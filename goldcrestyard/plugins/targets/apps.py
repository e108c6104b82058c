"""Plug-in ``targets``: registration of targets that announce themselves.

The entry to which a target announces itself is its home: it tracks the
renewals, and reports the target as lost when they stop.
"""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.entry.settings import EntrySettings
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    HomedTarget,
    LeaveTarget,
    RemoveTarget,
    TargetsSnapshot,
)
from goldcrestyard.plugins.targets.home_monitor import HomeMonitor
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.plugins.targets.settings import TargetSettings
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.plugins.targets.views import TargetViews


class TargetsConfig(PluginConfig):
    """Registers the targets slice, serves ``/targets``, tracks renewals."""

    name = "targets"
    requires = ("control", "entry", "listeners")
    settings_section = "targets"
    settings_class = TargetSettings
    slices = (TargetsSlice,)
    messages = (*TargetsSlice.commands, HomedTarget, TargetsSnapshot)
    audited = {
        AnnounceTarget: lambda command: f"target/{command.target.id}",
        DrainTarget: lambda command: f"target/{command.id}",
        RemoveTarget: lambda command: f"target/{command.id}",
        LeaveTarget: lambda command: f"target/{command.id}",
    }

    def ready(self, app: Application) -> None:
        """Provide this entry's home and add the routes for targets."""
        settings = app.settings.section(TargetSettings)
        instance = app.settings.section(InstanceSettings).id
        link = app.get(LeaderLink)
        home = app.provide(
            TargetHome, TargetHome(instance, link, app.clock, settings.lost_seconds)
        )
        views = TargetViews(
            instance, settings, app.get(EntryView), link, home, app.clock
        )
        routes = app.get(PublicRoutes)
        routes.add("POST", "/targets/announce", views.announce)
        routes.add("POST", "/targets/{target}/renew", views.renew)
        routes.add("POST", "/targets/{target}/drain", views.drain)
        routes.add("POST", "/targets/{target}/reclaim", views.reclaim)
        routes.add("DELETE", "/targets/{target}", views.leave)

    async def start(self, app: Application) -> None:
        """Start the scans for targets and homes that stopped renewing."""
        targets = app.get(EntryView).machine.get(TargetsSlice)
        app.supervise(partial(app.get(TargetHome).run, targets), "target renewals")
        member = app.find(ControlMember)
        if member is not None:
            monitor = HomeMonitor(
                member,
                app.get(EntrySessions),
                app.clock,
                app.settings.section(EntrySettings).lease_seconds,
                app.settings.section(TargetSettings).lost_home_seconds,
            )
            app.supervise(monitor.run, "target homes")
