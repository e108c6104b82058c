"""Plug-in that lets operators list and replace control members."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.members.leader_side import MemberRequestHandlers
from goldcrestyard.plugins.members.messages import MESSAGES
from goldcrestyard.plugins.members.views import MemberViews
from goldcrestyard.plugins.operators.authorisation import OperatorAuthorisation
from goldcrestyard.plugins.operators.views import require_operator
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.wire.connection import Handlers


class MembersConfig(PluginConfig):
    """Serves ``/operator/v1/members`` and ``/operator/v1/status``."""

    name = "members"
    requires = ("audit", "control", "entry", "listeners", "operators")
    messages = MESSAGES

    def ready(self, app: Application) -> None:
        """Add the routes, and the handlers on a control member."""
        members = app.settings.section(ClusterSettings).control_members
        views = MemberViews(app, app.get(LeaderLink), members)
        authorisation = app.get(OperatorAuthorisation)
        routes = app.get(AdminRoutes)
        for method, path, handler in (
            ("GET", "/members", views.members),
            ("POST", "/members/{member}/replace", views.replace),
            ("GET", "/status", views.status),
        ):
            checked = require_operator(authorisation, handler)
            routes.add(method, f"/operator/v1{path}", checked)
        member = app.find(ControlMember)
        if member is not None:
            MemberRequestHandlers(app, member).register(app.get(Handlers))
