"""Plug-in that serves the operators' API on the admin listener."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel import registry
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.authorisation import OperatorAuthorisation
from goldcrestyard.plugins.operators.commands import (
    MESSAGES,
    ConfirmPlan,
    StorePlan,
)
from goldcrestyard.plugins.operators.leader_side import PlanRequestHandlers
from goldcrestyard.plugins.operators.planning import ConfigurationPlanner
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.operators.slices import PlansSlice
from goldcrestyard.plugins.operators.views import (
    OperatorHandler,
    OperatorViews,
    require_operator,
)
from goldcrestyard.wire.connection import Handlers


class OperatorsConfig(PluginConfig):
    """Serves ``/operator/v1`` on the admin listener."""

    name = "operators"
    requires = (
        "addresses",
        "control",
        "entry",
        "listeners",
        "organisations",
        "targets",
    )
    settings_section = "operators"
    settings_class = OperatorSettings
    slices = (PlansSlice,)
    messages = (*PlansSlice.commands, *MESSAGES)
    audited = {
        StorePlan: lambda command: f"plan/{command.number or 'new'}",
        ConfirmPlan: lambda command: f"plan/{command.number}",
    }

    def ready(self, app: Application) -> None:
        """Create the planner and add the routes."""
        authorisation = app.provide(
            OperatorAuthorisation,
            OperatorAuthorisation(app.settings.section(OperatorSettings)),
        )
        view = app.get(EntryView)
        link = app.get(LeaderLink)
        kinds = registry.declared_kinds()
        planner = app.provide(
            ConfigurationPlanner, ConfigurationPlanner(view, link, app.clock, kinds)
        )
        views = OperatorViews(view, planner)
        routes = app.get(AdminRoutes)

        def add(method: str, path: str, handler: OperatorHandler) -> None:
            checked = require_operator(authorisation, handler)
            routes.add(method, f"/operator/v1{path}", checked)

        add("POST", "/plans", views.plan)
        add("GET", "/plans", views.plans)
        add("GET", "/plans/{number}", views.show_plan)
        add("POST", "/plans/{number}/confirm", views.confirm)
        for kind in kinds:
            add("GET", f"/{kind.table}", views.records_of(kind))
        add("POST", "/keys", views.grant_key)
        add("GET", "/keys", views.keys)
        add("DELETE", "/keys/{key}", views.withdraw_key)
        add("GET", "/targets", views.targets)
        add("POST", "/targets/{target}/drain", views.drain_target)
        add("GET", "/entries", views.entries)

    async def start(self, app: Application) -> None:
        """Register the leader's handlers if this is a control member."""
        member = app.find(ControlMember)
        if member is not None:
            PlanRequestHandlers(member, app.get(EntrySessions)).register(
                app.get(Handlers)
            )
