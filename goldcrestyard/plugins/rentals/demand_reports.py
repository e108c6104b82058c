"""Demand on its way from the homes of targets to the leader."""

import asyncio

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.rentals.messages import ReportDemand
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.policy.demand import Demand
from goldcrestyard.state.commands import Accepted
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

REPORT_SECONDS = 5.0
"""74 reports a second at the leader with 370 entries."""
REPORT_TIMEOUT_SECONDS = 3.0
KEPT_SECONDS = 3 * REPORT_SECONDS
MAX_LOAD_AGE_SECONDS = 15.0


class DemandReports:
    """The latest report of each entry, on the leader."""

    def __init__(self, member: ControlMember, clock: Clock) -> None:
        self._member = member
        self._clock = clock
        self._reports_by_entry: dict[InstanceId, tuple[ReportDemand, float]] = {}

    def register(self, handlers: Handlers) -> None:
        """Take the entries' reports."""
        handlers.add(ReportDemand, self._on_report)

    def total(self) -> Demand | None:
        """Return the demand, or None before every entry can have reported."""
        now = self._clock.monotonic()
        if now < self._member.leadership_started_at + KEPT_SECONDS:
            return None
        fresh = {
            entry: (report, at)
            for entry, (report, at) in self._reports_by_entry.items()
            if now - at <= KEPT_SECONDS
        }
        self._reports_by_entry = fresh
        return Demand(
            sum(report.firm for report, _ in fresh.values()),
            sum(report.resumable for report, _ in fresh.values()),
        )

    async def _on_report(
        self, report: ReportDemand, connection: PeerConnection
    ) -> object:
        if not self._member.is_leader:
            return NotLeader(self._member.leader)
        self._reports_by_entry[connection.peer] = (report, self._clock.monotonic())
        return Accepted()


class DemandReporter:
    """Sends the demand at this entry's targets."""

    def __init__(self, home: TargetHome, link: LeaderLink) -> None:
        self._home = home
        self._link = link

    async def run(self) -> None:
        """Report at intervals."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            await self._link.request(self.measure(), REPORT_TIMEOUT_SECONDS)

    def measure(self) -> ReportDemand:
        """Return the requests at the targets that have renewed lately."""
        firm = resumable = 0.0
        for load, age_seconds in self._home.loads():
            if age_seconds > MAX_LOAD_AGE_SECONDS:
                continue
            total = load.running_requests + load.queue_length
            survives = min(total, load.resumable_requests)
            firm += total - survives
            resumable += survives
        return ReportDemand(firm, resumable)
