"""Commands and snapshot of the services slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ServiceName
from goldcrestyard.core.records import Service


@dataclass(frozen=True, slots=True)
class PutService:
    """Creates a service, or replaces it as a whole."""

    service: Service


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Removes a service; rejected if it does not exist."""

    name: ServiceName


@dataclass(frozen=True, slots=True)
class ServicesSnapshot:
    """All services of the slice."""

    services: tuple[Service, ...]
