"""Monitor of the homes of targets, active on the leader only.

If an entry has been without a lease for too long, the targets whose home it
is are removed as lost, unless they have announced themselves elsewhere.
"""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.states import TargetState
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.targets.commands import RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.homes import lost_homes

logger = structlog.get_logger(__name__)

SCAN_INTERVAL_SECONDS = 2.0


class HomeMonitor:
    """Scans the homes, and goes through the targets of lost homes only."""

    def __init__(
        self,
        member: ControlMember,
        sessions: EntrySessions,
        clock: Clock,
        lease_seconds: float,
        lost_seconds: float,
    ) -> None:
        self._member = member
        self._sessions = sessions
        self._targets = member.machine.get(TargetsSlice)
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._lost_seconds = lost_seconds

    async def run(self) -> None:
        """Scan at each interval while this member holds the leader lease."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_SECONDS)
            if self._member.holds_lease():
                for home in self._lost_homes():
                    await self._remove_targets(home)

    def _lost_homes(self) -> list[InstanceId]:
        return lost_homes(
            self._targets.ids_by_home,
            self._sessions.leases_by_entry,
            self._clock.monotonic(),
            self._member.leadership_started_at,
            self._lease_seconds,
            self._lost_seconds,
        )

    async def _remove_targets(self, home: InstanceId) -> None:
        for target_id in sorted(self._targets.ids_by_home.get(home, ())):
            homed = self._targets.homed_by_id.get(target_id)
            if homed is None or homed.home != home:
                continue
            logger.warning(
                "home entry lost, removing its target", target=target_id, home=home
            )
            await self._member.propose(
                RemoveTarget(
                    target_id, homed.target.incarnation, TargetState.LOST, home
                )
            )
