"""Plug-in: the HTTP front ends of control members."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.serving import CallerLimits
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.fleet.directory.directory import Directory
from goldcrestyard.fleet.evacuations.orders import EvacuationOrders
from goldcrestyard.fleet.tracking.settings import TrackingSettings
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import ConnectionPlaces
from goldcrestyard.platform.control.front import ControlFront, DirectoryFront
from goldcrestyard.platform.listening import ListeningSettings
from goldcrestyard.plugins.listeners.connections import (
    MAX_REQUEST_LINE_BYTES,
    ConnectionLimits,
)
from goldcrestyard.plugins.listeners.server import HandlerListener


class ControlFrontConfig(PluginConfig):
    """Serves operators, trainers, targets and service discovery."""

    name = "platform_control"
    requires = (
        "assembly",
        "directory",
        "evacuations",
        "memory",
        "serving",
        "tracking",
        "versions",
    )

    def __init__(self) -> None:
        self._listeners: list[HandlerListener] = []

    async def serve(self, app: Application) -> None:
        """Open the listeners for the control API and for service discovery."""
        addresses = app.settings.section(ListeningSettings).addresses_by_name
        control = ControlFront(
            app.get(ControlMember),
            app.get(MembershipManager),
            app.get(TargetTracker),
            app.get(EvacuationOrders),
            addresses["ctl"],
            app.settings.section(TrackingSettings).regions,
        )
        directory = DirectoryFront(app.get(Directory))
        for handler, address in (
            (control.handle, addresses["ctl"]),
            (directory.handle, addresses["dir"]),
        ):
            listener = HandlerListener(
                handler, _limits, app.get(ByteRoom), app.get(ConnectionPlaces)
            )
            self._listeners.append(listener)
            await listener.open(address)

    async def stop(self, app: Application) -> None:
        """Close the listeners."""
        for listener in self._listeners:
            await listener.stop()


def _limits() -> ConnectionLimits:
    limits = CallerLimits()
    return ConnectionLimits(
        limits.header_seconds,
        limits.idle_seconds,
        limits.header_bytes,
        head_bytes=limits.header_bytes + MAX_REQUEST_LINE_BYTES,
    )
