"""Closing and reporting of usage windows by the leader.

Closing a window commits its counts, so that every leader reports the same
figures for it, however often a report has to be repeated.
"""

import asyncio
from enum import Enum
from typing import Protocol

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.fleet.duties import Permit, permit_of
from goldcrestyard.fleet.metering.commands import (
    CloseUsage,
    UsageReported,
    WindowCounts,
)
from goldcrestyard.fleet.metering.meter import UsageMerger
from goldcrestyard.fleet.metering.slices import MeteringSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.usage_numbers import next_to_close

logger = structlog.get_logger(__name__)

WINDOW_CHECK_INTERVAL_SECONDS = 0.25
REPORT_RETRY_SECONDS = 0.5


class ReportOutcome(Enum):
    """Result of sending a usage report."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The report was rejected and is not repeated."""
    UNKNOWN = "unknown"
    """The report may or may not have arrived; the same counts are resent."""


class UsageApi(Protocol):
    """Client of the platform's usage interface, provided by its adapter."""

    async def report(self, counts: WindowCounts, permit: Permit) -> ReportOutcome:
        """Send the counts of a window once, if the permit still holds."""
        ...


class UsageReporter:
    """Closes and reports usage windows in order while this member leads."""

    def __init__(
        self,
        member: ControlMember,
        merger: UsageMerger,
        api: UsageApi,
        window_seconds: float,
        quiet_seconds: float,
        clock: Clock,
    ) -> None:
        self._member = member
        self._slice = member.machine.get(MeteringSlice)
        self._merger = merger
        self._api = api
        self._window_seconds = window_seconds
        self._quiet_seconds = quiet_seconds
        self._clock = clock

    async def run(self) -> None:
        """Close and report windows until cancelled."""
        # The previous leader must have stopped reporting before this one
        # starts, so that their reports cannot interleave.
        await asyncio.sleep(self._quiet_seconds)
        while True:
            await self._close_due_windows()
            for counts in list(self._slice.unreported_by_window.values()):
                if not await self._report(counts):
                    break
            await asyncio.sleep(WINDOW_CHECK_INTERVAL_SECONDS)

    async def _close_due_windows(self) -> None:
        while True:
            window = next_to_close(
                self._slice.last_closed, self._clock.wall(), self._window_seconds
            )
            if window is None:
                return
            result = await self._propose(CloseUsage(self._merger.total(window)))
            if not isinstance(result, Applied):
                logger.warning("usage window not closed", window=window)
                return

    async def _report(self, counts: WindowCounts) -> bool:
        """Send a report; return whether the next window may be reported."""
        if not self._member.holds_lease():
            return False
        permit = permit_of(self._member)
        outcome = await self._api.report(counts, permit)
        logger.info(
            "usage report sent",
            window=counts.window,
            requests=sum(counts.counts_by_organisation.values()),
            fence=permit.fence,
            outcome=outcome.value,
        )
        if outcome is ReportOutcome.UNKNOWN:
            await asyncio.sleep(REPORT_RETRY_SECONDS)
            return False
        await self._propose(UsageReported(counts.window))
        return True

    async def _propose(self, command: object) -> object:
        return await self._member.propose(command)
