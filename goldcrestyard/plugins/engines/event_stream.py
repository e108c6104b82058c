"""Parser for the server-sent event streams of engines."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import StreamReader

MAX_EVENT_BYTES = 4 * 1024 * 1024
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
    async for chunk in reader.iter_any():
        # Lines may end in "\r\n" or "\n"; JSON data contains no raw "\r".
        pending += chunk.replace(b"\r", b"")
        while (end := pending.find(b"\n\n")) >= 0:
            block = bytes(pending[:end])
            del pending[: end + 2]
            data, event_id = _parse_fields(block)
            if data is not None:
                yield parse_event(data, event_id)
        if len(pending) > MAX_EVENT_BYTES:
            yield MalformedEvent("event is too long")
            return


def parse_event(data: bytes, event_id: str | None = None) -> Event:
    """Return the event for the contents of its data fields."""
    if data == END_OF_STREAM_DATA:
        return EndOfStream()
    try:
        return Piece(msgspec.json.decode(data, type=dict[str, Any]), event_id)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return MalformedEvent(str(error))


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
