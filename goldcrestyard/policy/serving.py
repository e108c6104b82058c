"""Which route, organisation and service a request belongs to."""

import random
from collections import Counter
from collections.abc import Iterator

from goldcrestyard.core.ids import ServiceName
from goldcrestyard.core.serving import (
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
)


def faults(config: ServingConfig) -> Iterator[str]:
    """Yield everything that makes a configuration invalid."""
    services = {service.name for service in config.services}
    places: Counter[tuple[str, str]] = Counter()
    for route in config.routes:
        places[normal_host(route.host), route.prefix] += 1
        for service in route.services:
            if service.name not in services:
                yield f"route {route.name} names an unknown service {service.name}"
        if any(service.weight < 0 for service in route.services):
            yield f"route {route.name} has a negative weight"
        if sum(service.weight for service in route.services) <= 0:
            yield f"the weights of route {route.name} add up to 0"
        if route.timeout_seconds <= 0:
            yield f"route {route.name} has no timeout"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield f"the prefix of route {route.name} is not between slashes"
    for (host, prefix), count in places.items():
        if count > 1:
            yield f"{count} routes share host {host} and prefix {prefix}"
    keys = Counter(
        key for organisation in config.organisations for key in set(organisation.keys)
    )
    if any(count > 1 for count in keys.values()):
        yield "two organisations share a key"


def normal_host(host: str) -> str:
    """Return a host name as routes are found by it."""
    return host.partition(":")[0].lower()


class ServingTable:
    """Finds routes, organisations and services of one configuration."""

    def __init__(self, config: ServingConfig) -> None:
        self.config = config
        self._routes_by_place = {
            (normal_host(route.host), route.prefix): route for route in config.routes
        }
        self._organisations_by_key = {
            key: organisation
            for organisation in config.organisations
            for key in organisation.keys
        }
        self.services_by_name: dict[ServiceName, ServedService] = {
            service.name: service for service in config.services
        }
        self.needs_keys = bool(config.organisations)

    def route(self, host: str, path: str) -> ServingRoute | None:
        """Return the route with the longest prefix of a path, or None."""
        host = normal_host(host)
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def organisation(self, key: str) -> ServedOrganisation | None:
        """Return the organisation that holds a key, or None."""
        return self._organisations_by_key.get(key)


def pick_service(route: ServingRoute, source: random.Random) -> ServiceName:
    """Draw one of a route's services by weight."""
    if len(route.services) == 1:
        return route.services[0].name
    names = [service.name for service in route.services]
    weights = [service.weight for service in route.services]
    return source.choices(names, weights)[0]
