"""Look-up of routes, organisations and services in a serving configuration.

A request's route is the one with its host and the longest prefix of its path.
The organisation follows from the request's key, the service from the weights
of the route.
"""

import math
from bisect import bisect_left
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import KeyHash, OrganisationId, Region, ServiceName
from goldcrestyard.core.keys import hash_secret
from goldcrestyard.core.serving import (
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
)
from goldcrestyard.policy.residency import HostHomes, allowed_regions, homes_by_host
from goldcrestyard.policy.splits import used_services


class FaultId(Enum):
    """Kind of an error in a configuration; the values do not change."""

    UNKNOWN_SERVICE = "config.E001"
    NEGATIVE_WEIGHT = "config.E002"
    TOTAL_WEIGHT = "config.E003"
    NO_TIMEOUT = "config.E004"
    PREFIX = "config.E005"
    SAME_PREFIX = "config.E006"
    SHARED_KEY = "config.E007"
    UNKNOWN_HOME = "config.E008"


@dataclass(frozen=True, slots=True)
class Fault:
    """An error for which a configuration is refused.

    ``about`` names the route or organisation, or is ``configuration``.
    """

    id: FaultId
    about: str
    message: str


def faults(
    config: ServingConfig, regions: Collection[Region] | None = None
) -> Iterator[str]:
    """Yield a description of each error in a configuration.

    ``regions`` are those of the deployment; None does not check home regions.
    """
    return (fault.message for fault in located_faults(config, regions))


def located_faults(
    config: ServingConfig, regions: Collection[Region] | None = None
) -> Iterator[Fault]:
    """Yield each error in a configuration, as ``faults`` does."""
    if regions is not None:
        yield from _home_faults(config, regions)
    services = {service.name for service in config.services}
    routes_by_key: dict[RouteKey, list[ServingRoute]] = {}
    for route in config.routes:
        routes_by_key.setdefault(route_key(route), []).append(route)
        for id_, message in _route_faults(route, services):
            yield Fault(id_, f"route {route.name}", message)
    for (host, prefix), routes in routes_by_key.items():
        if len(routes) > 1:
            message = f"{len(routes)} routes share host {host} and prefix {prefix}"
            names = ", ".join(route.name for route in routes)
            yield Fault(FaultId.SAME_PREFIX, f"routes {names}", message)
    holders_by_key: dict[str, list[OrganisationId]] = {}
    for organisation in config.organisations:
        for key in set(organisation.keys):
            holders_by_key.setdefault(key, []).append(organisation.id)
    sharing = {id_ for ids in holders_by_key.values() if len(ids) > 1 for id_ in ids}
    if sharing:
        about = f"organisations {', '.join(sorted(sharing))}"
        yield Fault(FaultId.SHARED_KEY, about, "two organisations share a key")


def _route_faults(
    route: ServingRoute, services: Collection[ServiceName]
) -> Iterator[tuple[FaultId, str]]:
    name = route.name
    for service in route.services:
        if service.name not in services:
            message = f"route {name} names an unknown service {service.name}"
            yield FaultId.UNKNOWN_SERVICE, message
    if any(service.weight < 0 for service in route.services):
        yield FaultId.NEGATIVE_WEIGHT, f"route {name} has a negative weight"
    total = sum(service.weight for service in route.services)
    if not 0 < total < math.inf:
        yield FaultId.TOTAL_WEIGHT, f"the weights of route {name} add up to {total}"
    if route.timeout_seconds <= 0:
        yield FaultId.NO_TIMEOUT, f"route {name} has no timeout"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield FaultId.PREFIX, f"the prefix of route {name} is not between slashes"


def _home_faults(config: ServingConfig, regions: Collection[Region]) -> Iterator[Fault]:
    holders: list[tuple[str, tuple[Region, ...]]] = [
        *((f"route {route.name}", route.residency) for route in config.routes),
        *((f"organisation {item.id}", item.residency) for item in config.organisations),
    ]
    for about, homes in holders:
        for home in homes:
            if home not in regions:
                message = f"{about} has an unknown home region {home}"
                yield Fault(FaultId.UNKNOWN_HOME, about, message)


def normalize_host(host: str) -> str:
    """Return a host name in lower case and without its port."""
    return host.partition(":")[0].lower()


RouteKey = tuple[str, str]
"""Host, normalized, and path prefix of a route."""


def route_key(route: ServingRoute) -> RouteKey:
    """Return the host and the prefix by which a route is found."""
    return normalize_host(route.host), route.prefix


