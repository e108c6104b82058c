"""Plug-in: rents targets from the platform."""

import aiohttp

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.plugins.orders.placing import OrderDesk
from goldcrestyard.plugins.platform import checks
from goldcrestyard.plugins.platform.client import PlatformClient
from goldcrestyard.plugins.platform.planner import Planner
from goldcrestyard.plugins.platform.settings import PlatformSettings
from goldcrestyard.policy.demand import Demand


class PlatformConfig(PluginConfig):
    """Plans targets on control members with ``[platform]`` settings."""

    name = "platform"
    requires = ("control", "orders", "targets")
    settings_section = "platform"
    settings_class = PlatformSettings
    checks = (checks.check_address, checks.check_guards)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self, app: Application) -> None:
        """Start to plan."""
        settings = app.settings.find(PlatformSettings)
        member = app.find(ControlMember)
        if settings is None or member is None:
            return
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        planner = Planner(
            member,
            app.get(OrderDesk),
            PlatformClient(self._session, settings.address),
            app.clock,
            settings,
            Demand,
        )
        app.spawn(planner.run(), "target plans")
        app.spawn(planner.watch_notices(), "reclaim notices")

    async def stop(self, app: Application) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
