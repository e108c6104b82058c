"""Division of a route's traffic between its services, by weight.

A service with weight 0 gets nothing.  Requests of callers are divided at
random; the items of a job are divided evenly, since a job has few of them.
"""

import hashlib
import random
from collections.abc import Collection, Sequence

from goldcrestyard.core.ids import ItemId, JobId, ServiceName
from goldcrestyard.core.serving import ServingRoute


def used_services(route: ServingRoute) -> frozenset[ServiceName]:
    """Return the services that get some of a route's traffic."""
    return frozenset(service.name for service in route.services if service.weight > 0.0)


def share_of(route: ServingRoute, service: ServiceName) -> float:
    """Return the share of a route's traffic that a service gets, 0 to 1."""
    total = sum(share.weight for share in route.services)
    return sum(s.weight for s in route.services if s.name == service) / total


def service_at(
    route: ServingRoute,
    point: float,
    available: Collection[ServiceName] | None = None,
) -> ServiceName:
    """Return the service at a point, from 0 to below 1, of a route's split.

    Each service has a range of points as long as its share.  The split is that
    between the ``available`` services, unless none of them gets any traffic;
    None stands for all.
    """
    used = [service for service in route.services if service.weight > 0.0]
    if available is not None:
        used = [service for service in used if service.name in available] or used
    left = point * sum(service.weight for service in used)
    for service in used:
        left -= service.weight
        if left < 0.0:
            return service.name
    return used[-1].name


def pick_service(route: ServingRoute, random_source: random.Random) -> ServiceName:
    """Return one of a route's services at random, by weight."""
    if len(route.services) == 1:
        return route.services[0].name
    return service_at(route, random_source.random())


def even_points(job: JobId, items: Sequence[ItemId]) -> dict[ItemId, float]:
    """Return a point of a split for each item of a job.

    The points have equal distances, so each service gets its share of the
    items, rounded up or down.  The first one differs from job to job, so that
    the shares hold over many small jobs too.  Neighbours get neighbouring
    points, so that few groups are divided.
    """
    digest = hashlib.blake2b(job.encode(), digest_size=8).digest()
    first = int.from_bytes(digest) / 2**64
    return {
        item: (position + first) / len(items) for position, item in enumerate(items)
    }
