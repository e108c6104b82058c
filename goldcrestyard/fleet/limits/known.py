"""The request limits that targets have named in their answers."""

from dataclasses import dataclass

import structlog

from goldcrestyard.core.ids import RequestRate, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.clock import Clock

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit in the latest answer of one run of a target."""

    incarnation: str
    rate: RequestRate | None
    """None if the answer named no limit any more."""
    named_at: float
    """Monotonic time of the answer in seconds."""


class KnownLimits:
    """What this process knows of the targets' request limits."""

    def __init__(self, metrics: FleetMetrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._named_by_target: dict[TargetId, NamedLimit] = {}

    def observe(self, target: Target, rate: RequestRate | None) -> None:
        """Record the limit in an answer that has just arrived, or its lack."""
        self._metrics.target_answers.labels("no" if rate is None else "yes").inc()
        known = self.rate(target)
        if rate is not None and rate != known:
            logger.info(
                "target named a request limit",
                target=target.id,
                incarnation=target.incarnation,
                requests_per_second=rate,
            )
        if rate is None and known is not None:
            logger.info(
                "target names no request limit any more",
                target=target.id,
                incarnation=target.incarnation,
            )
        if rate is None:
            self._named_by_target.pop(target.id, None)
        else:
            self._named_by_target[target.id] = NamedLimit(
                target.incarnation, rate, self._clock.monotonic()
            )
        self._metrics.limited_targets.set(len(self._named_by_target))

    def rate(self, target: Target) -> RequestRate | None:
        """Return a target's limit; None if it has named none."""
        named = self._named_by_target.get(target.id)
        if named is None or named.incarnation != target.incarnation:
            return None
        return named.rate
