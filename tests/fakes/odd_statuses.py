"""Targets in trouble, whose answers have a status outside the protocol."""

import asyncio
import contextlib
from dataclasses import dataclass

from tests.fakes.platform_targets import REQUEST_ID_HEADER, StandInTarget

BODY = b"bytes of the target"


@dataclass(frozen=True)
class StatusLine:
    """The first line of an answer."""

    name: str
    line: bytes


STATUS_LINES = (
    StatusLine("000", b"HTTP/1.1 000 Bad"),
    StatusLine("099", b"HTTP/1.1 099 Bad"),
    StatusLine("101", b"HTTP/1.1 101 Switching Protocols"),
    StatusLine("600", b"HTTP/1.1 600 Bad"),
    StatusLine("999", b"HTTP/1.1 999 Bad"),
)
"""The library passes them on, 101 as an answer that is empty."""

ODD_INTERIM = b"HTTP/1.1 150 Bad\r\n\r\n"
"""An interim answer that no specification knows."""


def answer(line: bytes, request: bytes) -> bytes:
    """Return an answer that is sound but for its status line."""
    return (
        line + b"\r\n" + REQUEST_ID_HEADER.encode() + b": " + request + b"\r\n"
        b"X-Goldcrestyard-Server-Stamp: stamp\r\n"
        b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    )


class OddStatusTarget:
    """Answers each request with one status line, and announces itself."""

    def __init__(self, target: StandInTarget, line: bytes) -> None:
        self.target = target
        self.line = line
        self.requests: list[bytes] = []
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
        marker = f"{REQUEST_ID_HEADER}: ".encode()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            # The body of a request precedes the next head.
            while head := await reader.readuntil(b"\r\n\r\n"):
                request = head.partition(marker)[2].partition(b"\r\n")[0]
                self.requests.append(request)
                writer.write(answer(self.line, request))
                await writer.drain()
        writer.close()
