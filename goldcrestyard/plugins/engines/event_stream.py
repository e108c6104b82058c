"""Parser for the server-sent event streams of engines."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from aiohttp import StreamReader

from goldcrestyard.core.decoding import Malformed, decode_json

MAX_EVENT_BYTES = 4 * 1024 * 1024
MAX_BYTES_BETWEEN_EVENTS = 64 * 1024
"""Largest number of bytes between two events, such as comments and empty
lines, that an engine may send to keep the connection open."""
END_OF_STREAM_DATA = b"[DONE]"


@dataclass(frozen=True, slots=True)
class Piece:
    """An event with a JSON object, and its id if the engine sent one."""

    data: dict[str, Any]
    event_id: str | None = None


@dataclass(frozen=True, slots=True)
class EndOfStream:
    """The event that marks the end of the stream."""


@dataclass(frozen=True, slots=True)
class MalformedEvent:
    """An event that is not a JSON object, or is too long."""

    detail: str


Event = Piece | EndOfStream | MalformedEvent


async def read_events(reader: StreamReader) -> AsyncIterator[Event]:
    """Yield the events of a stream.

    A stream that was cut off has no ``EndOfStream`` as its last event.
    """
    pending = bytearray()
    without_event = 0
    async for chunk in reader.iter_any():
        # Data that is always there must not keep the other tasks waiting.
        await asyncio.sleep(0)
        # The end may lie across two chunks; earlier bytes hold none.
        searched = max(0, len(pending) - 1)
        # Lines may end in "\r\n" or "\n"; JSON data contains no raw "\r".
        pending += chunk.replace(b"\r", b"")
        without_event += chunk.count(b"\r")
        while (end := pending.find(b"\n\n", searched)) >= 0:
            block = bytes(pending[:end])
            del pending[: end + 2]
            searched = 0
            data, event_id = _parse_fields(block)
            if data is not None:
                without_event = 0
                yield parse_event(data, event_id)
                continue
            without_event += len(block) + 2
            if without_event > MAX_BYTES_BETWEEN_EVENTS:
                break
        if without_event > MAX_BYTES_BETWEEN_EVENTS:
            yield MalformedEvent("too many bytes without an event")
            return
        if len(pending) > MAX_EVENT_BYTES:
            yield MalformedEvent("event is too long")
            return


def parse_event(data: bytes, event_id: str | None = None) -> Event:
    """Return the event for the contents of its data fields."""
    if data == END_OF_STREAM_DATA:
        return EndOfStream()
    decoded = decode_json(data, dict[str, Any])
    if isinstance(decoded, Malformed):
        return MalformedEvent(decoded.detail)
    return Piece(decoded, event_id)


def _parse_fields(block: bytes) -> tuple[bytes | None, str | None]:
    data: list[bytes] = []
    event_id: str | None = None
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        match name:
            case b"data":
                data.append(value.strip())
            case b"id":
                event_id = value.strip().decode("utf-8", "replace")
    return (b"\n".join(data) if data else None), event_id
