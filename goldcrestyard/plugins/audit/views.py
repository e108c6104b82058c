"""HTTP view of the audit trail, and the leader's handler behind it."""

from aiohttp import web

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.ids import LogIndex
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.audit.records import AuditQuery, AuditReply
from goldcrestyard.plugins.audit.slices import AuditSlice
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.operators.planning import (
    LEADER_QUERY_TIMEOUT_SECONDS,
    Author,
    no_leader_refusal,
)
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

MAX_LISTED_RECORDS = 2000
"""Keeps a reply well below the maximum frame size between instances."""


class AuditRequestHandlers:
    """Answers audit queries of other instances, on the leader only."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    def register(self, handlers: Handlers) -> None:
        """Register the handler for audit queries."""
        handlers.add(AuditQuery, self._on_query)

    async def _on_query(self, message: AuditQuery, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        trail = self._member.machine.get(AuditSlice)
        return AuditReply(trail.find(message), trail.chain)


class AuditViews:
    """Serves ``/operator/v1/audit``."""

    def __init__(self, link: LeaderLink) -> None:
        self._link = link

    async def audit(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List records, filtered by log index, author and subject."""
        since = parse_count(request.query.get("since", "0"))
        limit = parse_count(request.query.get("limit", "100"))
        if since is None or limit is None:
            return refuse(
                Refusal(
                    RefusalReason.BAD_REQUEST,
                    "'since' and 'limit' must be whole numbers",
                )
            )
        query = AuditQuery(
            LogIndex(since),
            request.query.get("author", ""),
            request.query.get("subject", ""),
            min(limit, MAX_LISTED_RECORDS),
        )
        reply = await self._link.request(query, LEADER_QUERY_TIMEOUT_SECONDS)
        if not isinstance(reply, AuditReply):
            return refuse(no_leader_refusal(reply))
        return json_answer({"records": reply.records, "chain": reply.chain})
