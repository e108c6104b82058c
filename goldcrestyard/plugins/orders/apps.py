"""Plug-in ``orders``: the outbox and the sender of orders."""

import aiohttp

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders import checks
from goldcrestyard.plugins.orders.audit_subjects import AUDITED
from goldcrestyard.plugins.orders.client import HttpLookUpClient, OrderClient
from goldcrestyard.plugins.orders.commands import OrdersSnapshot
from goldcrestyard.plugins.orders.connection import TcpConnector
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.orders.sender import OrderSender
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settlements import SettlementBatcher
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.orders.views import OrderViews


class OrdersConfig(PluginConfig):
    """Registers the orders slice; control members run the order sender."""

    name = "orders"
    requires = ("control", "listeners", "operators")
    settings_section = "orders"
    settings_class = OrderSettings
    slices = (OrdersSlice,)
    messages = (*OrdersSlice.commands, OrdersSnapshot)
    audited = AUDITED
    checks = (checks.check_quiet_period, checks.check_concurrency)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def ready(self, app: Application) -> None:
        """Provide the order outbox and add the operators' route."""
        member = app.find(ControlMember)
        if member is None:
            return
        app.provide(OrderOutbox, OrderOutbox(member))
        views = OrderViews(member, app.settings.section(OperatorSettings))
        app.get(AdminRoutes).add("GET", "/operator/v1/orders", views.orders)

    async def start(self, app: Application) -> None:
        """Start the order sender on a control member."""
        member = app.find(ControlMember)
        if member is None:
            return
        settings = app.settings.section(OrderSettings)
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(), cookie_jar=aiohttp.DummyCookieJar()
        )
        client = OrderClient(
            TcpConnector(settings.order_quiet_seconds),
            settings,
            member.holds_lease,
            app.settings.section(InstanceSettings).id,
        )
        sender = OrderSender(
            member,
            client,
            HttpLookUpClient(self._session, settings.answer_seconds),
            SettlementBatcher(member),
            app.clock,
            settings,
        )
        app.supervise(sender.run, "order sender")

    async def stop(self, app: Application) -> None:
        """Close the HTTP session of the look-up client."""
        if self._session is not None:
            await self._session.close()
