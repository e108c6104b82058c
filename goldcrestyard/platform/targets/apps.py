"""Plug-in: calls to targets."""

from goldcrestyard.core.calls import TargetClient
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.platform.targets.client import HttpTargetClient
from goldcrestyard.platform.targets.engine_control import HttpEngineControl


class TargetClientConfig(PluginConfig):
    """Provides the client of the targets."""

    name = "target_client"

    def ready(self, app: Application) -> None:
        """Create the client."""
        client = app.provide(HttpTargetClient, HttpTargetClient())
        app.provide(TargetClient, client)  # type: ignore[type-abstract]
        holder = app.settings.section(DutySettings).holder_name
        app.provide(
            EngineControl,  # type: ignore[type-abstract]
            HttpEngineControl(client, holder),
        )

    async def start(self, app: Application) -> None:
        """Open the client's session."""
        await app.get(HttpTargetClient).start()

    async def stop(self, app: Application) -> None:
        """Close the client's session."""
        await app.get(HttpTargetClient).stop()
