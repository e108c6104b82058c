"""Work of the job runner, as the version loader needs to know it."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, ServiceName, TargetId, WeightVersion

LATEST_RUN_WEIGHT = 0.1
"""Weight of the latest run in a model's mean duration of runs."""


@dataclass(frozen=True, slots=True)
class WaitingItems:
    """Items of a model that no engine could start."""

    count: int = 0
    oldest_version: WeightVersion = WeightVersion(0)
    """Oldest version that all of them allow."""


class JobWork:
    """Waiting and running items; the runner writes it, the loader reads it."""

    def __init__(self) -> None:
        self._waiting_by_pool: dict[
            tuple[ServiceName, ModelName], Counter[WeightVersion]
        ] = {}
        self._running_by_target: Mapping[TargetId, int] = {}
        self._mean_seconds_by_model: dict[ModelName, float] = {}

    def waiting(
        self, service: ServiceName, model: ModelName, newest: WeightVersion
    ) -> WaitingItems:
        """Return the waiting items that a version of a model may generate."""
        counts = {
            oldest: count
            for oldest, count in self._waiting_by_pool.get(
                (service, model), Counter()
            ).items()
            if oldest <= newest
        }
        if not counts:
            return WaitingItems()
        return WaitingItems(sum(counts.values()), max(counts))

    def running(self, target_id: TargetId) -> int:
        """Return the number of items that run on an engine."""
        return self._running_by_target.get(target_id, 0)

    def mean_seconds(self, model: ModelName) -> float | None:
        """Return the mean duration of a run, or None if none has ended."""
        return self._mean_seconds_by_model.get(model)

    def record_pass(
        self,
        waiting: Iterable[tuple[ServiceName, ModelName, WeightVersion]],
        running_by_target: Counter[TargetId],
    ) -> None:
        """Record the state after a scheduling pass.

        ``waiting`` holds the service, the model and the oldest allowed version
        of each item that could not be started.
        """
        self._waiting_by_pool = {}
        for service, model, version in waiting:
            counts = self._waiting_by_pool.setdefault((service, model), Counter())
            counts[version] += 1
        self._running_by_target = running_by_target

    def record_run(self, model: ModelName, seconds: float) -> None:
        """Record the duration of a run that generated an item's whole text."""
        mean = self._mean_seconds_by_model.get(model, seconds)
        self._mean_seconds_by_model[model] = mean + LATEST_RUN_WEIGHT * (seconds - mean)
