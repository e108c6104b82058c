"""Work of the job runner, as the version loader needs to know it."""

from collections import Counter
from collections.abc import Iterable, Mapping

from goldcrestyard.core.ids import (
    ModelName,
    Region,
    ServiceName,
    TargetId,
    WeightVersion,
)
from goldcrestyard.policy.job_schedule import WaitingItem
from goldcrestyard.policy.version_loads import WaitingItems

LATEST_RUN_WEIGHT = 0.1
"""Weight of the latest run in a model's mean duration of runs."""


Pool = tuple[ServiceName, ModelName]
"""Items that the same engines may run, apart from their regions."""

Regions = frozenset[Region] | None


class JobWork:
    """Waiting and running items; the runner writes it, the loader reads it."""

    def __init__(self) -> None:
        self._waiting_by_pool: dict[Pool, dict[Regions, Counter[WeightVersion]]] = {}
        self._running_by_target: Mapping[TargetId, int] = {}
        self._mean_seconds_by_model: dict[ModelName, float] = {}

    def waiting(
        self, service: ServiceName, model: ModelName, newest: WeightVersion
    ) -> tuple[WaitingItems, ...]:
        """Return the waiting items that a version of a model may generate.

        There is one entry for each set of regions that they allow.
        """
        found: list[WaitingItems] = []
        by_regions = self._waiting_by_pool.get((service, model), {})
        for regions, counts_by_oldest in by_regions.items():
            counts = {v: n for v, n in counts_by_oldest.items() if v <= newest}
            if counts:
                found.append(WaitingItems(sum(counts.values()), max(counts), regions))
        return tuple(found)

    def running(self, target_id: TargetId) -> int:
        """Return the number of items that run on an engine."""
        return self._running_by_target.get(target_id, 0)

    def mean_seconds(self, model: ModelName) -> float | None:
        """Return the mean duration of a run, or None if none has ended."""
        return self._mean_seconds_by_model.get(model)

    def record_pass(
        self, waiting: Iterable[WaitingItem], running_by_target: Counter[TargetId]
    ) -> None:
        """Record the items that a scheduling pass could not start."""
        self._waiting_by_pool = {}
        for item in waiting:
            pool = self._waiting_by_pool.setdefault((item.service, item.model), {})
            pool.setdefault(item.regions, Counter())[item.oldest_version] += 1
        self._running_by_target = running_by_target

    def record_run(self, model: ModelName, seconds: float) -> None:
        """Record the duration of a run that generated an item's whole text."""
        mean = self._mean_seconds_by_model.get(model, seconds)
        self._mean_seconds_by_model[model] = mean + LATEST_RUN_WEIGHT * (seconds - mean)
