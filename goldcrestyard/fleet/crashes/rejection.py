"""The leader's part: commits which requests are suspected and rejected."""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.fleet.crashes.commands import RejectRequest
from goldcrestyard.fleet.crashes.suspects import Suspects

logger = structlog.get_logger(__name__)

RETRY_SECONDS = 0.2
"""Delay in seconds before a command that was not committed is proposed
again."""


class RequestRejection:
    """Proposes suspicions and rejections as soon as the crashes suffice."""

    def __init__(self, member: ControlMember, suspects: Suspects) -> None:
        self._member = member
        self._suspects = suspects
        self._crash_noted = asyncio.Event()
        suspects.listen(self._crash_noted.set)

    async def run(self) -> None:
        """Propose commands until cancelled."""
        while True:
            self._crash_noted.clear()
            for command in self._suspects.to_commit():
                result = await self._member.propose(command)
                if not isinstance(result, Applied):
                    self._crash_noted.set()
                    await asyncio.sleep(RETRY_SECONDS)
                elif isinstance(command, RejectRequest):
                    logger.warning(
                        "request is rejected from now on: targets crash under it",
                        digest=command.request.hex(),
                        targets=[run.target for run in command.runs],
                    )
            await self._crash_noted.wait()
