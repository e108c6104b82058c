"""Commands and snapshot of the services slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ServiceName
from goldcrestyard.core.records import Service


@dataclass(frozen=True, slots=True)
class PutService:
    """Creates a service or replaces its routes and organisations."""

    service: Service


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Removes a service."""

    name: ServiceName


@dataclass(frozen=True, slots=True)
class ServicesSnapshot:
    """The whole slice."""

    services: tuple[Service, ...]
