"""Closing of usage windows after their grace period, on the leader only."""

import asyncio

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.orders.commands import Receiver
from goldcrestyard.plugins.usage.commands import CloseWindow
from goldcrestyard.plugins.usage.settings import UsageSettings
from goldcrestyard.plugins.usage.slices import UsageSlice
from goldcrestyard.policy import usage_windows

POLL_INTERVAL_SECONDS = 0.5


class WindowCloser:
    """Proposes to close windows; the slice decides when it is applied."""

    def __init__(
        self,
        member: ControlMember,
        clock: Clock,
        settings: UsageSettings,
        receiver: Receiver,
    ) -> None:
        self._member = member
        self._usage = member.machine.get(UsageSlice)
        self._clock = clock
        self._settings = settings
        self._receiver = receiver

    async def run(self) -> None:
        """Close ended windows while this member holds the leader lease."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if self._member.holds_lease():
                await self.close_ended_windows()

    async def close_ended_windows(self) -> None:
        """Propose to close all windows whose grace period is over, if any."""
        window = usage_windows.window_to_close(
            self._clock.wall(),
            self._usage.last_closed,
            self._settings.window_seconds,
            self._settings.grace_seconds,
        )
        if window is None:
            return
        # A proposal in doubt is repeated at the next poll; closing a window
        # twice has no effect.
        await self._member.propose(CloseWindow(window, self._receiver))
