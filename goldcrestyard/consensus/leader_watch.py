"""Log lines of a member that starts, or that knows of no leader."""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.member_report import MemberReport
from goldcrestyard.kernel.clock import Clock

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.5

LEADERLESS_SECONDS = 5.0
"""Time without a leader after which a member logs what it knows.  An election
takes about 3 seconds, and is no fault."""

REPEAT_SECONDS = 30.0
"""Interval in seconds at which that line is repeated."""


class LeaderWatch:
    """Logs a member's state at its start, and while it has no leader or disk.

    The lines tell which voters are missing when nobody can be elected.
    """

    def __init__(self, member: ControlMember, clock: Clock) -> None:
        self._member = member
        self._clock = clock
        self._start_logged = False
        self._leader_known_at = float("-inf")
        self._logged_at = float("-inf")

    async def run(self) -> None:
        """Check the member until cancelled."""
        self._leader_known_at = self._clock.monotonic()
        while True:
            self._member.disk_outages.check()
            report = self._member.report()
            if report is not None:
                self._check(report)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _check(self, report: MemberReport) -> None:
        if not self._start_logged:
            self._start_logged = True
            logger.info(
                "control member started",
                member=report.member,
                disk_was_empty=report.disk_was_empty,
                term=report.term,
                last_index=report.last_index,
                voters=tuple(report.silent_seconds_by_voter),
            )
        now = self._clock.monotonic()
        if self._member.leader is not None:
            self._leader_known_at = now
            return
        leaderless_seconds = now - self._leader_known_at
        if (
            leaderless_seconds <= LEADERLESS_SECONDS
            or now - self._logged_at < REPEAT_SECONDS
        ):
            return
        self._logged_at = now
        _log_missing_leader(report, leaderless_seconds)


def _log_missing_leader(report: MemberReport, leaderless_seconds: float) -> None:
    silent_seconds = {
        voter: round(seconds, 1) if seconds is not None else None
        for voter, seconds in report.silent_seconds_by_voter.items()
    }
    if not report.is_member:
        # Such as one that has been removed: no leader sends it anything.
        logger.info(
            "process that is no control member knows of no leader",
            leaderless_seconds=round(leaderless_seconds, 1),
            member=report.member,
            disk_was_empty=report.disk_was_empty,
            last_index=report.last_index,
            silent_seconds_by_voter=silent_seconds,
            other_members=report.other_members,
        )
        return
    logger.warning(
        "control member knows of no leader",
        leaderless_seconds=round(leaderless_seconds, 1),
        member=report.member,
        disk_was_empty=report.disk_was_empty,
        role=report.role.value,
        term=report.term,
        last_index=report.last_index,
        silent_seconds_by_voter=silent_seconds,
        other_members=report.other_members,
    )
