"""Status of the cluster members as reported to operators."""

from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId, MemberRecord
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status of one member.

    ``matched_index`` is the last log index known to be stored by the member,
    and ``last_contact_seconds`` the time since its last reply.  Both are None
    for other members unless this one leads.
    """

    id: MemberId
    instance: InstanceId
    address: str
    role: Role
    matched_index: LogIndex | None
    last_contact_seconds: float | None


def make_member_status(core: Member, record: MemberRecord, now: float) -> MemberStatus:
    """Return the status of a member according to the state of ``core``."""
    role = Role.FOLLOWER if record.voter else Role.LEARNER
    if record.id == core.leader:
        role = Role.LEADER
    matched: LogIndex | None = None
    contact: float | None = None
    progress = core.progress_by_id.get(record.id)
    if record.id == core.id:
        matched, contact = core.log.last_index, 0.0
    elif progress is not None:
        matched = progress.match_index
        contact = now - progress.last_contact_at
    return MemberStatus(
        record.id, record.instance, record.address, role, matched, contact
    )
