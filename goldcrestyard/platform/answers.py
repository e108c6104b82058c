"""The product's results as HTTP answers."""

from http import HTTPStatus

import msgspec
from aiohttp import hdrs, web
from multidict import CIMultiDict

from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.calls import CallAnswer

NO_PATH = Refusal(RefusalReason.NOT_FOUND, "no such call")

_UNRUN_STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.CONFLICT: HTTPStatus.CONFLICT,
    RefusalReason.INVALID_KEY: HTTPStatus.UNAUTHORIZED,
    RefusalReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
}
"""All other refusals of what has not run are 503, which promises just that."""


def status_of(refusal: Refusal) -> HTTPStatus:
    """Return the status for a refusal; 503 promises that nothing has run."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _UNRUN_STATUS_BY_REASON.get(
            refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE
        )
    if refusal.reason in (RefusalReason.DEADLINE, RefusalReason.UNKNOWN_OUTCOME):
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def refuse(refusal: Refusal) -> web.Response:
    """Return the HTTP answer for a refusal."""
    response = json_answer(
        {"error": refusal.reason.value, "detail": refusal.detail},
        status_of(refusal),
    )
    if refusal.retry_after_seconds is not None:
        response.headers[hdrs.RETRY_AFTER] = f"{refusal.retry_after_seconds:g}"
    return response


def json_answer(data: object, status: int = HTTPStatus.OK) -> web.Response:
    """Return an HTTP answer with a JSON body."""
    return json_bytes(msgspec.json.encode(data), status)


def json_bytes(body: bytes, status: int = HTTPStatus.OK) -> web.Response:
    """Return an HTTP answer with an encoded JSON body."""
    return web.Response(status=status, body=body, content_type="application/json")


def pass_on(answer: CallAnswer) -> web.Response:
    """Return a target's answer as it came."""
    return web.Response(
        status=answer.status, headers=CIMultiDict(answer.headers), body=answer.body
    )
