"""Commands and snapshot of the weights slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, WeightVersion
from goldcrestyard.core.records import ModelLine, PublishedWeights


@dataclass(frozen=True, slots=True)
class PutModelLine:
    """Creates a model line or replaces its declaration."""

    line: ModelLine


@dataclass(frozen=True, slots=True)
class RemoveModelLine:
    """Removes a model line; its version numbers are never reused."""

    name: ModelName


@dataclass(frozen=True, slots=True)
class PublishWeights:
    """Records a weight version that a trainer has published."""

    model: ModelName
    version: WeightVersion
    location: str
    digest: str


@dataclass(frozen=True, slots=True)
class WeightsSnapshot:
    """Snapshot of the weights slice; each model's versions are ascending."""

    lines: tuple[ModelLine, ...]
    published: tuple[PublishedWeights, ...]
