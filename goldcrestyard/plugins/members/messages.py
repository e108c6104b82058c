"""Messages between an instance and the leader about control members."""

from dataclasses import dataclass

from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, RequestId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class MemberLine:
    """One control member as the leader knows it."""

    id: str
    instance: InstanceId
    address: str
    role: str
    matched_index: LogIndex | None
    last_contact_seconds: float | None


@dataclass(frozen=True, slots=True)
class MembersQuery:
    """Asks the leader for the control members."""


@dataclass(frozen=True, slots=True)
class MembersReply:
    """The control members, voters and learners."""

    members: tuple[MemberLine, ...]


@dataclass(frozen=True, slots=True)
class ReplaceMember:
    """Asks the leader to replace a voter; ``new`` may be the same instance."""

    old: InstanceId
    new: InstanceId
    address: str
    author: str
    request_id: RequestId
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class ReplaceMemberReply:
    """The outcome; no ``reason`` means that the member is replaced."""

    reason: RefusalReason | None = None
    detail: str = ""
    verdict: Verdict = Verdict.RAN


MESSAGES = (MembersQuery, MembersReply, ReplaceMember, ReplaceMemberReply)
