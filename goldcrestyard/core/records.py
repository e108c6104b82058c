"""Records of the replicated state that several plug-ins read.

They describe the organisations and their API keys, the services and model
lines that operators declare, and the targets that announce themselves.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import (
    DataCentre,
    KeyHash,
    KeyId,
    ModelName,
    OrganisationId,
    Region,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.states import Rental, TargetKind, TargetState


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer.

    ``share`` is its weight in fair queueing when capacity is short.  None in
    ``tokens_per_minute`` means no limit.
    """

    id: OrganisationId
    share: float = 1.0
    tokens_per_minute: int | None = None


@dataclass(frozen=True, slots=True)
class Key:
    """An API key of a caller; only the hash of its secret is stored."""

    id: KeyId
    organisation: OrganisationId
    secret_hash: KeyHash


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Rules for the requests to a service under a path prefix.

    The longest matching prefix applies.  Requests of an ``idempotent`` route
    may be sent again after a failure; those of an ``open`` route need no
    API key.
    """

    prefix: str
    idempotent: bool = False
    open: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """An HTTP service other than model inference.

    Empty ``organisations`` means that all may call it.
    """

    name: ServiceName
    routes: tuple[ServiceRoute, ...] = ()
    organisations: tuple[OrganisationId, ...] = ()


@dataclass(frozen=True, slots=True)
class ModelLine:
    """A model whose training continues, with successive weight versions.

    ``max_versions_behind`` bounds the staleness of training samples: how
    many published versions may be newer than the oldest version that
    generated a part of a sample.
    """

    name: ModelName
    trainer: OrganisationId | None = None
    organisations: tuple[OrganisationId, ...] = ()
    max_versions_behind: int = 1


@dataclass(frozen=True, slots=True)
class PublishedWeights:
    """A weight version that a trainer has published, and where to get it."""

    model: ModelName
    version: WeightVersion
    location: str
    digest: str


@dataclass(frozen=True, slots=True)
class Target:
    """A back end, engine or service, that announced itself to an entry."""

    id: TargetId
    kind: TargetKind
    address: str
    data_centre: DataCentre
    region: Region
    serves: tuple[str, ...]
    """Model names if the target is an engine, else service names."""
    rental: Rental = Rental.ON_DEMAND
    checks_fencing: bool = False
    max_concurrency: int = 16
    state: TargetState = TargetState.READY
    incarnation: str = ""
    """Changes with each start of the target."""
    software: SoftwareVersion = SoftwareVersion("")
    """Software that this run of the target has; another run may have other."""
