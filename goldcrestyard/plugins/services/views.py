"""HTTP views that forward requests to plain services.

Requests to open routes need no key.  Other requests need one, and unless the
route is idempotent, a claim on the request id keeps resends from running
twice.
"""

import uuid
from dataclasses import replace

from aiohttp import web

from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import OrganisationId, RequestId, ServiceName
from goldcrestyard.core.records import Service, ServiceRoute
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.claims.manager import (
    ClaimedCall,
    ClaimManager,
    fingerprint,
)
from goldcrestyard.plugins.listeners.bodies import read_body
from goldcrestyard.plugins.listeners.connections import lease_of
from goldcrestyard.plugins.listeners.errors import VERDICT_HEADER, refuse
from goldcrestyard.plugins.listeners.middleware import correlation_id_of
from goldcrestyard.plugins.organisations.authentication import (
    Authenticator,
    Principal,
    presented_key,
)
from goldcrestyard.plugins.services.dispatch import ServiceCall, ServiceDispatcher
from goldcrestyard.plugins.services.requests import (
    FORWARDED_REQUEST_HEADERS,
    ServiceRequest,
    caller_request_id,
    check_path,
    contains_key,
    remove_key,
    route_for,
    select_headers,
)
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.slices import ServicesSlice
from goldcrestyard.plugins.services.upstream import ServiceAnswer
from goldcrestyard.policy.claims import StoredOutcome, refusal_without_body

CONTENT_TYPE_HEADER = "content-type"

INCONCLUSIVE_REASONS = frozenset(
    {RefusalReason.ENTRY_LEASE, RefusalReason.KEY_WITHDRAWN}
)
"""Reasons to refuse a resend that do not exclude that the request ran when it
was first sent."""


class ServiceViews:
    """Views of the paths under ``/services``."""

    def __init__(
        self,
        view: EntryView,
        authenticator: Authenticator,
        dispatcher: ServiceDispatcher,
        claims: ClaimManager,
        settings: ServiceSettings,
        room: ByteRoom,
    ) -> None:
        self._services = view.machine.get(ServicesSlice)
        self._authenticator = authenticator
        self._dispatcher = dispatcher
        self._claims = claims
        self._settings = settings
        self._room = room

    async def forward(self, request: web.Request) -> web.StreamResponse:
        """Forward a request to a target of its service."""
        name = ServiceName(request.match_info["service"])
        path = "/" + request.match_info.get("path", "")
        if (refusal := check_path(request.rel_url.raw_path)) is not None:
            return refuse(refusal)
        service = self._services.services_by_name.get(name)
        route = route_for(service, path) if service is not None else None
        if service is not None and route is not None and route.open:
            return await self._forward_open_route(request, name, route)
        principal = self._authenticator.authenticate(request)
        if isinstance(principal, Refusal):
            return refuse(_with_verdict_for_resends(request, principal))
        if service is None or route is None:
            return refuse(Refusal(RefusalReason.NOT_FOUND, f"no service {name!r}"))
        if not _may_call(service, principal.organisation):
            return refuse(
                Refusal(
                    RefusalReason.FORBIDDEN,
                    f"the organisation may not call service {name!r}",
                )
            )
        return await self._forward_with_key(request, name, route, principal)

    async def _forward_open_route(
        self, request: web.Request, name: ServiceName, route: ServiceRoute
    ) -> web.StreamResponse:
        # Claims belong to organisations, so a resend to an open route is sent
        # to a target again.
        prepared = await _build_request(request, name)
        if isinstance(prepared, Refusal):
            return refuse(prepared)
        call = ServiceCall(
            prepared,
            None,
            route.idempotent,
            correlation_id_of(request),
            self._room.lease(),
        )
        try:
            response = _to_response(await self._dispatcher.answer(call))
        finally:
            call.lease.release()
        return _counted(request, response)

    async def _forward_with_key(
        self,
        request: web.Request,
        name: ServiceName,
        route: ServiceRoute,
        principal: Principal,
    ) -> web.StreamResponse:
        prepared = await _build_request(request, name)
        if isinstance(prepared, Refusal):
            return refuse(prepared)
        request_id = caller_request_id(request.headers)
        if isinstance(request_id, Refusal):
            return refuse(request_id)
        call = ServiceCall(
            prepared,
            principal.organisation,
            route.idempotent,
            correlation_id_of(request),
            self._room.lease(),
        )
        result: ServiceAnswer | StoredOutcome | Refusal | None = None
        claimed = self._claimed_call(call, request_id)
        async with self._authenticator.guard(principal) as guard:
            if route.idempotent:
                try:
                    result = await self._dispatcher.answer(call)
                finally:
                    call.lease.release()
            else:
                # The call continues if this handler is cancelled, but it is
                # not sent if the key has become invalid by then.
                result = await self._claims.run(
                    claimed,
                    lambda: self._answer_once(call),
                    lambda: guard.refusal or self._authenticator.invalidity(principal),
                    call.lease,
                )
        response = _to_response(guard.refusal or result)
        if not route.idempotent:
            response.headers[REQUEST_ID_HEADER] = claimed.request
        return _counted(request, response)

    def _claimed_call(
        self, call: ServiceCall, request_id: RequestId | None
    ) -> ClaimedCall:
        assert call.organisation is not None
        prepared = call.request
        content_type = dict(prepared.headers).get(CONTENT_TYPE_HEADER, "")
        return ClaimedCall(
            call.organisation,
            request_id or RequestId(uuid.uuid4().hex),
            request_id is None,
            f"{prepared.method} {prepared.service}",
            fingerprint(
                prepared.path_and_query.encode(),
                content_type.encode(),
                prepared.body,
            ),
            call.correlation_id,
            self._settings.request_seconds,
        )

    async def _answer_once(self, call: ServiceCall) -> StoredOutcome | Refusal:
        """Send a claimed call; return its answer in the form to store."""
        answer = await self._dispatcher.answer(call)
        if isinstance(answer, Refusal):
            return answer
        return StoredOutcome(
            answer.status, answer.headers, answer.body, len(answer.body)
        )


