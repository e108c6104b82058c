"""Targets in trouble, which send bytes without end until the caller closes."""

import asyncio
import contextlib
from enum import Enum

from tests.fakes.platform_targets import REQUEST_ID_HEADER, StandInTarget

PIECE = b"y" * 65536


class Bytes(Enum):
    """What a target sends after the head of its answer."""

    BODY = "a body without end"
    EVENT = "an event without end"
    EVENTS = "events without end"


class EndlessTarget:
    """Answers each request with a sound head and bytes without end."""

    def __init__(self, target: StandInTarget, kind: Bytes) -> None:
        self.target = target
        self.answers = 0
        self._kind = kind
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and announce the target like a sound one."""
        self._server = await asyncio.start_server(self._serve, self.target.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.target.address = f"{self.target.host}:{port}"
        self.target.announce()

    async def stop(self) -> None:
        """Stop listening and announcing."""
        await self.target.stop()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            marker = f"{REQUEST_ID_HEADER}: ".encode()
            request = head.partition(marker)[2].partition(b"\r\n")[0]
            self.answers += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\n" + marker + request + b"\r\n"
                b"X-Goldcrestyard-Server-Stamp: stamp\r\n"
                b"X-Goldcrestyard-Weight-Versions: 1\r\n"
                b"Content-Type: text/event-stream\r\n\r\n"
            )
            if self._kind is Bytes.EVENT:
                writer.write(b"id: 1\ndata: ")
            number = 0
            while True:
                number += 1
                if self._kind is Bytes.EVENTS:
                    writer.write(b"id: %d\ndata: " % number + PIECE + b"\n\n")
                else:
                    writer.write(PIECE)
                await writer.drain()
        writer.close()
