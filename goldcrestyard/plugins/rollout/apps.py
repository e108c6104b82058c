"""Plug-in that rolls out published weights to the engines."""

import aiohttp

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.rollout.engines import HttpVersionClient
from goldcrestyard.plugins.rollout.publications import find_publications
from goldcrestyard.plugins.rollout.rollout import RolloutManager
from goldcrestyard.plugins.rollout.settings import RolloutSettings
from goldcrestyard.plugins.rollout.views import RolloutViews


class RolloutConfig(PluginConfig):
    """Runs rollouts on control members."""

    name = "rollout"
    requires = ("control", "listeners", "operators", "orders", "targets")
    settings_section = "rollout"
    settings_class = RolloutSettings

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, app: Application) -> None:
        """Start the rollout task if this process is a control member."""
        member = app.find(ControlMember)
        if member is None:
            return
        publications = find_publications(app, member.machine)
        if publications is None:
            return
        settings = app.settings.section(RolloutSettings)
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        rollouts = RolloutManager(
            member,
            publications,
            app.get(OrderOutbox),
            HttpVersionClient(
                self._session, settings.ask_seconds, settings.ask_concurrency
            ),
            app.clock,
            settings,
        )
        views = RolloutViews(member, rollouts, app.settings.section(OperatorSettings))
        app.get(AdminRoutes).add("GET", "/operator/v1/rollouts", views.rollouts)
        app.supervise(rollouts.run, "rollouts")

    async def stop(self, app: Application) -> None:
        """Close the HTTP session for the engines."""
        if self._session is not None:
            await self._session.close()
