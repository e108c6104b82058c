"""Commands and snapshot of the versions slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, WeightVersion


@dataclass(frozen=True, slots=True)
class NameVersion:
    """A trainer has new weights for a model."""

    model: ModelName
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class VersionsSnapshot:
    """The whole slice."""

    newest_by_model: dict[ModelName, WeightVersion]
