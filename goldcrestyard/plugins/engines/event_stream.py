"""Reading a server-sent event stream of an engine."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import StreamReader

MAX_EVENT_BYTES = 4 * 1024 * 1024
END_MARK = b"[DONE]"


@dataclass(frozen=True, slots=True)
class Piece:
    """One event with a JSON object, and its id if the engine gave one."""

    data: dict[str, Any]
    event_id: str | None = None


@dataclass(frozen=True, slots=True)
class EndOfStream:
    """The explicit end mark."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """An event that is no JSON object, or too long."""

    detail: str


Event = Piece | EndOfStream | Malformed


async def read_events(reader: StreamReader) -> AsyncIterator[Event]:
    """Yield the events; a stream that breaks off ends without its mark."""
    pending = bytearray()
    async for chunk in reader.iter_any():
        # Lines may end in either way; an event never holds a bare return.
        pending += chunk.replace(b"\r", b"")
        while (end := pending.find(b"\n\n")) >= 0:
            block = bytes(pending[:end])
            del pending[: end + 2]
            data, event_id = _fields_of(block)
            if data is not None:
                yield parse_event(data, event_id)
        if len(pending) > MAX_EVENT_BYTES:
            yield Malformed("event is too long")
            return


def parse_event(data: bytes, event_id: str | None = None) -> Event:
    """Parse the data of one event."""
    if data == END_MARK:
        return EndOfStream()
    try:
        return Piece(msgspec.json.decode(data, type=dict[str, Any]), event_id)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Malformed(str(error))


def _fields_of(block: bytes) -> tuple[bytes | None, str | None]:
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
