"""Plug-in ``rentals``: rents targets from the platform to meet the demand.

Entries report the demand at their targets to the leader, which plans the
capacity and places orders with the platform.
"""

import aiohttp

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.rentals import checks
from goldcrestyard.plugins.rentals.client import PlatformClient
from goldcrestyard.plugins.rentals.demand_reports import (
    DemandReporter,
    DemandReports,
)
from goldcrestyard.plugins.rentals.messages import ReportDemand
from goldcrestyard.plugins.rentals.planner import CapacityPlanner
from goldcrestyard.plugins.rentals.settings import RentalSettings
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.wire.connection import Handlers


class RentalsConfig(PluginConfig):
    """Starts the demand reports and the planner if ``[platform]`` is set."""

    name = "rentals"
    requires = ("control", "entry", "orders", "peers", "targets")
    settings_section = "platform"
    settings_class = RentalSettings
    messages = (ReportDemand,)
    checks = (checks.check_address, checks.check_guards)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def ready(self, app: Application) -> None:
        """Register the handler for demand reports on control members."""
        member = app.find(ControlMember)
        if member is not None:
            reports = app.provide(DemandReports, DemandReports(member, app.clock))
            reports.register(app.get(Handlers))

    async def start(self, app: Application) -> None:
        """Start the demand reports, and the planner on control members."""
        settings = app.settings.find(RentalSettings)
        if settings is None:
            return
        reporter = DemandReporter(app.get(TargetHome), app.get(LeaderLink))
        app.supervise(reporter.run, "demand reports")
        member = app.find(ControlMember)
        if member is None:
            return
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(), cookie_jar=aiohttp.DummyCookieJar()
        )
        planner = CapacityPlanner(
            member,
            app.get(OrderOutbox),
            PlatformClient(self._session, settings.address),
            app.clock,
            settings,
            app.get(DemandReports).total,
        )
        app.supervise(planner.run, "target plans")
        app.supervise(planner.watch_notices, "reclaim notices")

    async def stop(self, app: Application) -> None:
        """Close the HTTP session of the platform client."""
        if self._session is not None:
            await self._session.close()
