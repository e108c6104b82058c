"""Commands and snapshot of the serving slice."""

from dataclasses import dataclass

from goldcrestyard.core.serving import ServingConfig


@dataclass(frozen=True, slots=True)
class PutServing:
    """A whole configuration; it takes effect if its version is higher.

    ``source`` is the operator's document, compressed, to be read back.
    """

    config: ServingConfig
    source: bytes


@dataclass(frozen=True, slots=True)
class ServingSnapshot:
    """The whole slice."""

    config: ServingConfig | None
    source: bytes
