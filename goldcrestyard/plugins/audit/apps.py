"""Plug-in that keeps the audit trail and serves it to operators."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.audit.records import (
    AuditQuery,
    AuditReply,
    AuditSnapshot,
)
from goldcrestyard.plugins.audit.slices import AuditSlice
from goldcrestyard.plugins.audit.views import AuditRequestHandlers, AuditViews
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.authorisation import OperatorAuthorisation
from goldcrestyard.plugins.operators.views import require_operator
from goldcrestyard.wire.connection import Handlers


class AuditConfig(PluginConfig):
    """Serves ``/operator/v1/audit``."""

    name = "audit"
    requires = ("control", "entry", "listeners", "operators")
    slices = (AuditSlice,)
    messages = (*AuditSlice.commands, AuditSnapshot, AuditQuery, AuditReply)

    def ready(self, app: Application) -> None:
        """Add the route, and the leader's handler on a control member."""
        views = AuditViews(app.get(LeaderLink))
        handler = require_operator(app.get(OperatorAuthorisation), views.audit)
        app.get(AdminRoutes).add("GET", "/operator/v1/audit", handler)
        member = app.find(ControlMember)
        if member is not None:
            AuditRequestHandlers(member).register(app.get(Handlers))
