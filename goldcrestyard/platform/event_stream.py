"""Parser of the server-sent events in a target's stream."""

from collections.abc import AsyncIterator, Callable

import aiohttp

from goldcrestyard.core.attempts import Broken, describe_error
from goldcrestyard.core.calls import StreamEvent
from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.ids import EventNumber, WeightVersion
from goldcrestyard.kernel.byte_room import ByteLease
from goldcrestyard.kernel.http_client import UnboundedAnswerError
from goldcrestyard.platform.names import VERSION_HEADER

MAX_EVENT_BYTES = 1024 * 1024
MAX_BYTES_BETWEEN_EVENTS = 64 * 1024
"""Largest number of bytes between two events, such as comments and empty
lines, that a server may send to keep the connection open."""

EVENT_MEMORY_FACTOR = 3
"""Memory of a relayed event over its bytes: as it came, its data, and what
waits for the caller."""

UNCOUNTED_EVENT_BYTES = 16 * 1024
"""Memory of small events, which each stream may take without asking, so that
streams of small events go on while there is no room."""

_VERSION_FIELD = VERSION_HEADER.lower().encode()


async def read_events(
    read: Callable[[], AsyncIterator[bytes]], lease: ByteLease | None = None
) -> AsyncIterator[StreamEvent | Broken]:
    """Yield the events of a stream, then ``Broken`` if it is incomplete.

    ``read`` yields the bytes of the response body in arbitrary chunks.  The
    part of an event that has arrived counts in ``lease``.
    """
    pending = bytearray()
    without_event = 0
    try:
        async for chunk in read():
            # The end may lie across two chunks; earlier bytes hold none.
            searched = max(0, len(pending) - 1)
            pending += chunk
            while (end := pending.find(b"\n\n", searched)) >= 0:
                raw = bytes(pending[: end + 2])
                del pending[: end + 2]
                searched = 0
                event = _parse(raw)
                without_event = without_event + len(raw) if event is None else 0
                if without_event > MAX_BYTES_BETWEEN_EVENTS:
                    event = _malformed(f"{without_event} bytes without an event")
                needed = EVENT_MEMORY_FACTOR * len(raw) + len(pending)
                if lease is not None and not lease.resize(_counted(needed)):
                    yield Broken("no room for the event beside those of others")
                    return
                if event is not None:
                    yield event
                if isinstance(event, Broken):
                    return
            if lease is not None and not lease.resize(len(pending)):
                yield Broken("no room for the event beside those of others")
                return
            if len(pending) > MAX_EVENT_BYTES:
                yield _malformed(f"event exceeds {MAX_EVENT_BYTES} bytes")
                return
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        yield Broken(
            f"stream cut off: {describe_error(error)}",
            malformed=isinstance(error, UnboundedAnswerError),
        )
        return
    if pending.strip():
        yield Broken("stream ended within an event")


def _counted(size: int) -> int:
    return size if size > UNCOUNTED_EVENT_BYTES else 0


def _parse(raw: bytes) -> StreamEvent | Broken | None:
    """Return an event; None for a block without data, such as a comment."""
    number: int | None = None
    version: int | None = None
    data: list[bytes] = []
    try:
        for line in raw.rstrip(b"\n").split(b"\n"):
            name, _, value = line.rstrip(b"\r").partition(b":")
            value = value.removeprefix(b" ")
            match name.lower():
                case b"id":
                    number = _parse_number(value)
                case b"data":
                    data.append(value)
                case name if name == _VERSION_FIELD:
                    version = _parse_number(value)
                case b"" | b"event" | b"retry":
                    pass
                case _:
                    return _malformed("line is not a known event field")
    except ValueError:
        return _malformed("event number or version is not an integer")
    if number is None:
        return _malformed("event has no number") if data else None
    return StreamEvent(
        EventNumber(number),
        b"\n".join(data),
        raw,
        None if version is None else WeightVersion(version),
    )


def _malformed(detail: str) -> Broken:
    return Broken(detail, malformed=True)


def _parse_number(value: bytes) -> int:
    number = parse_count(value.decode("ascii"))
    if number is None:
        raise ValueError("not a number")
    return number
