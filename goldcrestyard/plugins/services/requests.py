"""Rules for what is forwarded of a caller's request and a target's answer.

They keep the caller's key from targets and reject ambiguous paths.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import unquote_plus, unquote_to_bytes

from goldcrestyard.core.decoding import is_header
from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import RequestId, ServiceName
from goldcrestyard.core.records import Service, ServiceRoute
from goldcrestyard.core.refusals import Refusal, RefusalReason

FORWARDED_REQUEST_HEADERS = frozenset(
    {
        "accept",
        "accept-language",
        "content-language",
        "content-type",
        "if-match",
        "if-modified-since",
        "if-none-match",
        "if-unmodified-since",
        "prefer",
    }
)
"""Other headers are not forwarded, since a caller may send its key in any of
them, such as a cookie."""

FORWARDED_RESPONSE_HEADERS = frozenset(
    {
        "cache-control",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-type",
        "etag",
        "expires",
        "last-modified",
        "location",
        "retry-after",
        "vary",
    }
)

ENCODED_SEPARATORS = ("%2f", "%5c", "%00")

_DEFAULT_ROUTE = ServiceRoute("")


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A valid request in the form that is sent to a target."""

    service: ServiceName
    method: str
    path_and_query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def route_for(service: Service, path: str) -> ServiceRoute:
    """Return the route with the longest prefix that matches a path.

    Prefixes match whole path segments, so that an open ``/public`` does not
    open ``/publications``.  If no prefix matches, the returned route is
    neither open nor idempotent.
    """
    segments = _segments(path)
    matching = [
        route
        for route in service.routes
        if segments[: len(_segments(route.prefix))] == _segments(route.prefix)
    ]
    return max(
        matching, key=lambda route: len(_segments(route.prefix)), default=_DEFAULT_ROUTE
    )


def check_path(raw_path: str) -> Refusal | None:
    """Return a refusal if a target might resolve a path to another route."""
    lowered = raw_path.lower()
    decoded = unquote_to_bytes(raw_path).decode("utf-8", "replace")
    if any(separator in lowered for separator in ENCODED_SEPARATORS) or (
        "\\" in decoded
        or ";" in decoded
        or any(part in (".", "..") for part in decoded.split("/"))
        or "//" in decoded
    ):
        return Refusal(
            RefusalReason.BAD_REQUEST,
            "the path may not have empty or dot segments, parameters, "
            "backslashes or encoded separators",
        )
    return None


def remove_key(raw_query: str, key: str) -> str:
    """Return a query string without parameters whose value is the key."""
    if not key:
        return raw_query
    return "&".join(
        pair
        for pair in raw_query.split("&")
        if unquote_plus(pair.partition("=")[2]) != key
    )


def contains_key(request: ServiceRequest, key: str) -> bool:
    """Return whether a request for a target still contains the key."""
    if not key:
        return False
    encoded = key.encode()
    return (
        encoded in unquote_to_bytes(request.path_and_query)
        or encoded in request.body
        or any(key in value for _, value in request.headers)
    )


def select_headers(
    headers: Iterable[tuple[str, str]], allowed: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers with an allowed name, in lower case.

    Those with bytes that are not text are left out: the headers of an answer
    may be stored with its claim.
    """
    return tuple(
        (name.lower(), value)
        for name, value in headers
        if name.lower() in allowed and is_header(name, value)
    )


def caller_request_id(headers: Mapping[str, str]) -> RequestId | Refusal | None:
    """Return the caller's request id, or None if it sent none.

    An unusable id is refused: with a generated id instead, a resend of the
    request would run a second time.
    """
    text = headers.get("idempotency-key") or headers.get(REQUEST_ID_HEADER)
    if not text:
        return None
    if len(text) > 128 or not text.isprintable() or not text.isascii():
        return Refusal(
            RefusalReason.BAD_REQUEST,
            "the request id may have at most 128 printable ASCII characters",
        )
    return RequestId(text)


def _segments(path: str) -> list[str]:
    return [segment for segment in path.split("/") if segment]
