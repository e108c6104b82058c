"""One connection between two of the system's processes."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import cbor2
import structlog
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

Handler = Callable[[Any, "PeerConnection"], Awaitable[object | None]]

CONCURRENT_REQUESTS = 1024
"""Bound on requests of one peer that are being handled at a time."""


class FrameKind(IntEnum):
    """First element of each frame."""

    REQUEST = 0
    RESPONSE = 1
    PUSH = 2


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request provably did not reach the peer."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request was sent, but no answer came back."""

    detail: str


class Handlers:
    """The functions that serve requests and pushes, by message class."""

    def __init__(self) -> None:
        self._handlers_by_class: dict[type, Handler] = {}

    def add(self, message_class: type, handler: Handler) -> None:
        """Serve messages of a class with a function."""
        self._handlers_by_class[message_class] = handler

    def find(self, message: object) -> Handler | None:
        """Return the function for a message, or None."""
        return self._handlers_by_class.get(type(message))


class PeerConnection:
    """An authenticated connection; both sides may send requests.

    ``run`` reads the connection until it closes.  Replies and pushes are
    handled in the order of their arrival; requests, which may wait for a
    commit, run in tasks that end with the connection.
    """

    def __init__(
        self, socket: Connection, codec: Codec, handlers: Handlers, peer: InstanceId
    ) -> None:
        self.peer = peer
        self._socket = socket
        self._codec = codec
        self._handlers = handlers
        self._replies_by_id: dict[int, asyncio.Future[Any]] = {}
        self._next_id = 0
        self._slots = asyncio.Semaphore(CONCURRENT_REQUESTS)
        self._handling: asyncio.TaskGroup | None = None
        self.closed = False

    async def run(self) -> None:
        """Read frames until the connection closes."""
        try:
            async with asyncio.TaskGroup() as handling:
                self._handling = handling
                await self._read()
                self._end()
                raise _ReadingEnded
        except* _ReadingEnded:
            pass
        finally:
            self._end()

    async def request(self, message: object, timeout: float) -> Any:
        """Send a request; return the reply, ``NotSent`` or ``NoAnswer``."""
        if self.closed:
            return NotSent("connection is closed")
        self._next_id += 1
        frame_id = self._next_id
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies_by_id[frame_id] = reply
        try:
            async with asyncio.timeout(timeout):
                await self._send(FrameKind.REQUEST, frame_id, message)
                return await reply
        except TimeoutError:
            return NoAnswer(f"no answer within {timeout} s")
        except ConnectionClosed:
            return NoAnswer("connection closed while sending")
        finally:
            self._replies_by_id.pop(frame_id, None)

    async def push(self, message: object) -> bool:
        """Send a message that has no answer; return whether it was sent."""
        try:
            await self._send(FrameKind.PUSH, 0, message)
        except ConnectionClosed:
            return False
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self._socket.close()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task that ends with the connection."""
        if self._handling is None or self.closed:
            coroutine.close()
            return
        self._handling.create_task(coroutine)

    async def _read(self) -> None:
        try:
            async for data in self._socket:
                kind, frame_id, message = self._parse(data)
                match kind:
                    case FrameKind.RESPONSE:
                        self._resolve(frame_id, message)
                    case FrameKind.PUSH:
                        await self._call(message)
                    case FrameKind.REQUEST:
                        await self._slots.acquire()
                        self.spawn(self._serve(frame_id, message))
        except CodecError as error:
            logger.warning("peer sent a bad frame", peer=self.peer, error=str(error))
            await self._socket.close(1002, "bad frame")
        except ConnectionClosed:
            pass

    async def _send(self, kind: FrameKind, frame_id: int, message: object) -> None:
        body = self._codec.encode(message)
        await self._socket.send(cbor2.dumps([int(kind), frame_id, body]))

    def _resolve(self, frame_id: int, message: object) -> None:
        reply = self._replies_by_id.get(frame_id)
        if reply is not None and not reply.done():
            reply.set_result(message)

    async def _serve(self, frame_id: int, message: object) -> None:
        try:
            answer = await self._call(message)
            await self._send(FrameKind.RESPONSE, frame_id, answer)
        except ConnectionClosed:
            pass
        finally:
            self._slots.release()

    async def _call(self, message: object) -> object:
        handler = self._handlers.find(message)
        if handler is None:
            return Failure(
                RefusalReason.NOT_FOUND,
                f"{type(message).__name__} is not served here",
                Verdict.NOT_RUN,
            )
        try:
            return await handler(message, self)
        except Exception:
            logger.exception("handler failed", message_class=type(message).__name__)
            return Failure(
                RefusalReason.UNKNOWN_OUTCOME,
                "the handler failed; see the log of " + self.peer,
                Verdict.MAY_HAVE_RUN,
            )

    def _parse(self, data: str | bytes) -> tuple[FrameKind, int, Any]:
        if isinstance(data, str):
            raise CodecError("Text frames are not used.")
        try:
            kind, frame_id, body = cbor2.loads(data)
            frame_kind = FrameKind(kind)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            raise CodecError(f"Malformed frame: {error}") from error
        return frame_kind, int(frame_id), self._codec.decode(body)

    def _end(self) -> None:
        self.closed = True
        for reply in self._replies_by_id.values():
            if not reply.done():
                reply.set_result(NoAnswer("connection closed"))


class _ReadingEnded(Exception):  # noqa: N818 - a signal, not an error
    """Cancels the handlers that still run when the connection closes."""
