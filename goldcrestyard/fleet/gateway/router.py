"""Choice of a target for each call, by distance, load and past results."""

import random
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from contextlib import contextmanager

from goldcrestyard.core.attempts import AttemptFailure, Broken, TurnedAway, Unreached
from goldcrestyard.core.ids import ServiceName, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import (
    CallerLocation,
    CallStatistics,
    choose_target,
    has_free_slot,
)


class CallRouter:
    """Chooses targets for calls and records how each target performs.

    Latency, calls in flight and failures are recorded by this process alone
    and for one incarnation of a target.
    """

    def __init__(
        self,
        targets: TargetsSlice,
        location: CallerLocation,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        self._targets = targets
        self._location = location
        self._clock = clock
        self._random = random_source or random.Random()
        self.statistics_by_id: dict[TargetId, CallStatistics] = {}

    def choose(
        self,
        service: ServiceName,
        tried: AbstractSet[TargetId],
        *,
        with_free_slot: bool = False,
    ) -> Target | None:
        """Return a target for the next attempt, or None if there is none.

        Targets in ``tried`` are excluded.  ``with_free_slot`` also excludes
        targets to which this process already sends as many calls as they can
        run concurrently.
        """
        candidates = self._targets.serving(service)
        if with_free_slot:
            candidates = tuple(
                target
                for target in candidates
                if has_free_slot(target, self.statistics_by_id.get(target.id))
            )
        return choose_target(
            candidates,
            self.statistics_by_id,
            self._location,
            tried,
            self._clock.monotonic(),
            self._random,
        )

    @contextmanager
    def call_in_flight(self, target: Target) -> Iterator[CallStatistics]:
        """Count a call as in flight for the duration of the block."""
        statistics = self.begin_call(target)
        try:
            yield statistics
        finally:
            statistics.in_flight -= 1

    def begin_call(self, target: Target) -> CallStatistics:
        """Count a call as in flight; the caller decrements ``in_flight``."""
        statistics = self._statistics(target)
        statistics.in_flight += 1
        return statistics

    def note_failure(self, target: Target, failure: AttemptFailure) -> None:
        """Avoid a failed target for a time, unless it merely had no slot."""
        match failure:
            case Unreached() | Broken():
                self._statistics(target).record_failure(self._clock.monotonic())
            case TurnedAway():
                pass

    def _statistics(self, target: Target) -> CallStatistics:
        statistics = self.statistics_by_id.get(target.id)
        if statistics is None or statistics.incarnation != target.incarnation:
            self._discard_removed_targets()
            statistics = self.statistics_by_id[target.id] = CallStatistics(
                target.incarnation
            )
        return statistics

    def _discard_removed_targets(self) -> None:
        for target_id in (
            self.statistics_by_id.keys() - self._targets.homed_by_id.keys()
        ):
            if self.statistics_by_id[target_id].in_flight == 0:
                del self.statistics_by_id[target_id]
