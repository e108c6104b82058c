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
    """One event with a JSON object."""

    data: dict[str, Any]


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
        pending += chunk
        while (end := pending.find(b"\n\n")) >= 0:
            block = bytes(pending[:end])
            del pending[: end + 2]
            data = _data_of(block)
            if data is not None:
                yield parse_event(data)
        if len(pending) > MAX_EVENT_BYTES:
            yield Malformed("event is too long")
            return


def parse_event(data: bytes) -> Event:
    """Parse the data of one event."""
    if data == END_MARK:
        return EndOfStream()
    try:
        return Piece(msgspec.json.decode(data, type=dict[str, Any]))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Malformed(str(error))


def _data_of(block: bytes) -> bytes | None:
    lines = [
        line[5:].strip()
        for line in block.replace(b"\r\n", b"\n").split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines) if lines else None
