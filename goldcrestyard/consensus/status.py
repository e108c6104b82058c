"""What operators see of the members."""

from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId, MemberRecord
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId, LogIndex


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What operators see of a member; the last two only on the leader."""

    id: MemberId
    instance: InstanceId
    address: str
    role: Role
    matched_index: LogIndex | None
    last_contact_seconds: float | None


def status_of(core: Member, record: MemberRecord, now: float) -> MemberStatus:
    """Return a member as another one, or itself, knows it."""
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