class ServingTable:
    """Indexes of a configuration by host and prefix, key and service name."""

    def __init__(self, config: ServingConfig) -> None:
        self.config = config
        self._routes_by_host_and_prefix = {
            route_key(route): route for route in config.routes
        }
        self._longest_prefix = max((len(r.prefix) for r in config.routes), default=0)
        self.holders_by_key = {
            key: organisation
            for organisation in config.organisations
            for key in organisation.keys
        }
        self._organisations_by_id = {
            organisation.id: organisation for organisation in config.organisations
        }
        self._holders_by_key_hash: dict[KeyHash, OrganisationId] | None = None
        self._services_of_unequal_urgency = _services_of_unequal_urgency(config)
        self.services_by_name: dict[ServiceName, ServedService] = {
            service.name: service for service in config.services
        }
        self.needs_keys = bool(config.organisations)
        self.homes_by_organisation: dict[OrganisationId, tuple[Region, ...]] = {
            organisation.id: organisation.residency
            for organisation in config.organisations
            if organisation.residency
        }
        self._homes_by_host = homes_by_host(
            (normalize_host(route.host), route.residency) for route in config.routes
        )
        self.has_homes = bool(self.homes_by_organisation or self._homes_by_host)

    def route(self, host: str, path: str) -> ServingRoute | None:
        """Return a host's route with the longest prefix of a path, or None."""
        host = normalize_host(host)
        # All prefixes of a path of many slashes take quadratic time.
        for prefix in _prefixes(path[: self._longest_prefix]):
            route = self._routes_by_host_and_prefix.get((host, prefix))
            if route is not None:
                return route
        return None

    def organisation(self, key: str) -> ServedOrganisation | None:
        """Return the organisation that holds a key, or None."""
        return self.holders_by_key.get(key)

    def holder(self, key_hash: KeyHash) -> OrganisationId | None:
        """Return the organisation that holds the key with a hash, or None."""
        if self._holders_by_key_hash is None:
            self._holders_by_key_hash = {
                hash_secret(key): organisation.id
                for key, organisation in self.holders_by_key.items()
            }
        return self._holders_by_key_hash.get(key_hash)

    def names(self, organisation: OrganisationId) -> bool:
        """Return whether the configuration names an organisation."""
        return organisation in self._organisations_by_id

    def urgency(self, route: ServingRoute, organisation: OrganisationId | None) -> int:
        """Return how urgent an organisation's requests on a route are.

        0 is the highest.  The priority of the organisation goes before that of
        the route.
        """
        holder = (
            None
            if organisation is None
            else self._organisations_by_id.get(organisation)
        )
        if holder is not None and holder.priority is not None:
            return holder.priority
        return route.priority

    def sent_urgency(
        self, route: ServingRoute, organisation: OrganisationId | None
    ) -> int | None:
        """Return the urgency that a request carries; None if it needs none.

        It needs one only if requests to its service differ in urgency.
        """
        if all(
            service.name not in self._services_of_unequal_urgency
            for service in route.services
        ):
            return None
        return self.urgency(route, organisation)

    def homes_of_host(self, host: str) -> HostHomes | None:
        """Return the homes of a host's routes; None if none has any."""
        return self._homes_by_host.get(normalize_host(host))

    def allowed_regions(
        self, route: ServingRoute, organisation: OrganisationId | None
    ) -> frozenset[Region] | None:
        """Return where a request may be served; None if everywhere."""
        if not self.has_homes:
            return None
        homes: tuple[Region, ...] = ()
        if organisation is not None:
            homes = self.homes_by_organisation.get(organisation, ())
        return allowed_regions(route.residency, homes)


def _services_of_unequal_urgency(config: ServingConfig) -> set[ServiceName]:
    """Return the services to which requests of several urgencies go."""
    urgencies_by_service: dict[ServiceName, set[int]] = {}
    own = {
        organisation.priority
        for organisation in config.organisations
        if organisation.priority is not None
    }
    for route in config.routes:
        for service in route.services:
            urgencies = urgencies_by_service.setdefault(service.name, set())
            urgencies.add(route.priority)
            if not route.open:
                urgencies.update(own)
    return {name for name, found in urgencies_by_service.items() if len(found) > 1}


def _prefixes(path: str) -> Iterator[str]:
    """Yield a path's prefixes that end with a slash, the longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]


class RouteKeyIndex:
    """Keys of routes, searched for one that requests may share with another.

    Prefixes start and end with a slash, so two that share requests are equal,
    or one of them is a prefix of the other.
    """

    def __init__(self, keys: Iterable[RouteKey]) -> None:
        self._keys = set(keys)
        self._sorted_keys = sorted(self._keys)

    def overlaps(self, key: RouteKey) -> bool:
        """Return whether a request may match both a route and one of these."""
        host, prefix = key
        if any((host, shorter) in self._keys for shorter in _prefixes(prefix)):
            return True
        # Keys below this prefix sort directly after it.
        position = bisect_left(self._sorted_keys, key)
        if position == len(self._sorted_keys):
            return False
        next_host, next_prefix = self._sorted_keys[position]
        return next_host == host and next_prefix.startswith(prefix)


def moved_routes(
    before: ServingTable, after: ServingTable, moved: Collection[RouteKey]
) -> set[RouteKey]:
    """Return the routes some of whose requests led to other services before.

    These may be requests of a route that is gone, which is returned itself if
    no other route has taken its place.  ``moved`` are those that moved lately:
    one that is added in the place of a route among them has moved.
    """
    found: set[RouteKey] = set()
    moved_before = RouteKeyIndex(moved)
    for route in (*before.config.routes, *after.config.routes):
        key = route_key(route)
        former, present = before.route(*key), after.route(*key)
        if former is None:
            if moved_before.overlaps(key):
                found.add(key)
        elif present is None:
            found.add(key)
        elif used_services(former) != used_services(present):
            found.add(route_key(present))
    return found
