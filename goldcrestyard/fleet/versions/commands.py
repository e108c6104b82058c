"""Commands and snapshot of the versions slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, WeightVersion


@dataclass(frozen=True, slots=True)
class NameVersion:
    """Records the version of a model's new weights, announced by a trainer."""

    model: ModelName
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class VersionsSnapshot:
    """Snapshot of the newest version of each model."""

    newest_by_model: dict[ModelName, WeightVersion]
