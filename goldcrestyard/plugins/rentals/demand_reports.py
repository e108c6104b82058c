"""Reports of the current demand, sent by the entries to the leader.

Each entry reports the requests at the targets whose home it is; the leader
adds the reports up.
"""

import asyncio

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.rentals.messages import ReportDemand
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.policy.demand import Demand
from goldcrestyard.state.commands import Accepted
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

REPORT_INTERVAL_SECONDS = 5.0
"""With 370 entries the leader receives 74 reports a second."""
REPORT_TIMEOUT_SECONDS = 3.0
MAX_REPORT_AGE_SECONDS = 3 * REPORT_INTERVAL_SECONDS
MAX_LOAD_AGE_SECONDS = 15.0


class DemandReports:
    """The latest demand report of each entry, kept on the leader."""

    def __init__(self, member: ControlMember, clock: Clock) -> None:
        self._member = member
        self._clock = clock
        self._reports_by_entry: dict[InstanceId, tuple[ReportDemand, float]] = {}

    def register(self, handlers: Handlers) -> None:
        """Register the handler of ``ReportDemand`` messages."""
        handlers.add(ReportDemand, self._on_report)

    def total(self) -> Demand | None:
        """Return the sum of the current reports.

        Returns None at the start of a leadership, until every entry has had
        time to report.
        """
        now = self._clock.monotonic()
        if now < self._member.leadership_started_at + MAX_REPORT_AGE_SECONDS:
            return None
        fresh = {
            entry: (report, received_at)
            for entry, (report, received_at) in self._reports_by_entry.items()
            if now - received_at <= MAX_REPORT_AGE_SECONDS
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
    """Reports the demand at the targets of this home to the leader."""

    def __init__(self, home: TargetHome, link: LeaderLink) -> None:
        self._home = home
        self._link = link

    async def run(self) -> None:
        """Send a report at each interval, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            await self._link.request(self.measure(), REPORT_TIMEOUT_SECONDS)

    def measure(self) -> ReportDemand:
        """Return the requests at the targets with a recent load figure."""
        firm = resumable = 0.0
        for load, age_seconds in self._home.loads():
            if age_seconds > MAX_LOAD_AGE_SECONDS:
                continue
            total = load.running_requests + load.queue_length
            resumable_at_target = min(total, load.resumable_requests)
            firm += total - resumable_at_target
            resumable += resumable_at_target
        return ReportDemand(firm, resumable)
