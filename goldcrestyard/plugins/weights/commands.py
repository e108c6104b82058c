"""Commands and snapshot of the weights slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, WeightVersion
from goldcrestyard.core.records import ModelLine, PublishedWeights


@dataclass(frozen=True, slots=True)
class PutModelLine:
    """Creates a model line or replaces its terms."""

    line: ModelLine


@dataclass(frozen=True, slots=True)
class RemoveModelLine:
    """Removes a model line; its version numbers are never used again."""

    name: ModelName


@dataclass(frozen=True, slots=True)
class PublishWeights:
    """A trainer has published a weight version."""

    model: ModelName
    version: WeightVersion
    location: str
    digest: str


@dataclass(frozen=True, slots=True)
class WeightsSnapshot:
    """The whole slice; versions rise within each model."""

    lines: tuple[ModelLine, ...]
    published: tuple[PublishedWeights, ...]
