"""Messages to list and replace control members through the leader."""

from dataclasses import dataclass

from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, RequestId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class MemberLine:
    """State of one control member as the leader knows it.

    ``matched_index`` and ``last_contact_seconds`` are None if not known.
    """

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
    """Reply to ``MembersQuery``: all voters and learners."""

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
    """Outcome of a replacement; it succeeded if ``reason`` is None."""

    reason: RefusalReason | None = None
    detail: str = ""
    verdict: Verdict = Verdict.RAN


MESSAGES = (MembersQuery, MembersReply, ReplaceMember, ReplaceMemberReply)
