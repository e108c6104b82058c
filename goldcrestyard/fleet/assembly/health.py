"""The leader's view of how many losses the control cluster can bear."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import replace

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.cluster_health import (
    ClusterHealth,
    ClusterState,
    assess_cluster,
)
from goldcrestyard.policy.membership import LOST_VOTER_SECONDS, MemberFacts

logger = structlog.get_logger(__name__)


class ClusterHealthMonitor:
    """Assesses the members while this one leads, and logs changes.

    A new leader has heard nobody yet.  It assesses the members only once it
    has led for as long as a voter may be silent.
    """

    def __init__(self, member: ControlMember, wanted_voters: int, clock: Clock) -> None:
        self._member = member
        self._wanted_voters = wanted_voters
        self._clock = clock
        self._health: ClusterHealth | None = None
        # The leadership to which the assessment belongs, and its first check.
        self._leadership_started_at = float("-inf")
        self._first_check_at = float("-inf")

    @property
    def health(self) -> ClusterHealth | None:
        """The latest assessment; None unless this member leads and has one."""
        if (
            not self._member.is_leader
            or self._member.leadership_started_at != self._leadership_started_at
        ):
            return None
        return self._health

    def check(
        self, members: Sequence[MemberFacts], retiring: AbstractSet[InstanceId]
    ) -> None:
        """Assess the members, and log the result if it has become another."""
        now = self._clock.monotonic()
        if self._member.leadership_started_at != self._leadership_started_at:
            self._leadership_started_at = self._member.leadership_started_at
            self._first_check_at = now
            self._health = None
        leading_seconds = now - self._first_check_at
        if leading_seconds <= LOST_VOTER_SECONDS:
            return
        # Times of an earlier leadership say nothing about the present.
        known = [
            replace(member, silent_seconds=min(member.silent_seconds, leading_seconds))
            for member in members
        ]
        before = self._health
        self._health = assess_cluster(known, self._wanted_voters, retiring)
        if before is None or _severity(before) != _severity(self._health):
            _log_health(self._health, known)


def _severity(health: ClusterHealth) -> tuple[ClusterState, int]:
    return health.state, health.missing_machines


def _log_health(health: ClusterHealth, members: Sequence[MemberFacts]) -> None:
    silent_seconds = {
        member.id: round(member.silent_seconds, 1) for member in members if member.voter
    }
    match health.state:
        case ClusterState.FULL:
            logger.info(
                "control cluster tolerates the planned losses",
                silent_seconds_by_voter=silent_seconds,
                tolerated_losses=health.tolerated_losses,
                missing_machines=health.missing_machines,
                waiting_retirements=health.waiting_retirements,
            )
        case ClusterState.REDUCED:
            logger.warning(
                "control cluster tolerates fewer losses than planned",
                silent_seconds_by_voter=silent_seconds,
                tolerated_losses=health.tolerated_losses,
                missing_machines=health.missing_machines,
                lost_without_successor=health.lost_without_successor,
                waiting_retirements=health.waiting_retirements,
            )
        case ClusterState.CRITICAL if health.missing_machines == 0:
            logger.warning(
                "control cluster loses its majority with the next disk; "
                "a learner takes over a vote",
                silent_seconds_by_voter=silent_seconds,
            )
        case ClusterState.CRITICAL:
            logger.error(
                "control cluster loses its majority with the next disk; add a machine",
                silent_seconds_by_voter=silent_seconds,
                missing_machines=health.missing_machines,
                lost_without_successor=health.lost_without_successor,
                waiting_retirements=health.waiting_retirements,
            )
