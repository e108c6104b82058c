"""The leader's view of the control cluster: bearable losses, and waits."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import replace

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.member_lines import describe_ids, short_id
from goldcrestyard.core.ids import InstanceId, Term
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.cluster_health import (
    ClusterHealth,
    ClusterState,
    assess_cluster,
)
from goldcrestyard.policy.membership import LOST_VOTER_SECONDS, MemberFacts
from goldcrestyard.policy.membership_waits import (
    Cause,
    LacksConfiguration,
    LacksEntries,
    MembershipWait,
    NoLearner,
    NotStored,
    Silent,
    Step,
    find_membership_wait,
)

logger = structlog.get_logger(__name__)

WAIT_LOG_SECONDS = 1.0
"""Time for which a step waits before that is logged, and least interval of
these lines.  Most steps take less, and the reason may change at each check."""


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


class StepMonitor:
    """Logs why a step of the membership waits, when the reason changes."""

    def __init__(
        self,
        member: ControlMember,
        machines: MachinesSlice,
        wanted_voters: int,
        clock: Clock,
    ) -> None:
        self._member = member
        self._machines = machines
        self._wanted_voters = wanted_voters
        self._clock = clock
        self._waits_since: float | None = None
        self._logged: MembershipWait | None = None
        self._logged_term = Term(0)
        self._logged_at = float("-inf")

    def check(self, members: Sequence[MemberFacts]) -> None:
        """Look for a step that waits, and log the reason if it is another."""
        log = self._member.log_facts()
        wait = None
        if log is not None:
            wait = find_membership_wait(
                members,
                log,
                self._wanted_voters,
                self._machines.retiring_instances(),
                self._machines.retired_instances(),
            )
        if wait is None:
            self._waits_since = self._logged = None
            return
        now = self._clock.monotonic()
        if self._waits_since is None:
            self._waits_since = now
        term = self._member.term
        if now - max(self._waits_since, self._logged_at) < WAIT_LOG_SECONDS or (
            wait.is_same_reason(self._logged) and term == self._logged_term
        ):
            return
        self._logged, self._logged_term, self._logged_at = wait, term, now
        logger.warning(
            "membership step waits",
            waits=_describe_wait(wait),
            waited_seconds=round(now - self._waits_since, 1),
            term=term,
        )


def _describe_wait(wait: MembershipWait) -> str:
    cause = _describe_cause(wait.cause)
    match wait.step:
        case Step.COMMIT:
            return cause
        case Step.REPLACE:
            return f"vote of lost {wait.subject}: {cause}"
        case Step.RETIRE:
            return f"order to empty {wait.subject}: {cause}"
        case Step.COMPLETE:
            return f"end of the order to empty {wait.subject}: {cause}"
        case Step.PROMOTE:
            return f"vote of a further member: {cause}"


def _describe_cause(cause: Cause) -> str:
    match cause:
        case NoLearner():
            return "no learner"
        case Silent(member=member, seconds=seconds):
            return f"{short_id(member)} has not answered for {seconds:.1f}s"
        case LacksEntries(member=member, entries=entries):
            return f"{short_id(member)} lacks {entries} entries"
        case LacksConfiguration(member=member):
            return f"{short_id(member)} lacks the latest configuration"
        case NotStored(index=index, is_joint=is_joint, lacking=lacking):
            kind = "replacement" if is_joint else "configuration"
            return f"{kind} {index} lacks answers of {describe_ids(lacking)}"
