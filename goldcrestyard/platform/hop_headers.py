"""Headers that concern one connection only."""

from collections.abc import Iterable

from goldcrestyard.core.calls import Headers

_HOP_BY_HOP = frozenset(
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
"""The length and the host are set anew for each connection."""


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that are passed on, in their order."""
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
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    )
