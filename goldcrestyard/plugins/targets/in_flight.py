"""How many requests of this entry each target is serving."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from goldcrestyard.core.ids import TargetId


class InFlight:
    """Counts the requests that this entry has sent and not yet finished."""

    def __init__(self) -> None:
        self.by_target: Counter[TargetId] = Counter()

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
