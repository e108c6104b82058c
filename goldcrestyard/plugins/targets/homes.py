"""The targets whose renewals this entry tracks."""

import asyncio
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


@dataclass(slots=True)
class Renewal:
    """When a target of this home last renewed."""

    incarnation: str
    at: float


class TargetHome:
    """Tracks renewals and reports targets that stop renewing."""

    def __init__(self, link: LeaderLink, clock: Clock, lost_seconds: float) -> None:
        self._link = link
        self._clock = clock
        self._lost_seconds = lost_seconds
        self._renewals_by_id: dict[TargetId, Renewal] = {}

    def adopt(self, target_id: TargetId, incarnation: str) -> None:
        """Start to track a target that has announced itself here."""
        self._renewals_by_id[target_id] = Renewal(incarnation, self._clock.monotonic())

    def renew(self, target_id: TargetId, incarnation: str) -> bool:
        """Note a renewal; return False if the target must announce again."""
        renewal = self._renewals_by_id.get(target_id)
        if renewal is None or renewal.incarnation != incarnation:
            return False
        renewal.at = self._clock.monotonic()
        return True

    def forget(self, target_id: TargetId) -> None:
        """Stop tracking a target that has left."""
        self._renewals_by_id.pop(target_id, None)

    async def run(self, instance: InstanceId, targets: TargetsSlice) -> None:
        """Report each target of this home that no longer renews."""
        while True:
            await asyncio.sleep(SCAN_SECONDS)
            silent_since = self._clock.monotonic() - self._lost_seconds
            for target_id, renewal in list(self._renewals_by_id.items()):
                if renewal.at >= silent_since:
                    continue
                homed = targets.homed_by_id.get(target_id)
                if homed is not None and homed.home != instance:
                    # It renews at another home, for instance since this one
                    # accepts no more connections.
                    self.forget(target_id)
                    continue
                await self._report_lost(target_id, renewal)

    async def _report_lost(self, target_id: TargetId, renewal: Renewal) -> None:
        logger.warning("target is lost", target=target_id)
        result = await self._link.propose(
            RemoveTarget(target_id, renewal.incarnation, TargetState.LOST)
        )
        # Anything but a commit is reported again at the next scan; the
        # incarnation makes a second removal harmless.
        if isinstance(result, Applied):
            self._renewals_by_id.pop(target_id, None)
