"""Closes windows that have passed, on the leader only."""

import asyncio

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.orders.commands import Receiver
from goldcrestyard.plugins.usage.commands import CloseWindow
from goldcrestyard.plugins.usage.settings import UsageSettings
from goldcrestyard.plugins.usage.slices import UsageSlice
from goldcrestyard.policy import usage_windows

POLL_SECONDS = 0.5


class WindowCloser:
    """Proposes the closing of windows; the log decides."""

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
        """Close what is due while this member leads."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if self._member.holds_lease():
                await self.close_due()

    async def close_due(self) -> None:
        """Close the windows that have passed, if any has."""
        window = usage_windows.window_to_close(
            self._clock.wall(),
            self._usage.last_closed,
            self._settings.window_seconds,
            self._settings.grace_seconds,
        )
        if window is None:
            return
        # A closing in doubt is proposed again at the next poll; the second
        # one of a window changes nothing.
        await self._member.propose(CloseWindow(window, self._receiver))
