"""The targets whose renewals this entry tracks."""

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

SCAN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Load:
    """What a target says of its load, and when it measured that."""

    queue_length: int
    running_tokens: int
    cache_use: float
    measured_at: float
    """On this entry's clock."""
    running_requests: int = 0
    resumable_requests: int = 0
    """Of those that run or wait, how many survive the loss of the target."""


@dataclass(slots=True)
class Renewal:
    """When a target of this home last renewed, and its last load."""

    incarnation: str
    at: float
    load: Load | None = None


class TargetHome:
    """Tracks renewals and reports targets that stop renewing."""

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
        self._renewals_by_id: dict[TargetId, Renewal] = {}

    def adopt(self, target_id: TargetId, incarnation: str) -> None:
        """Start to track a target that has announced itself here."""
        self._renewals_by_id[target_id] = Renewal(incarnation, self._clock.monotonic())

    def renew(
        self, target_id: TargetId, incarnation: str, load: Load | None = None
    ) -> bool:
        """Note a renewal; return False if the target must announce again."""
        renewal = self._renewals_by_id.get(target_id)
        if renewal is None or renewal.incarnation != incarnation:
            return False
        renewal.at = self._clock.monotonic()
        if load is not None and (
            renewal.load is None or load.measured_at >= renewal.load.measured_at
        ):
            renewal.load = load
        return True

    def loads_by_id(self) -> dict[TargetId, Load]:
        """Return the last load of each target of this home that told one."""
        return {
            target_id: renewal.load
            for target_id, renewal in self._renewals_by_id.items()
            if renewal.load is not None
        }

    def loads(self) -> Iterator[tuple[Load, float]]:
        """Yield the last loads of the targets of this home with their age."""
        now = self._clock.monotonic()
        for renewal in self._renewals_by_id.values():
            if renewal.load is not None:
                yield renewal.load, now - renewal.load.measured_at

    def forget(self, target_id: TargetId) -> None:
        """Stop tracking a target that has left."""
        self._renewals_by_id.pop(target_id, None)

    async def run(self, targets: TargetsSlice) -> None:
        """Report each target of this home that no longer renews."""
        while True:
            await asyncio.sleep(SCAN_SECONDS)
            silent_since = self._clock.monotonic() - self._lost_seconds
            for target_id, renewal in list(self._renewals_by_id.items()):
                if renewal.at >= silent_since:
                    continue
                homed = targets.homed_by_id.get(target_id)
                if homed is not None and homed.home != self._instance:
                    # It renews at another home, for instance since this one
                    # accepts no more connections.
                    self.forget(target_id)
                    continue
                await self._report_lost(target_id, renewal)

    async def _report_lost(self, target_id: TargetId, renewal: Renewal) -> None:
        logger.warning("target is lost", target=target_id)
        result = await self._link.propose(
            RemoveTarget(
                target_id, renewal.incarnation, TargetState.LOST, self._instance
            )
        )
        # Anything but a commit is reported again at the next scan; the
        # incarnation makes a second removal harmless.  A target that has
        # announced itself again in the meantime is kept.
        if (
            isinstance(result, Applied)
            and self._renewals_by_id.get(target_id) is renewal
        ):
            del self._renewals_by_id[target_id]