async def _build_request(
    request: web.Request, name: ServiceName
) -> ServiceRequest | Refusal:
    """Return the request to send to a target, without the caller's key."""
    key = presented_key(request)
    raw_path = request.rel_url.raw_path.split("/", 3)
    path = "/" + (raw_path[3] if len(raw_path) > 3 else "")
    query = remove_key(request.rel_url.raw_query_string, key)
    body = await read_body(request)
    if isinstance(body, Refusal):
        return body
    prepared = ServiceRequest(
        name,
        request.method,
        f"{path}?{query}" if query else path,
        select_headers(request.headers.items(), FORWARDED_REQUEST_HEADERS),
        body,
    )
    if contains_key(prepared, key):
        return Refusal(
            RefusalReason.BAD_REQUEST,
            "the key belongs in the header 'authorization' only",
        )
    return prepared


def _may_call(service: Service, organisation: OrganisationId) -> bool:
    return not service.organisations or organisation in service.organisations


def _with_verdict_for_resends(request: web.Request, refusal: Refusal) -> Refusal:
    """Return the refusal with a verdict that is also true for a resend."""
    if refusal.reason in INCONCLUSIVE_REASONS and caller_request_id(request.headers):
        return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _counted(request: web.Request, response: web.Response) -> web.Response:
    """Count a response in place of its request, until it has been read."""
    lease = lease_of(request)
    lease.release()
    if isinstance(response.body, bytes):
        lease.add(len(response.body))
    return response


def _to_response(
    result: ServiceAnswer | StoredOutcome | Refusal | None,
) -> web.Response:
    match result:
        case Refusal():
            return refuse(result)
        case StoredOutcome(body=None):
            return refuse(refusal_without_body(result))
        case (
            ServiceAnswer(status=status, headers=headers, body=body)
            | StoredOutcome(status=status, headers=headers, body=body)
        ):
            response = web.Response(status=status, body=body)
            # The target's content type replaces the one that aiohttp adds.
            response.headers.pop(CONTENT_TYPE_HEADER, None)
            for name, value in headers:
                response.headers.add(name, value)
            response.headers[VERDICT_HEADER] = Verdict.RAN.value
            return response
        case None:
            raise AssertionError("neither an answer nor a refusal")
