"""Plug-in: orders to outside systems."""

import aiohttp

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.plugins.listeners.routes import AdminRoutes
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders import checks
from goldcrestyard.plugins.orders.auditing import AUDITED
from goldcrestyard.plugins.orders.client import HttpLookUps, OrderClient
from goldcrestyard.plugins.orders.commands import OrdersSnapshot
from goldcrestyard.plugins.orders.connection import TcpConnector
from goldcrestyard.plugins.orders.placing import OrderDesk
from goldcrestyard.plugins.orders.sender import OrderSender
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settling import Settler
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.orders.views import OrderViews


class OrdersConfig(PluginConfig):
    """Runs the order sender on control members."""

    name = "orders"
    requires = ("control", "listeners", "operators")
    settings_section = "orders"
    settings_class = OrderSettings
    slices = (OrdersSlice,)
    messages = (*OrdersSlice.commands, OrdersSnapshot)
    audited = AUDITED
    checks = (checks.check_quiet, checks.check_concurrency)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def ready(self, app: Application) -> None:
        """Provide the desk and add the operators' routes."""
        member = app.find(ControlMember)
        if member is None:
            return
        app.provide(OrderDesk, OrderDesk(member))
        views = OrderViews(member, app.settings.section(OperatorSettings))
        app.get(AdminRoutes).add("GET", "/operator/v1/orders", views.orders)

    async def start(self, app: Application) -> None:
        """Start the sender."""
        member = app.find(ControlMember)
        if member is None:
            return
        settings = app.settings.section(OrderSettings)
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        client = OrderClient(
            TcpConnector(settings.order_quiet_seconds),
            settings,
            member.holds_lease,
            app.settings.section(InstanceSettings).id,
        )
        sender = OrderSender(
            member,
            client,
            HttpLookUps(self._session, settings.answer_seconds),
            Settler(member),
            app.clock,
            settings,
        )
        app.spawn(sender.run(), "order sender")

    async def stop(self, app: Application) -> None:
        """Close the session of the look-ups."""
        if self._session is not None:
            await self._session.close()
