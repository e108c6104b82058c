"""Plug-in: targets rented as trainers need them."""

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.rentals.keeper import RentalApi, RentalKeeper
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig


class RentalKeeperConfig(PluginConfig):
    """Rents targets where this member leads."""

    name = "rental_keeper"
    requires = ("assembly", "jobs", "serving", "tracking")

    async def serve(self, app: Application) -> None:
        """Order targets while this member leads."""
        settings = app.settings.section(DutySettings)
        api = app.find(RentalApi)  # type: ignore[type-abstract]
        if api is None or not settings.rents_targets:
            return
        member = app.get(ControlMember)
        keeper = RentalKeeper(member, api, settings.quiet_seconds, app.clock)
        app.spawn(while_leading(member, "rent targets", keeper.run), "rent targets")
