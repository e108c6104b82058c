"""Commands and snapshot of the serving slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import KeyHash, OrganisationId
from goldcrestyard.core.serving import ServingConfig


@dataclass(frozen=True, slots=True)
class PutServing:
    """Replaces the serving configuration if the new version is higher.

    ``source`` is the operator's document, compressed; operators can read it
    back.
    """

    config: ServingConfig
    source: bytes


@dataclass(frozen=True, slots=True)
class MovedRoute:
    """A route that last led to other services at a Unix time in seconds."""

    host: str
    prefix: str
    at: float


@dataclass(frozen=True, slots=True)
class FormerKey:
    """A key that its organisation held until a Unix time in seconds."""

    key_hash: KeyHash
    organisation: OrganisationId
    at: float


@dataclass(frozen=True, slots=True)
class ServingSnapshot:
    """Snapshot of the serving configuration; None before the first."""

    config: ServingConfig | None
    source: bytes
    moved: tuple[MovedRoute, ...] = ()
    moves_known_since: float | None = None
    """Unix time since which moves of routes are recorded; None in the snapshot
    of a release that does not record them."""
    former_keys: tuple[FormerKey, ...] = ()
