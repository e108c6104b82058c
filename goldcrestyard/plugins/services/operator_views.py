"""The operators' interface to plain services."""

import hashlib
import hmac

from aiohttp import web

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import ServiceName
from goldcrestyard.core.records import Service
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import correlation_id_of
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.services.commands import PutService, RemoveService
from goldcrestyard.state.commands import Command, Rejected


class ServiceOperatorViews:
    """Serves ``/operator/v1/services``."""

    def __init__(self, settings: OperatorSettings, link: LeaderLink) -> None:
        self._settings = settings
        self._link = link

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Create a service or replace its terms."""
        service = await read_json(request, Service)
        if isinstance(service, Refusal):
            return refuse(service)
        return await self._change(request, PutService(service))

    async def remove(self, request: web.Request) -> web.StreamResponse:
        """Remove a service."""
        name = ServiceName(request.match_info["service"])
        return await self._change(request, RemoveService(name))

    async def _change(
        self, request: web.Request, command: Command
    ) -> web.StreamResponse:
        operator = self._operator(request)
        if isinstance(operator, Refusal):
            return refuse(operator)
        result = await self._link.propose(command, operator, correlation_id_of(request))
        match result:
            case Applied(outcome=Rejected(reason=reason, detail=detail)):
                return refuse(Refusal(reason, detail))
            case Applied(index=index):
                return json_answer({"revision": index})
            case NotProposed(detail=detail):
                return refuse(Refusal(RefusalReason.NO_LEADER, detail))
            case InDoubt(detail=detail):
                return refuse(
                    Refusal(RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN)
                )

    def _operator(self, request: web.Request) -> str | Refusal:
        _, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for name, known in self._settings.key_sha256_by_name.items():
            if hmac.compare_digest(digest, known.lower()):
                return name
        return Refusal(RefusalReason.INVALID_KEY, "unknown operator key")
