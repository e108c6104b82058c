"""Plug-in: request limits that targets name in their answers."""

from goldcrestyard.fleet.limits.known import KnownLimits
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig


class RequestLimitsConfig(PluginConfig):
    """Records the request limits of targets."""

    name = "request_limits"
    requires = ("observability",)

    def ready(self, app: Application) -> None:
        """Create the record of limits."""
        app.provide(KnownLimits, KnownLimits(app.get(FleetMetrics), app.clock))
