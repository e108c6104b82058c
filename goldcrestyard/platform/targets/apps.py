"""Plug-in: the HTTP client for targets."""

from goldcrestyard.core.calls import TargetClient
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.leaving.known import LeavingTargets
from goldcrestyard.fleet.limits.cold import ColdTargets
from goldcrestyard.fleet.limits.known import KnownLimits
from goldcrestyard.fleet.limits.permits import LimitedTargetClient, TargetPermits
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.platform.targets.client import HttpTargetClient
from goldcrestyard.platform.targets.engine_control import HttpEngineControl


class TargetClientConfig(PluginConfig):
    """Provides the client for requests to targets and orders to engines."""

    name = "target_client"
    requires = ("evacuations", "leaving_targets", "memory", "request_limits")

    def ready(self, app: Application) -> None:
        """Create the clients; connections are opened later."""
        client = app.provide(
            HttpTargetClient,
            HttpTargetClient(
                app.get(KnownLimits).observe,
                app.get(LeavingTargets),
                app.get(ByteRoom),
                app.get(TargetExclusions),
                app.get(ColdTargets).is_warm,
            ),
        )
        app.provide(
            TargetClient,  # type: ignore[type-abstract]
            LimitedTargetClient(client, app.get(TargetPermits), app.clock),
        )
        holder = app.settings.section(DutySettings).holder_name
        app.provide(
            EngineControl,  # type: ignore[type-abstract]
            HttpEngineControl(client, holder),
        )

    async def start(self, app: Application) -> None:
        """Open the client's session, which needs an event loop."""
        await app.get(HttpTargetClient).start()

    async def stop(self, app: Application) -> None:
        """Close all connections of the client."""
        await app.get(HttpTargetClient).stop()
