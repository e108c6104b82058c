"""The targets that get no new requests, though they are ready."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice


class TargetExclusions:
    """Tells which targets get no new requests, and counts running ones."""

    def __init__(
        self, evacuations: EvacuationsSlice, is_leaving: Callable[[Target], bool]
    ) -> None:
        self._evacuations = evacuations
        self._is_leaving = is_leaving
        self._running_by_data_centre: Counter[DataCentre] = Counter()

    def includes(self, target: Target) -> bool:
        """Return whether a target leaves or its data centre is evacuated."""
        return self.is_evacuated(target) or self._is_leaving(target)

    def is_evacuated(self, target: Target) -> bool:
        """Return whether the data centre of a target is evacuated."""
        return target.data_centre in self._evacuations.evacuated

    @contextmanager
    def running(self, target: Target) -> Iterator[None]:
        """Count a request to a target as running during the block."""
        self._running_by_data_centre[target.data_centre] += 1
        try:
            yield
        finally:
            self._running_by_data_centre[target.data_centre] -= 1

    def running_by_data_centre(self) -> dict[DataCentre, int]:
        """Return this process's requests in evacuated data centres."""
        return {
            data_centre: count
            for data_centre in self._evacuations.evacuated
            if (count := self._running_by_data_centre[data_centre]) > 0
        }

    def count_running(self) -> int:
        """Return the number of this process's requests there."""
        return sum(self.running_by_data_centre().values())

    def count_evacuated(self) -> int:
        """Return the number of evacuated data centres."""
        return len(self._evacuations.evacuated)
