"""HTTP views of the operators' API on the admin listener."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.decoding import Count, parse_count
from goldcrestyard.core.ids import KeyId, PlanNumber, Revision, TargetId
from goldcrestyard.core.records import Key
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import RequestHandler
from goldcrestyard.plugins.operators.authorisation import OperatorAuthorisation
from goldcrestyard.plugins.operators.planning import (
    IN_FORCE_TIMEOUT_SECONDS,
    Author,
    ConfigurationPlanner,
    InForce,
    NotYetInForce,
)
from goldcrestyard.plugins.organisations.commands import GrantKey, WithdrawKey
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.plugins.targets.commands import DrainTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import Command
from goldcrestyard.state.declarations import DeclaredKind

OperatorHandler = Callable[[web.Request, Author], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class PlanBody:
    """Body of a request for a plan; ``declaration`` is TOML text."""

    declaration: str
    number: Count | None = None


@dataclass(frozen=True, slots=True)
class ConfirmBody:
    """Body of a confirmation; ``digest`` is that of the plan."""

    digest: str


def require_operator(
    authorisation: OperatorAuthorisation, handler: OperatorHandler
) -> RequestHandler:
    """Wrap a handler so that it requires a valid operator key."""

    async def checked(request: web.Request) -> web.StreamResponse:
        author = authorisation.author(request)
        if isinstance(author, Refusal):
            return refuse(author)
        return await handler(request, author)

    return checked


class OperatorViews:
    """Serves ``/operator/v1``."""

    def __init__(self, view: EntryView, planner: ConfigurationPlanner) -> None:
        self._view = view
        self._planner = planner

    async def plan(self, request: web.Request, author: Author) -> web.StreamResponse:
        """Store a plan and return it."""
        body = await read_json(request, PlanBody)
        if isinstance(body, Refusal):
            return refuse(body)
        number = PlanNumber(body.number) if body.number is not None else None
        plan = await self._planner.plan(body.declaration, number, author)
        if isinstance(plan, Refusal):
            return refuse(plan)
        return json_answer({"plan": plan})

    async def confirm(self, request: web.Request, author: Author) -> web.StreamResponse:
        """Apply a plan; respond once it is in force or the wait times out."""
        number = _plan_number(request)
        if isinstance(number, Refusal):
            return refuse(number)
        body = await read_json(request, ConfirmBody)
        if isinstance(body, Refusal):
            return refuse(body)
        confirmation = await self._planner.confirm(number, body.digest, author)
        if isinstance(confirmation, Refusal):
            return refuse(confirmation)
        return await self._change_response(
            request,
            confirmation.revision,
            {"number": number, "confirmation": confirmation},
        )

    async def plans(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List the latest plans, without their changes."""
        plans = await self._planner.latest()
        if isinstance(plans, Refusal):
            return refuse(plans)
        return json_answer({"plans": plans})

    async def show_plan(self, request: web.Request, _: Author) -> web.StreamResponse:
        """Return one plan with its changes and warnings."""
        number = _plan_number(request)
        if isinstance(number, Refusal):
            return refuse(number)
        plan = await self._planner.find(number)
        if isinstance(plan, Refusal):
            return refuse(plan)
        return json_answer({"plan": plan})

    async def grant_key(
        self, request: web.Request, author: Author
    ) -> web.StreamResponse:
        """Grant a key; the body contains only the hash of its secret."""
        key = await read_json(request, Key)
        if isinstance(key, Refusal):
            return refuse(key)
        return await self._change(request, GrantKey(key), author)

    async def withdraw_key(
        self, request: web.Request, author: Author
    ) -> web.StreamResponse:
        """Withdraw a key permanently."""
        key_id = KeyId(request.match_info["key"])
        return await self._change(request, WithdrawKey(key_id), author)

    async def keys(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List the valid keys, without the hashes of their secrets."""
        keys = self._view.machine.get(OrganisationsSlice).keys_by_id.values()
        listed = [{"id": key.id, "organisation": key.organisation} for key in keys]
        return json_answer({"keys": listed, "revision": self._view.revision})

    async def targets(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List the targets with their homes."""
        homed = self._view.machine.get(TargetsSlice).homed_by_id.values()
        return json_answer({"targets": list(homed), "revision": self._view.revision})

    async def drain_target(
        self, request: web.Request, author: Author
    ) -> web.StreamResponse:
        """Drain a target: it gets no new work."""
        target_id = TargetId(request.match_info["target"])
        target = self._view.machine.get(TargetsSlice).find(target_id)
        if target is None:
            return refuse(
                Refusal(RefusalReason.NOT_FOUND, f"no target with id {target_id}")
            )
        command = DrainTarget(target_id, target.incarnation)
        return await self._change(request, command, author)

    async def entries(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List the entries with their addresses and locations."""
        entries = self._view.machine.get(EntriesSlice).entries_by_id.values()
        return json_answer({"entries": list(entries), "revision": self._view.revision})

    def records_of(self, kind: DeclaredKind) -> OperatorHandler:
        """Return a handler that lists the records of a declared kind."""

        async def records(_: web.Request, __: Author) -> web.StreamResponse:
            current = list(kind.current(self._view.machine).values())
            return json_answer({kind.table: current, "revision": self._view.revision})

        return records

    async def _change(
        self, request: web.Request, command: Command, author: Author
    ) -> web.StreamResponse:
        outcome = await self._planner.commit(command, author)
        match outcome:
            case Refusal():
                return refuse(outcome)
            case Applied(index=index):
                return await self._change_response(request, Revision(index), {})

    async def _change_response(
        self, request: web.Request, revision: Revision, fields: dict[str, object]
    ) -> web.StreamResponse:
        """Return the response to a committed change, with its status.

        ``?wait=no`` responds without waiting for the change to be in force.
        """
        seconds = 0.0 if request.query.get("wait") == "no" else IN_FORCE_TIMEOUT_SECONDS
        effect = await self._planner.wait_in_force(revision, seconds)
        answer: dict[str, object] = {"revision": revision, **fields}
        match effect:
            case InForce():
                answer |= {"in_force": True}
            case NotYetInForce(entries=entries, detail=detail):
                answer |= {"in_force": False, "behind": entries, "detail": detail}
        return json_answer(answer)


def _plan_number(request: web.Request) -> PlanNumber | Refusal:
    text = request.match_info["number"]
    number = parse_count(text)
    if number is not None:
        return PlanNumber(number)
    return Refusal(RefusalReason.BAD_REQUEST, f"{text!r} is not a plan number")
