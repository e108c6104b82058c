"""Callers' requests, decoded."""

import math

from aiohttp import hdrs, web

from goldcrestyard.core.ids import RequestId
from goldcrestyard.fleet.gateway.admission import CallerRequest
from goldcrestyard.platform.hop_headers import end_to_end
from goldcrestyard.platform.names import DEADLINE, ORGANISATION, REQUEST_ID, TARGET_ID

_OURS = frozenset(
    name.lower()
    for name in (hdrs.AUTHORIZATION, DEADLINE, ORGANISATION, REQUEST_ID, TARGET_ID)
)
"""Headers that a caller cannot set for the target."""


def decode(request: web.BaseRequest, body: bytes) -> CallerRequest:
    """Return a request in the product's terms."""
    return CallerRequest(
        RequestId(request.headers.get(REQUEST_ID, "")),
        request.method,
        host_of(request),
        path_of(request),
        request.raw_path,
        tuple(
            (name, value)
            for name, value in end_to_end(request.headers.items())
            if name.lower() not in _OURS
        ),
        body,
        key_of(request),
        seconds_left(request),
    )


def host_of(request: web.BaseRequest) -> str:
    """Return the host as the caller sent it."""
    return request.headers.get(hdrs.HOST, "")


def path_of(request: web.BaseRequest) -> str:
    """Return the path as sent, without the query."""
    return request.raw_path.partition("?")[0]


def key_of(request: web.BaseRequest) -> str | None:
    """Return the caller's key, or None."""
    scheme, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def seconds_left(request: web.BaseRequest) -> float | None:
    """Return how long the caller says it will wait, in seconds."""
    try:
        seconds = float(request.headers[DEADLINE]) / 1000
    except (KeyError, ValueError):
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None
