"""Plug-in: the room for bodies in progress, and metrics of what is held."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import ConnectionPlaces
from goldcrestyard.kernel.default_settings import process_bytes
from goldcrestyard.plugins.listeners.places import places_for
from goldcrestyard.policy.memory import control_shares, entry_body_bytes


class MemoryConfig(PluginConfig):
    """Provides the room for bodies and the places for connections."""

    name = "memory"
    requires = ("observability",)
    after = ("assembly",)

    def ready(self, app: Application) -> None:
        """Create the room, by the memory of the process and its role."""
        available = process_bytes(app.settings)
        member = app.find(ControlMember)
        capacity = (
            entry_body_bytes(available)
            if member is None
            else control_shares(available).bodies
        )
        room = app.provide(ByteRoom, ByteRoom(capacity))
        places = app.provide(ConnectionPlaces, places_for(app.settings))
        metrics = app.get(FleetMetrics)
        metrics.connections.set_function(lambda: places.open)
        places.observers.append(
            lambda reason: metrics.refused_connections.labels(reason.value).inc()
        )
        metrics.bodies_bytes.set_function(lambda: room.held)
        room.observers.append(metrics.slow_bodies.inc)
        if member is not None:
            metrics.proposals_bytes.set_function(lambda: member.proposals_bytes)
            metrics.log_bytes.set_function(lambda: member.log_bytes)
