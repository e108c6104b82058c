"""How many further losses the members of the replicated log can bear."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.membership import LOST_VOTER_SECONDS, MemberFacts


class ClusterState(Enum):
    """How the losses that can be borne now compare with the planned ones."""

    FULL = "full"
    REDUCED = "reduced"
    """Fewer losses than planned can be borne, but at least one."""
    CRITICAL = "critical"
    """With the loss of one more disk the majority is lost for good."""


@dataclass(frozen=True, slots=True)
class ClusterHealth:
    """What the leader's observations say about the voters."""

    state: ClusterState
    voters: int
    sound_voters: int
    """Voters that have answered lately, and whose instance still has the disk
    with which they became members."""
    tolerated_losses: int
    """Number of disks of sound voters that can be lost now."""
    missing_machines: int
    """Number of machines to add before all voters that are wanted are sound,
    and those that retire can leave."""
    lost_without_successor: tuple[InstanceId, ...]
    """Instances of lost voters for which no running learner is left."""
    waiting_retirements: tuple[InstanceId, ...]
    """Retiring instances that vote until another machine takes their place."""


def assess_cluster(
    members: Sequence[MemberFacts],
    wanted_voters: int,
    retiring: AbstractSet[InstanceId] = frozenset(),
) -> ClusterHealth:
    """Return how many losses the members can bear.

    ``members`` are in the order in which they were added.  Whether a voter
    has caught up makes no difference: a quorum holds each committed entry, so
    any majority of the disks is enough.
    """
    latest = {member.instance: member.id for member in members}
    running = [member for member in members if _is_running(member, latest)]
    voters = [member for member in members if member.voter]
    sound = [member for member in running if member.voter]
    staying = [member for member in sound if member.instance not in retiring]
    successors = [
        member
        for member in running
        if not member.voter and member.instance not in retiring
    ]
    lost = [member for member in voters if member not in sound]
    # An instance that has joined again with a new id is its own successor.
    lost.sort(key=lambda member: latest[member.instance] == member.id)
    missing = max(0, wanted_voters - len(staying))
    missing_machines = max(0, missing - len(successors))
    lost_without_successor = max(0, min(len(lost), missing) - len(successors))
    retiring_voters = [member for member in voters if member.instance in retiring]
    tolerated = max(0, len(sound) - (len(voters) // 2 + 1))
    return ClusterHealth(
        _state_of(tolerated, (wanted_voters - 1) // 2),
        len(voters),
        len(sound),
        tolerated,
        missing_machines,
        tuple(member.instance for member in lost[len(lost) - lost_without_successor :]),
        tuple(member.instance for member in retiring_voters[:missing_machines]),
    )


def _is_running(member: MemberFacts, latest: dict[InstanceId, MemberId]) -> bool:
    return (
        member.silent_seconds <= LOST_VOTER_SECONDS
        and latest[member.instance] == member.id
    )


def _state_of(tolerated: int, planned: int) -> ClusterState:
    if tolerated >= planned:
        return ClusterState.FULL
    return ClusterState.REDUCED if tolerated > 0 else ClusterState.CRITICAL
