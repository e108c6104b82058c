"""Draining of targets that have said in an answer that they leave."""

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.leaving.known import LeavingTargets
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.targets.commands import DrainTarget

logger = structlog.get_logger(__name__)

RETRY_SECONDS = 0.25
"""Pause in seconds before a drain that was not committed is tried again."""


class LeavingDrainer:
    """Drains targets on the leader, as their own heartbeats would.

    A target is not removed on this evidence; it ends by its own word to the
    leader, or by its silence.
    """

    def __init__(self, member: ControlMember, leaving: LeavingTargets) -> None:
        self._member = member
        self._leaving = leaving

    async def run(self) -> None:
        """Drain targets until cancelled."""
        while True:
            self._leaving.changed.clear()
            for target in self._leaving.undrained():
                logger.info(
                    "draining a target by its answers",
                    target=target.id,
                    incarnation=target.incarnation,
                )
                await self._member.propose(DrainTarget(target.id, target.incarnation))
            await wait_at_most(RETRY_SECONDS, self._leaving.changed.wait())
