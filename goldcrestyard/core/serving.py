"""The serving configuration: routes, services, organisations and limits.

Operators supply it as one document; the whole document is one version.
"""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import (
    ConfigVersion,
    DataCentre,
    ModelName,
    OrganisationId,
    Region,
    RequestRate,
    RouteName,
    ServiceName,
)


class RouteKind(Enum):
    """How the requests of a route are handled and whether they are retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    ROLLOUT = "rollout"
    """The route takes jobs of a trainer rather than single requests."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in the split of a route's requests."""

    name: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class ServingRoute:
    """Routing rule for requests to a host under a path prefix."""

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    max_attempts: int
    objective_seconds: float | None = None
    """Latency objective; None if the route has none."""
    priority: int = 0
    open: bool = False
    """Whether requests are accepted without an API key."""
    resumable: bool = False
    single_version: bool = False
    """Whether a single weight version must generate each answer."""
    due_seconds: float | None = None
    """Time from a job's submission by which its items are due."""
    item_seconds: float | None = None
    """Time from a job's submission after which an item may be abandoned."""
    residency: tuple[Region, ...] = ()
    """Regions in which alone requests are served; empty if there are none."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Properties that all engines of a service share."""

    slots: int
    """Requests that an engine runs at the same time."""
    models: tuple[ModelName, ...]
    memory_tokens: int = 0
    """Tokens of prompts and texts that an engine holds; 0 if not known."""
    tokens_per_event: int = 0
    """Maximum number of tokens in an event of a text; 0 if not known."""


@dataclass(frozen=True, slots=True)
class RentalBounds:
    """Bounds on the number of rented targets in each data centre."""

    least: int
    most: int
    start_seconds: float
    reclaimable_price: float | None
    """Price of a reclaimable target relative to that of an on-demand one."""
    prices_by_data_centre: dict[DataCentre, float]


@dataclass(frozen=True, slots=True)
class ServedService:
    """A service that routes refer to, and how its targets are scaled."""

    name: ServiceName
    engine: EngineShape | None = None
    rental: RentalBounds | None = None
    cold_seconds: float = 0.0
    """Time after its start for which a target is cold."""
    cold_per_second: RequestRate = RequestRate(0.0)
    """Requests a second that a cold target takes; 0 if there is no limit."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its time-outs."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ServedOrganisation:
    """An organisation and the API keys that its callers present."""

    id: OrganisationId
    keys: tuple[str, ...]
    priority: int | None = None
    residency: tuple[Region, ...] = ()
    """Regions in which alone it is served; empty if there are none."""


@dataclass(frozen=True, slots=True)
class ServingConfig:
    """One complete version of the serving configuration."""

    version: ConfigVersion
    routes: tuple[ServingRoute, ...] = ()
    services: tuple[ServedService, ...] = ()
    limits: CallerLimits = CallerLimits()
    organisations: tuple[ServedOrganisation, ...] = ()
