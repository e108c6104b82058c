"""How many requests of this entry each target is serving."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from goldcrestyard.core.ids import TargetId


class InFlight:
    """Counts the requests that this entry has sent and not yet finished."""

    def __init__(self) -> None:
        self.by_target: Counter[TargetId] = Counter()
        self._retry_observers: list[Callable[[], None]] = []

    def observe_retries(self, observer: Callable[[], None]) -> None:
        """Call a function whenever a request is sent to a further target."""
        self._retry_observers.append(observer)

    def note_retry(self) -> None:
        """Tell the observers that a request is sent to a further target."""
        for observer in self._retry_observers:
            observer()

    @contextmanager
    def hold(self, target_id: TargetId) -> Iterator[None]:
        """Count a request while the block runs."""
        self.by_target[target_id] += 1
        try:
            yield
        finally:
            self.by_target[target_id] -= 1
            if not self.by_target[target_id]:
                del self.by_target[target_id]
