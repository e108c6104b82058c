"""Log lines of a member that starts, or that knows of no leader."""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.member_lines import (
    describe_answers,
    describe_followers,
    describe_ids,
    describe_lacks,
    describe_voters,
    short_id,
)
from goldcrestyard.consensus.member_report import MemberReport
from goldcrestyard.kernel.clock import Clock

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.5

LEADERLESS_SECONDS = 5.0
"""Time without a leader after which a member logs what it knows.  An election
takes about 3 seconds, and is no fault."""

REPEAT_SECONDS = 30.0
"""Interval in seconds at which that line is repeated."""

UNREADY_SECONDS = 2.0
"""Time for which a leader waits for its first entry before it logs who lacks
it.  Nothing is served meanwhile.  A commit takes milliseconds."""


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
        self._unready_logged_at = float("-inf")

    async def run(self) -> None:
        """Check the member until cancelled."""
        self._leader_known_at = self._clock.monotonic()
        try:
            while True:
                self._member.disk_outages.check()
                report = self._member.report()
                if report is not None:
                    self._check(report)
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            # At a planned stop, the latest state tells most.
            report = self._member.report()
            if report is not None and self._member.leader is None:
                self._log_missing_leader(report)

    def _check(self, report: MemberReport) -> None:
        if not self._start_logged:
            self._start_logged = True
            logger.info(
                "control member started",
                member=report.member,
                disk_was_empty=report.disk_was_empty,
                term=report.state.term,
                last_index=report.state.last_index,
                voters=tuple(report.silent_seconds_by_voter),
            )
        now = self._clock.monotonic()
        self._check_readiness(now)
        if self._member.leader is not None:
            self._leader_known_at = now
            return
        if (
            now - self._leader_known_at > LEADERLESS_SECONDS
            and now - self._logged_at >= REPEAT_SECONDS
        ):
            self._logged_at = now
            self._log_missing_leader(report)

    def _check_readiness(self, now: float) -> None:
        """Log, at intervals, what a leader waits for before it serves."""
        facts = self._member.log_facts()
        waited = now - self._member.leadership_started_at
        if (
            facts is None
            or self._member.is_ready_to_lead
            or waited < UNREADY_SECONDS
            or now - self._unready_logged_at < REPEAT_SECONDS
        ):
            return
        self._unready_logged_at = now
        lacks = {
            short_id(voter): facts.last_index - facts.matched_by_id.get(voter, 0)
            for voter in dict.fromkeys(v for group in facts.voter_groups for v in group)
        }
        logger.warning(
            "leader waits for its first entry to be committed",
            lacking_entries_by_voter=lacks,
            waited_seconds=round(waited, 1),
            term=self._member.term,
            last_index=facts.last_index,
        )

    def _log_missing_leader(self, report: MemberReport) -> None:
        _log_lacking_votes(report, self._clock.monotonic() - self._leader_known_at)
        known_by, state = report.known_by
        if not state.configuration_index:
            return
        logger.info(
            "configuration of a member without a leader",
            voters=describe_voters(state.voter_groups),
            learners=describe_ids(state.learners),
            index=state.configuration_index,
            configuration_term=(
                report.configuration_term if known_by == report.member else None
            ),
            known_by=short_id(known_by),
        )


def _log_lacking_votes(report: MemberReport, leaderless_seconds: float) -> None:
    lacks = "a configuration; no member has told one"
    followers = describe_followers(report.answers)
    if not report.is_member and followers:
        # Its own links don't tell which voters the leader reaches.
        lacks = f"nothing, but this process is no member: {followers}"
    elif report.known_by[1].configuration_index:
        lacks = describe_lacks(report.lacking_groups())
    answers = describe_answers(report.answers)
    silent_seconds = report.rounded_silence()
    if not report.is_member:
        # Such as one that has been removed: no leader sends it anything.
        logger.info(
            "process that is no control member knows of no leader",
            lacks=lacks,
            answers=answers,
            leaderless_seconds=round(leaderless_seconds, 1),
            member=report.member,
            disk_was_empty=report.disk_was_empty,
            last_index=report.state.last_index,
            silent_seconds_by_voter=silent_seconds,
            other_members=report.other_members,
        )
        return
    logger.warning(
        "control member knows of no leader",
        lacks=lacks,
        answers=answers,
        leaderless_seconds=round(leaderless_seconds, 1),
        member=report.member,
        disk_was_empty=report.disk_was_empty,
        role=report.state.role.value,
        term=report.state.term,
        last_index=report.state.last_index,
        silent_seconds_by_voter=silent_seconds,
        other_members=report.other_members,
    )
