"""Tracking of the targets whose home is this entry.

The home receives a target's renewals with its load, and reports the target as
lost when the renewals stop.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import structlog

from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.core.states import TargetState
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.targets.commands import RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice

logger = structlog.get_logger(__name__)

SCAN_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Load:
    """Load that a target reported, with the time of its measurement."""

    queue_length: int
    running_tokens: int
    cache_use: float
    measured_at: float
    """Monotonic time on this entry's clock."""
    running_requests: int = 0
    resumable_requests: int = 0
    """Running and waiting requests that can continue elsewhere if the target
    is lost."""


@dataclass(slots=True)
class TrackedTarget:
    """Time of a target's last renewal, and the last load it reported."""

    incarnation: str
    renewed_at: float
    load: Load | None = None


class TargetHome:
    """Tracks the renewals of targets and reports those that stop renewing."""

    def __init__(
        self,
        instance: InstanceId,
        link: LeaderLink,
        clock: Clock,
        lost_seconds: float,
    ) -> None:
        self._instance = instance
        self._link = link
        self._clock = clock
        self._lost_seconds = lost_seconds
        self._tracked_by_id: dict[TargetId, TrackedTarget] = {}

    def track(self, target_id: TargetId, incarnation: str) -> None:
        """Start tracking a run of a target that has announced itself here."""
        self._tracked_by_id[target_id] = TrackedTarget(
            incarnation, self._clock.monotonic()
        )

    def renew(
        self, target_id: TargetId, incarnation: str, load: Load | None = None
    ) -> bool:
        """Record a renewal, with its load unless a newer one is known.

        Returns False if this run is not tracked and the target has to
        announce itself again.
        """
        tracked = self._tracked_by_id.get(target_id)
        if tracked is None or tracked.incarnation != incarnation:
            return False
        tracked.renewed_at = self._clock.monotonic()
        if load is not None and (
            tracked.load is None or load.measured_at >= tracked.load.measured_at
        ):
            tracked.load = load
        return True

    def loads_by_id(self) -> dict[TargetId, Load]:
        """Return the last loads of the targets that have reported one."""
        return {
            target_id: tracked.load
            for target_id, tracked in self._tracked_by_id.items()
            if tracked.load is not None
        }

    def loads(self) -> Iterator[tuple[Load, float]]:
        """Yield the last load of each target and its age in seconds."""
        now = self._clock.monotonic()
        for tracked in self._tracked_by_id.values():
            if tracked.load is not None:
                yield tracked.load, now - tracked.load.measured_at

    def untrack(self, target_id: TargetId) -> None:
        """Stop tracking a target that has left or changed its home."""
        self._tracked_by_id.pop(target_id, None)

    async def run(self, targets: TargetsSlice) -> None:
        """Scan for targets that stopped renewing and report them as lost."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_SECONDS)
            silent_since = self._clock.monotonic() - self._lost_seconds
            for target_id, tracked in list(self._tracked_by_id.items()):
                if tracked.renewed_at >= silent_since:
                    continue
                homed = targets.homed_by_id.get(target_id)
                if homed is not None and homed.home != self._instance:
                    # The target renews at another home, for instance because
                    # this one accepts no more connections.
                    self.untrack(target_id)
                    continue
                await self._report_lost(target_id, tracked)

    async def _report_lost(self, target_id: TargetId, tracked: TrackedTarget) -> None:
        logger.warning(
            "target stopped renewing, reporting it as lost", target=target_id
        )
        result = await self._link.propose(
            RemoveTarget(
                target_id, tracked.incarnation, TargetState.LOST, self._instance
            )
        )
        # Without a commit the target is reported again at the next scan; the
        # incarnation makes a second removal harmless.  A target that has
        # announced itself again in the meantime stays tracked.
        if (
            isinstance(result, Applied)
            and self._tracked_by_id.get(target_id) is tracked
        ):
            del self._tracked_by_id[target_id]
