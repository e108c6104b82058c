"""Choice of a target for each call, by distance, load and past results."""

import random
from collections.abc import Callable, Iterable, Iterator
from collections.abc import Set as AbstractSet
from contextlib import contextmanager

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    Withheld,
)
from goldcrestyard.core.ids import Region, ServiceName, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import (
    CallerLocation,
    CallStatistics,
    choose_target,
    has_free_slot,
    may_be_hedged_to,
    mostly_full,
)
from goldcrestyard.policy.residency import is_allowed
from goldcrestyard.policy.return_times import full_seconds
from goldcrestyard.policy.stream_origins import StreamOrigin


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
        is_limited: Callable[[Target], bool] | None = None,
        is_excluded: Callable[[Target], bool] | None = None,
    ) -> None:
        """Create a router.

        ``is_limited`` tells whether a target names a request limit, and
        ``is_excluded`` whether it gets no more requests, as it leaves or its
        data centre is evacuated; without them none does.
        """
        self._is_excluded = is_excluded
        self._is_limited = is_limited
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
        hedge: bool = False,
        retry: bool = False,
        ask_full: bool = False,
        origin: StreamOrigin | None = None,
        regions: frozenset[Region] | None = None,
    ) -> Target | None:
        """Return a target for the next attempt, or None if there is none.

        Targets in ``tried`` are excluded.  ``with_free_slot`` also excludes
        targets to which this process already sends as many calls as they can
        run concurrently.  A ``hedge`` goes to no target with a request limit,
        where it would take the place of another request, and only to one with
        a free slot and without a recent failure; if most targets are full, to
        none.  A ``retry`` beside an attempt that is silent goes to any target
        without a limit if none fits.  A stream with an ``origin`` goes on only
        at targets that fit it.  ``regions`` are those in which the request may
        be served; None excludes no target.  Targets that have just said that
        they are full are left out, unless ``ask_full`` is set by a caller that
        waits for free slots by itself.
        """
        candidates = self._staying(service, regions)
        now = self._clock.monotonic()
        if hedge and not retry and mostly_full(candidates, self.statistics_by_id, now):
            return None
        if hedge or not ask_full:
            candidates = tuple(filter(self._may_have_room, candidates))
        if origin is not None:
            candidates = tuple(filter(origin.fits, candidates))
        limited = self._limited(candidates)
        if hedge:
            candidates = tuple(
                target for target in candidates if target.id not in limited
            )
            fit = tuple(
                target
                for target in candidates
                if may_be_hedged_to(target, self.statistics_by_id.get(target.id), now)
            )
            if not retry or any(target.id not in tried for target in fit):
                candidates = fit
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
            now,
            self._random,
            limited,
        )

    def has_answered_since(self, target: Target, since: float) -> bool:
        """Return whether a target has answered a call since a time."""
        statistics = self.statistics_by_id.get(target.id)
        return statistics is not None and statistics.answered_at > since

    def full_seconds(
        self, service: ServiceName, regions: frozenset[Region] | None = None
    ) -> float | None:
        """Return the expected time until a target of a service has a slot.

        Returns None unless all its targets have just said that they are full.
        """
        staying = self._staying(service, regions)
        if not staying or any(map(self._may_have_room, staying)):
            return None
        now = self._clock.monotonic()
        return min(self.statistics_by_id[each.id].full_until - now for each in staying)

    def _may_have_room(self, target: Target) -> bool:
        statistics = self.statistics_by_id.get(target.id)
        return (
            statistics is None
            or statistics.incarnation != target.incarnation
            or self._clock.monotonic() >= statistics.full_until
        )

    def note_silence(self, target: Target, since: float) -> None:
        """Record that a call was given up which a target got at a time.

        It counts only if the target has answered no other call since.
        """
        if not self.has_answered_since(target, since):
            self._statistics(target).record_silence(self._clock.monotonic())

    def withheld_seconds(
        self, service: ServiceName, regions: frozenset[Region] | None = None
    ) -> float | None:
        """Return the time until a request limit of a service allows a call.

        Returns None if no target of the service has used up its limit.
        """
        now = self._clock.monotonic()
        candidates = self._staying(service, regions)
        limited = self._limited(candidates)
        return min(
            (
                statistics.withheld_until - now
                for target in candidates
                if target.id in limited
                and (statistics := self.statistics_by_id.get(target.id)) is not None
                and now < statistics.withheld_until
            ),
            default=None,
        )

    def all_leaving(
        self, service: ServiceName, regions: frozenset[Region] | None = None
    ) -> bool:
        """Return whether all ready targets leave or are evacuated."""
        return self.any_ready(service, regions) and not self._staying(service, regions)

    def any_ready(
        self, service: ServiceName, regions: frozenset[Region] | None = None
    ) -> bool:
        """Return whether a service has a ready target in the regions."""
        return any(
            is_allowed(target.region, regions)
            for target in self._targets.serving(service)
        )

    def software_changed(self, target: Target) -> bool:
        """Return whether another run of a target has other software.

        A request that names the target's id may have reached either run.
        """
        present = self._targets.find(target.id)
        return (
            present is not None
            and present.incarnation != target.incarnation
            and present.software != target.software
        )

    def _staying(
        self, service: ServiceName, regions: frozenset[Region] | None
    ) -> tuple[Target, ...]:
        """Return the ready targets that neither leave nor are evacuated."""
        serving = self._targets.serving(service)
        if regions is not None:
            serving = tuple(target for target in serving if target.region in regions)
        if self._is_excluded is None:
            return serving
        return tuple(target for target in serving if not self._is_excluded(target))

    def _limited(self, targets: Iterable[Target]) -> frozenset[TargetId]:
        if self._is_limited is None:
            return frozenset()
        return frozenset(target.id for target in targets if self._is_limited(target))

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
            case Withheld(retry_after_seconds=seconds):
                until = self._clock.monotonic() + seconds
                self._statistics(target).withheld_until = until
            case TurnedAway(status=503):
                statistics = self._statistics(target)
                now = self._clock.monotonic()
                statistics.full_until = now + full_seconds(target, statistics)
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
