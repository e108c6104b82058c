"""Plug-in: usage reports and rentals at the platform."""

from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.metering.reporting import UsageApi
from goldcrestyard.fleet.rentals.autoscaler import RentalApi
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.platform.duties.client import DutiesClient
from goldcrestyard.platform.listening import ListeningSettings
from goldcrestyard.platform.targets.client import HttpTargetClient


class DutiesConfig(PluginConfig):
    """Provides the client for usage reports and rentals."""

    name = "platform_duties"
    requires = ("target_client",)

    def ready(self, app: Application) -> None:
        """Create the client if the settings name the platform's address."""
        address = app.settings.section(ListeningSettings).duties_address
        if not address:
            return
        holder = app.settings.section(DutySettings).holder_name
        client = DutiesClient(app.get(HttpTargetClient), address, holder)
        app.provide(UsageApi, client)  # type: ignore[type-abstract]
        app.provide(RentalApi, client)  # type: ignore[type-abstract]
