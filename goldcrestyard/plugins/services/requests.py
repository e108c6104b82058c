"""What of a caller's request and a target's answer is passed on."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import unquote_plus, unquote_to_bytes

from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import RequestId, ServiceName
from goldcrestyard.core.records import Service, ServiceRoute
from goldcrestyard.core.refusals import Refusal, RefusalReason

FORWARDED_HEADERS = frozenset(
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
"""Everything else stays here: a caller may send its key in a header of any
name, such as a cookie."""

ANSWERED_HEADERS = frozenset(
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

_CLOSED_ROUTE = ServiceRoute("")


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A checked request, in the form in which it is sent to a target."""

    service: ServiceName
    method: str
    path_and_query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def route_for(service: Service, path: str) -> ServiceRoute:
    """Return the route with the longest prefix of a path.

    A prefix ends at a slash, so that an open ``/public`` does not open
    ``/publications``.  A path without a route is neither open nor idempotent.
    """
    segments = _segments(path)
    matching = [
        route
        for route in service.routes
        if segments[: len(_segments(route.prefix))] == _segments(route.prefix)
    ]
    return max(
        matching, key=lambda route: len(_segments(route.prefix)), default=_CLOSED_ROUTE
    )


def check_path(raw_path: str) -> Refusal | None:
    """Refuse paths that a target might read as another route than we do."""
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


def without_key(raw_query: str, key: str) -> str:
    """Return a query string without the parameters whose value is the key."""
    if not key:
        return raw_query
    return "&".join(
        pair
        for pair in raw_query.split("&")
        if unquote_plus(pair.partition("=")[2]) != key
    )


def contains_key(request: ServiceRequest, key: str) -> bool:
    """Return whether a request would still show the key to a target."""
    if not key:
        return False
    encoded = key.encode()
    return (
        encoded in unquote_to_bytes(request.path_and_query)
        or encoded in request.body
        or any(key in value for _, value in request.headers)
    )


def pick(
    headers: Iterable[tuple[str, str]], allowed: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers with an allowed name."""
    return tuple(
        (name.lower(), value) for name, value in headers if name.lower() in allowed
    )


def request_id_of(headers: Mapping[str, str]) -> RequestId | Refusal | None:
    """Return the caller's request id, or None if it sent none.

    An id that cannot be kept is refused: a made-up id in its place would let
    a resend run a second time.
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
