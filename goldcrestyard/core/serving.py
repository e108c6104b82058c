"""What is served to whom: routes, services, organisations and limits."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import (
    ConfigVersion,
    DataCentre,
    ModelName,
    OrganisationId,
    RouteName,
    ServiceName,
)


class RouteKind(Enum):
    """What may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    ROLLOUT = "rollout"
    """Takes jobs of a trainer rather than single requests."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    name: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class ServingRoute:
    """Requests to a host under a path prefix."""

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    max_attempts: int
    objective_seconds: float | None = None
    """Answers later than this are worth less."""
    priority: int = 0
    open: bool = False
    """Whether requests need no key."""
    resumable: bool = False
    single_version: bool = False
    """Whether one weight version must generate a whole answer."""
    due_seconds: float | None = None
    """When the items of a job are due, from its submission."""
    item_seconds: float | None = None
    """When an item may be given up, from the submission of its job."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineShape:
    """What all engines of a service have in common."""

    slots: int
    models: tuple[ModelName, ...]


@dataclass(frozen=True, slots=True)
class RentalBounds:
    """How many targets of a service may be rented in each data centre."""

    least: int
    most: int
    start_seconds: float
    reclaimable_price: float | None
    """Price of a target that may be reclaimed, against one that may not."""
    prices_by_data_centre: dict[DataCentre, float]


@dataclass(frozen=True, slots=True)
class ServedService:
    """A service to which routes lead."""

    name: ServiceName
    engine: EngineShape | None = None
    rental: RentalBounds | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ServedOrganisation:
    """An organisation and the keys that its callers present."""

    id: OrganisationId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ServingConfig:
    """One whole version of the configuration."""

    version: ConfigVersion
    routes: tuple[ServingRoute, ...] = ()
    services: tuple[ServedService, ...] = ()
    limits: CallerLimits = CallerLimits()
    organisations: tuple[ServedOrganisation, ...] = ()
