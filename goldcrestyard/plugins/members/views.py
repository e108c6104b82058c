"""HTTP views of control members and of this instance's status."""

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.members.health import voters_health
from goldcrestyard.plugins.members.messages import (
    MembersQuery,
    MembersReply,
    ReplaceMember,
    ReplaceMemberReply,
)
from goldcrestyard.plugins.operators.planning import (
    LEADER_QUERY_TIMEOUT_SECONDS,
    Author,
    no_leader_refusal,
)
from goldcrestyard.wire.connection import NoAnswer

REPLACE_REPLY_TIMEOUT_SECONDS = 15.0
"""Less than the command line waits (20 s), so that it is told that the outcome
is unknown."""


@dataclass(frozen=True, slots=True)
class ReplaceBody:
    """Body of a replacement request.

    Without ``instance`` the member is replaced by a new one on the same
    instance; without ``address`` the address in the settings is used.
    """

    instance: InstanceId | None = None
    address: str | None = None


class MemberViews:
    """Serves ``/operator/v1/members`` and ``/operator/v1/status``."""

    def __init__(
        self,
        app: Application,
        link: LeaderLink,
        addresses_by_id: Mapping[InstanceId, str],
    ) -> None:
        self._app = app
        self._link = link
        self._addresses_by_id = addresses_by_id

    async def members(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List the control members, and the losses that they can bear."""
        reply = await self._link.request(MembersQuery(), LEADER_QUERY_TIMEOUT_SECONDS)
        if not isinstance(reply, MembersReply):
            return refuse(no_leader_refusal(reply))
        return json_answer(
            {"members": reply.members, "health": voters_health(reply.members)}
        )

    async def replace(self, request: web.Request, author: Author) -> web.StreamResponse:
        """Replace a control member, such as one that lost its disk."""
        body = await read_json(request, ReplaceBody)
        if isinstance(body, Refusal):
            return refuse(body)
        old = InstanceId(request.match_info["member"])
        new = body.instance or old
        address = body.address or self._addresses_by_id.get(new)
        if address is None:
            detail = f"the peer address of {new} is unknown; give it with --address"
            return refuse(Refusal(RefusalReason.BAD_REQUEST, detail))
        message = ReplaceMember(
            old, new, address, author.name, author.request_id, author.correlation_id
        )
        reply = await self._link.request(message, REPLACE_REPLY_TIMEOUT_SECONDS)
        match reply:
            case ReplaceMemberReply(reason=None):
                return json_answer({"member": old, "by": new, "address": address})
            case ReplaceMemberReply(reason=RefusalReason() as reason):
                return refuse(Refusal(reason, reply.detail, reply.verdict))
            case NoAnswer(detail=detail):
                return refuse(
                    Refusal(
                        RefusalReason.UNKNOWN_OUTCOME,
                        f"{detail}; the replacement may still be running, send the "
                        "same request again to learn its outcome",
                        Verdict.MAY_HAVE_RUN,
                    )
                )
            case _:
                return refuse(no_leader_refusal(reply))

    async def status(self, request: web.Request, _: Author) -> web.StreamResponse:
        """Return this instance's state, leader, revision and lease."""
        instance = self._app.settings.section(InstanceSettings)
        view = self._app.get(EntryView)
        return json_answer(
            {
                "instance": instance.id,
                "data_centre": instance.data_centre,
                "region": instance.region,
                "state": self._app.state.value,
                "leader": self._link.leader,
                "revision": view.revision,
                "lease_seconds": round(view.lease_remaining(), 3),
            }
        )
