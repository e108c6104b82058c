"""HTTP responses for results and refusals."""

from http import HTTPStatus

import msgspec
from aiohttp import hdrs, web
from multidict import CIMultiDict

from goldcrestyard.core.decoding import encodable
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.calls import CallAnswer

UNKNOWN_PATH = Refusal(RefusalReason.NOT_FOUND, "unknown path or method")

_NOT_RUN_STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.CONFLICT: HTTPStatus.CONFLICT,
    RefusalReason.INVALID_KEY: HTTPStatus.UNAUTHORIZED,
    RefusalReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
}
"""HTTP statuses for refusals of requests that have not run, by reason.  Other
reasons get status 503, which states that the request has not run."""


def status_of(refusal: Refusal) -> HTTPStatus:
    """Return the HTTP status for a refusal; 503 if the request has not run."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _NOT_RUN_STATUS_BY_REASON.get(
            refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE
        )
    if refusal.reason in (RefusalReason.DEADLINE, RefusalReason.UNKNOWN_OUTCOME):
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the HTTP response for a refusal."""
    response = json_response(
        {"error": refusal.reason.value, "detail": encodable(refusal.detail)},
        status_of(refusal),
    )
    if refusal.retry_after_seconds is not None:
        response.headers[hdrs.RETRY_AFTER] = f"{refusal.retry_after_seconds:g}"
    return response


def json_response(data: object, status: int = HTTPStatus.OK) -> web.Response:
    """Return an HTTP response with ``data`` encoded as JSON."""
    return encoded_json_response(msgspec.json.encode(data), status)


def encoded_json_response(body: bytes, status: int = HTTPStatus.OK) -> web.Response:
    """Return an HTTP response with a body that is encoded JSON already."""
    return web.Response(status=status, body=body, content_type="application/json")


def target_response(answer: CallAnswer) -> web.Response:
    """Return the answer of a target unchanged."""
    return web.Response(
        status=answer.status, headers=CIMultiDict(answer.headers), body=answer.body
    )
