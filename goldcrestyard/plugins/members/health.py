"""How many losses the listed control members can bear."""

from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.roles import Role
from goldcrestyard.plugins.members.messages import MemberLine
from goldcrestyard.policy.cluster_health import assess_cluster
from goldcrestyard.policy.membership import MemberFacts


@dataclass(frozen=True, slots=True)
class VotersHealth:
    """Numbers of voters, and of disks that can be lost now."""

    voters: int
    sound_voters: int
    tolerated_losses: int


def voters_health(lines: Sequence[MemberLine]) -> VotersHealth:
    """Return what the leader's list says about the voters.

    A member that has not answered yet counts as lost.
    """
    members = [
        MemberFacts(
            MemberId(line.id),
            line.instance,
            line.role != Role.LEARNER.value,
            float("inf")
            if line.last_contact_seconds is None
            else line.last_contact_seconds,
            True,
        )
        for line in lines
    ]
    health = assess_cluster(members, sum(member.voter for member in members))
    return VotersHealth(health.voters, health.sound_voters, health.tolerated_losses)
