"""Conversion of refusals to HTTP error responses.

The JSON body has the structure that the official client libraries expect.
"""

from http import HTTPStatus

import msgspec
from aiohttp import web

from goldcrestyard.core.decoding import encodable
from goldcrestyard.core.refusals import Refusal, RefusalReason

VERDICT_HEADER = "x-verdict"

_STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.CAPACITY: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.CONFLICT: HTTPStatus.CONFLICT,
    RefusalReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.ENTRY_LEASE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.FORBIDDEN: HTTPStatus.FORBIDDEN,
    RefusalReason.RESIDENCY: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.INCOMPLETE_ANSWER: HTTPStatus.BAD_GATEWAY,
    RefusalReason.INVALID_KEY: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_WITHDRAWN: HTTPStatus.UNAUTHORIZED,
    RefusalReason.LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.NO_LEADER: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_ROOM: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_TARGET: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    RefusalReason.SAMPLES_TOO_OLD: HTTPStatus.GONE,
    RefusalReason.STALE_PLAN: HTTPStatus.CONFLICT,
    RefusalReason.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalReason.TARGETS_CRASHED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    RefusalReason.UNKNOWN_ORIGIN: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.UNKNOWN_OUTCOME: HTTPStatus.BAD_GATEWAY,
}


def status_of(reason: RefusalReason) -> HTTPStatus:
    """Return the HTTP status for the reason of a refusal."""
    return _STATUS_BY_REASON[reason]


def error_body(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    status = status_of(refusal.reason)
    kind = "invalid_request_error" if status < 500 else "server_error"
    return msgspec.json.encode(
        {
            "error": {
                "message": encodable(refusal.detail),
                "type": kind,
                "code": refusal.reason.value,
                "param": None,
                "verdict": refusal.verdict.value,
            }
        }
    )


def refuse(refusal: Refusal) -> web.Response:
    """Return the HTTP response for a refusal.

    ``x-should-retry`` stops the official client library from repeating a
    request that may have run.
    """
    status = status_of(refusal.reason)
    headers = {
        VERDICT_HEADER: refusal.verdict.value,
        "x-should-retry": "false",
    }
    if refusal.retry_after_seconds is not None:
        headers["retry-after"] = str(max(1, round(refusal.retry_after_seconds)))
    return web.Response(
        status=status,
        body=error_body(refusal),
        content_type="application/json",
        headers=headers,
    )
