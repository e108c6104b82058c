"""Removal of hop-by-hop headers, which apply to one connection only."""

from collections.abc import Iterable

from goldcrestyard.core.calls import Headers

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that are not forwarded.  Content-Length and Host are included, since
they are set for each connection."""


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers to forward, in their order.

    Headers that are named in a Connection header are left out, too.
    """
    listed = list(headers)
    named = {
        name.strip().lower()
        for header, value in listed
        if header.lower() == "connection"
        for name in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in listed
        if name.lower() not in _HOP_BY_HOP_HEADERS and name.lower() not in named
    )
