"""Handlers on the leader that list and replace control members."""

import asyncio
from collections import OrderedDict

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import RequestId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.application import Application
from goldcrestyard.plugins.audit.records import NoteOperation
from goldcrestyard.plugins.members.messages import (
    MemberLine,
    MembersQuery,
    MembersReply,
    ReplaceMember,
    ReplaceMemberReply,
)
from goldcrestyard.state.commands import Rejected
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)

REPLACE_TIMEOUT_SECONDS = 60.0
MAX_STORED_REPLIES = 64


class MemberRequestHandlers:
    """Lists and replaces control members while this member leads.

    A replacement continues if the connection of the requesting instance
    closes.  A repeated request waits for the same replacement, or gets the
    stored reply.
    """

    def __init__(self, app: Application, member: ControlMember) -> None:
        self._app = app
        self._member = member
        self._replies_by_request: OrderedDict[
            RequestId, asyncio.Future[ReplaceMemberReply]
        ] = OrderedDict()
        self._replacing = asyncio.Lock()

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other instances."""
        handlers.add(MembersQuery, self._on_query)
        handlers.add(ReplaceMember, self._on_replace)

    async def _on_query(self, _: MembersQuery, __: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        return MembersReply(
            tuple(
                MemberLine(
                    status.id,
                    status.instance,
                    status.address,
                    status.role.value,
                    status.matched_index,
                    status.last_contact_seconds,
                )
                for status in self._member.member_statuses()
            )
        )

    async def _on_replace(self, message: ReplaceMember, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        answer = self._replies_by_request.get(message.request_id)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._replies_by_request[message.request_id] = answer
            if len(self._replies_by_request) > MAX_STORED_REPLIES:
                self._replies_by_request.popitem(last=False)
            self._app.spawn(
                self._replace(message, answer), f"replace member {message.old}"
            )
        return await asyncio.shield(answer)

    async def _replace(
        self, message: ReplaceMember, answer: asyncio.Future[ReplaceMemberReply]
    ) -> None:
        try:
            reply = await self._replace_and_record(message)
        except Exception:
            logger.exception("replacement of a member failed", member=message.old)
            reply = ReplaceMemberReply(
                RefusalReason.UNKNOWN_OUTCOME,
                "the replacement failed; see the log of the leader",
                Verdict.MAY_HAVE_RUN,
            )
        if reply.reason is RefusalReason.UNKNOWN_OUTCOME:
            # A repeated request then continues the replacement where this one
            # stopped.
            self._replies_by_request.pop(message.request_id, None)
        answer.set_result(reply)

    async def _replace_and_record(self, message: ReplaceMember) -> ReplaceMemberReply:
        async with self._replacing:
            await self._record_in_audit_trail(message, "started", "")
            result = await self._member.replace_member(
                message.old, message.new, message.address, REPLACE_TIMEOUT_SECONDS
            )
            reply = _reply_of(result)
            outcome = reply.reason.value if reply.reason is not None else "accepted"
            await self._record_in_audit_trail(message, outcome, reply.detail)
        return reply

    async def _record_in_audit_trail(
        self, message: ReplaceMember, result: str, detail: str
    ) -> None:
        note = NoteOperation("ReplaceMember", f"member/{message.old}", result, detail)
        await self._member.propose(note, message.author, message.correlation_id)


def _reply_of(result: ProposalResult) -> ReplaceMemberReply:
    match result:
        case Applied(outcome=Rejected(reason=reason, detail=detail)):
            return ReplaceMemberReply(reason, detail, Verdict.NOT_RUN)
        case Applied():
            return ReplaceMemberReply()
        case NotProposed(detail=detail):
            # The learner may have been added before a later step failed.
            return ReplaceMemberReply(
                RefusalReason.CONFLICT, detail, Verdict.MAY_HAVE_RUN
            )
        case InDoubt(detail=detail):
            return ReplaceMemberReply(
                RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN
            )
