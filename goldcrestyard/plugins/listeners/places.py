"""The places for connections, by the settings of the process."""

from goldcrestyard.kernel.connection_places import ConnectionPlaces, open_files_limit
from goldcrestyard.kernel.default_settings import MemorySettings
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.policy.connections import max_connections


def places_for(settings: Settings) -> ConnectionPlaces:
    """Return the places that the settings allow to all listeners."""
    memory = settings.find(MemorySettings) or MemorySettings()
    listeners = settings.find(ListenerSettings)
    if listeners is not None and listeners.max_connections > 0:
        return ConnectionPlaces(listeners.max_connections)
    descriptors = min(memory.descriptors or open_files_limit(), open_files_limit())
    return ConnectionPlaces(max_connections(memory.process_bytes, descriptors))
