"""Plug-in: autoscaling of rented targets."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.rentals.autoscaler import RentalApi, RentalAutoscaler
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig


class RentalAutoscalerConfig(PluginConfig):
    """Runs the autoscaler on the leader if the deployment rents targets."""

    name = "rental_keeper"
    requires = ("assembly", "evacuations", "jobs", "serving", "tracking")

    async def serve(self, app: Application) -> None:
        """Start the autoscaler, which orders targets on the leader."""
        settings = app.settings.section(DutySettings)
        api = app.find(RentalApi)  # type: ignore[type-abstract]
        if api is None or not settings.rents_targets:
            return
        member = app.get(ControlMember)
        autoscaler = RentalAutoscaler(member, api, settings.quiet_seconds, app.clock)
        app.supervise(
            partial(while_leading, member, "rent targets", autoscaler.run),
            "rent targets",
        )
