"""Plug-in: the operators' interface."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.operators.views import OperatorViews


class OperatorsConfig(PluginConfig):
    """Serves ``/operator/v1`` on the admin listener."""

    name = "operators"
    requires = ("entry", "listeners", "organisations", "targets")
    settings_section = "operators"
    settings_class = OperatorSettings

    def ready(self, app: Application) -> None:
        """Add the routes."""
        views = OperatorViews(
            app.settings.section(OperatorSettings),
            app.get(EntryView),
            app.get(LeaderLink),
        )
        routes = app.get(AdminRoutes)
        routes.add("GET", "/operator/v1/organisations", views.organisations)
        routes.add("PUT", "/operator/v1/organisations", views.put_organisation)
        routes.add("POST", "/operator/v1/keys", views.grant_key)
        routes.add("DELETE", "/operator/v1/keys/{key}", views.withdraw_key)
        routes.add("GET", "/operator/v1/targets", views.targets)
