"""Decoding of callers' requests."""

from aiohttp import hdrs, web

from goldcrestyard.core.decoding import is_header, parse_count, parse_decimal
from goldcrestyard.core.ids import EventNumber, RequestId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.gateway.admission import CallerRequest
from goldcrestyard.platform.hop_headers import end_to_end
from goldcrestyard.platform.names import (
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    RESUMES_HEADER,
    TARGET_ID_HEADER,
)
from goldcrestyard.policy.stream_origins import TakeUp

_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        hdrs.AUTHORIZATION,
        DEADLINE_HEADER,
        ORGANISATION_HEADER,
        REQUEST_ID_HEADER,
        TARGET_ID_HEADER,
    )
)
"""Caller's headers that are not forwarded.  The entry sets some of them itself
in its requests to targets."""


def decode(request: web.BaseRequest, body: bytes) -> CallerRequest | Refusal:
    """Return the gateway's representation of a request.

    A request whose id has bytes that are not text is refused.  They would not
    be sent, and the target's answer to the id that remains would not count.
    """
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if not is_header(REQUEST_ID_HEADER, request_id):
        return Refusal(RefusalReason.BAD_REQUEST, "the request id is not valid")
    return CallerRequest(
        RequestId(request_id),
        request.method,
        host_of(request),
        path_of(request),
        request.raw_path,
        tuple(
            (name, value)
            for name, value in end_to_end(request.headers.items())
            if name.lower() not in _RESERVED_HEADERS
        ),
        body,
        key_of(request),
        seconds_left(request),
        take_up_of(request),
    )


def take_up_of(request: web.BaseRequest) -> TakeUp | None:
    """Return the stream that a caller takes up; None for a new request.

    A header that stands there more than once names nothing.
    """
    last_events = request.headers.getall(LAST_EVENT_HEADER, [])
    attempts = request.headers.getall(RESUMES_HEADER, [])
    if not last_events and not attempts:
        return None
    last_event = parse_count(last_events[0]) if len(last_events) == 1 else None
    return TakeUp(
        RequestId(attempts[0]) if len(attempts) == 1 and attempts[0] else None,
        None if last_event is None else EventNumber(last_event),
    )


def host_of(request: web.BaseRequest) -> str:
    """Return the host as the caller sent it."""
    return request.headers.get(hdrs.HOST, "")


def path_of(request: web.BaseRequest) -> str:
    """Return the path as the caller sent it, without the query."""
    return request.raw_path.partition("?")[0]


def key_of(request: web.BaseRequest) -> str | None:
    """Return the API key of the bearer authorization, or None."""
    scheme, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def seconds_left(request: web.BaseRequest) -> float | None:
    """Return the time limit that the caller states in seconds, or None.

    A value that is not a positive finite number is ignored.
    """
    milliseconds = parse_decimal(request.headers.get(DEADLINE_HEADER, ""))
    return milliseconds / 1000 if milliseconds and milliseconds > 0 else None
