"""Records of the replicated state that several plug-ins read."""

from dataclasses import dataclass

from goldcrestyard.core.ids import (
    DataCentre,
    KeyHash,
    KeyId,
    ModelName,
    OrganisationId,
    Region,
    ServiceName,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.states import Rental, TargetKind, TargetState


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer.  ``share`` is its weight when capacity is short."""

    id: OrganisationId
    share: float = 1.0
    tokens_per_minute: int | None = None


@dataclass(frozen=True, slots=True)
class Key:
    """A caller's key; only the hash of its secret is kept."""

    id: KeyId
    organisation: OrganisationId
    secret_hash: KeyHash


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """A part of a plain service, by path prefix; the longest prefix wins.

    An ``idempotent`` route may be sent again after a failure.  An ``open``
    route needs no key.
    """

    prefix: str
    idempotent: bool = False
    open: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service; no ``organisations`` means that all may call it."""

    name: ServiceName
    routes: tuple[ServiceRoute, ...] = ()
    organisations: tuple[OrganisationId, ...] = ()


@dataclass(frozen=True, slots=True)
class ModelLine:
    """A model whose weights are trained on.

    ``max_versions_behind`` bounds the age of samples: how many published
    versions may be newer than the oldest that took part in a sample.
    """

    name: ModelName
    trainer: OrganisationId | None = None
    organisations: tuple[OrganisationId, ...] = ()
    max_versions_behind: int = 1


@dataclass(frozen=True, slots=True)
class PublishedWeights:
    """A weight version that a trainer has published."""

    model: ModelName
    version: WeightVersion
    location: str
    digest: str


@dataclass(frozen=True, slots=True)
class Target:
    """An engine or a plain service that announced itself."""

    id: TargetId
    kind: TargetKind
    address: str
    data_centre: DataCentre
    region: Region
    serves: tuple[str, ...]
    """Model names of an engine, service names of a plain service."""
    rental: Rental = Rental.ON_DEMAND
    checks_fencing: bool = False
    max_concurrency: int = 16
    state: TargetState = TargetState.READY
    incarnation: str = ""
    """Changes with each start of the target."""
