"""Commands and snapshot of the serving slice."""

from dataclasses import dataclass

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
class ServingSnapshot:
    """Snapshot of the serving configuration; None before the first."""

    config: ServingConfig | None
    source: bytes
