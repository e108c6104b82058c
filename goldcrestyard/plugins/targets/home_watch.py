"""Marks the targets of lost entries as lost, on the leader only."""

import asyncio

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.states import TargetState
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.targets.commands import RemoveTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.homes import lost_homes

logger = structlog.get_logger(__name__)

SCAN_SECONDS = 2.0


class HomeWatch:
    """Looks at the homes, not at each target, until one is lost."""

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
        """Scan while this member leads."""
        while True:
            await asyncio.sleep(SCAN_SECONDS)
            if self._member.holds_lease():
                for home in self._lost():
                    await self._remove_targets(home)

    def _lost(self) -> list[InstanceId]:
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
            logger.warning("target is lost with its home", target=target_id, home=home)
            await self._member.propose(
                RemoveTarget(
                    target_id, homed.target.incarnation, TargetState.LOST, home
                )
            )
