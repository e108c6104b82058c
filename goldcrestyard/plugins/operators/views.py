"""The operators' HTTP interface on the admin listener."""

import hashlib
import hmac

from aiohttp import web

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import KeyId
from goldcrestyard.core.records import Key, Organisation
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import correlation_id_of
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.organisations.commands import (
    GrantKey,
    PutOrganisation,
    WithdrawKey,
)
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import Command, Rejected


class OperatorViews:
    """Serves ``/operator/v1``."""

    def __init__(
        self, settings: OperatorSettings, view: EntryView, link: LeaderLink
    ) -> None:
        self._settings = settings
        self._view = view
        self._link = link

    async def put_organisation(self, request: web.Request) -> web.StreamResponse:
        """Create an organisation or replace its terms."""
        organisation = await read_json(request, Organisation)
        if isinstance(organisation, Refusal):
            return refuse(organisation)
        return await self._change(request, PutOrganisation(organisation))

    async def grant_key(self, request: web.Request) -> web.StreamResponse:
        """Make a key valid; the body carries only the hash of its secret."""
        key = await read_json(request, Key)
        if isinstance(key, Refusal):
            return refuse(key)
        return await self._change(request, GrantKey(key))

    async def withdraw_key(self, request: web.Request) -> web.StreamResponse:
        """Make a key invalid for good."""
        key_id = KeyId(request.match_info["key"])
        return await self._change(request, WithdrawKey(key_id))

    async def organisations(self, request: web.Request) -> web.StreamResponse:
        """List the organisations."""
        if isinstance(operator := self._operator(request), Refusal):
            return refuse(operator)
        organisations = self._view.machine.get(OrganisationsSlice).organisations_by_id
        return json_answer({"organisations": list(organisations.values())})

    async def targets(self, request: web.Request) -> web.StreamResponse:
        """List the targets."""
        if isinstance(operator := self._operator(request), Refusal):
            return refuse(operator)
        homed = self._view.machine.get(TargetsSlice).homed_by_id.values()
        return json_answer({"targets": list(homed)})

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
        found = [
            name
            for name, known in self._settings.key_sha256_by_name.items()
            if hmac.compare_digest(digest, known.lower())
        ]
        if found:
            return found[0]
        return Refusal(RefusalReason.INVALID_KEY, "unknown operator key")
