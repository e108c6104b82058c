"""A connection between two daemon processes, used in both directions.

Each frame is a CBOR array of kind, frame id and encoded message.  Requests
carry an id that the response repeats, so that many can be in flight; pushes
have no response.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import cbor2
import structlog
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from goldcrestyard.core.decoding import DECODE_ERRORS
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

Handler = Callable[[Any, "PeerConnection"], Awaitable[object | None]]

MAX_CONCURRENT_REQUESTS = 1024
"""Maximum number of requests of a peer that are handled at the same time.
When it is reached, reading from the connection pauses."""


class FrameKind(IntEnum):
    """Kind of a frame, which is the first element of the frame's array."""

    REQUEST = 0
    RESPONSE = 1
    PUSH = 2


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent, so the peer cannot have executed it."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer arrived, so the peer may have executed the request."""

    detail: str


class Handlers:
    """Registry of handlers for requests and pushes, by message class."""

    def __init__(self) -> None:
        self._handlers_by_class: dict[type, Handler] = {}

    def add(self, message_class: type, handler: Handler) -> None:
        """Register a handler for a message class."""
        self._handlers_by_class[message_class] = handler

    def find(self, message: object) -> Handler | None:
        """Return the handler for a message, or None if there is none."""
        return self._handlers_by_class.get(type(message))


class PeerConnection:
    """An authenticated connection; both sides may send requests.

    ``run`` reads the connection until it closes.  Responses and pushes are
    handled in the order of arrival.  Requests run in tasks of their own,
    because they may wait for a commit; the tasks end with the connection.
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
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        # Held while a message is encoded and sent: a peer that reads slowly
        # leaves one encoded message in memory, not all of them.
        self._sending = asyncio.Lock()
        self._handler_tasks: asyncio.TaskGroup | None = None
        self.closed = False

    async def run(self) -> None:
        """Read frames until the connection closes."""
        try:
            async with asyncio.TaskGroup() as handler_tasks:
                self._handler_tasks = handler_tasks
                await self._read_frames()
                self._mark_closed()
                raise _CancelHandlers
        except* _CancelHandlers:
            pass
        finally:
            self._mark_closed()

    async def request(self, message: object, timeout: float) -> Any:
        """Send a request; return the response, ``NotSent`` or ``NoAnswer``."""
        if self.closed:
            return NotSent("connection is closed")
        self._next_id += 1
        frame_id = self._next_id
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies_by_id[frame_id] = reply
        try:
            async with asyncio.timeout(timeout):
                await self._send_frame(FrameKind.REQUEST, frame_id, message)
                return await reply
        except TimeoutError:
            return NoAnswer(f"no answer within {timeout} s")
        except ConnectionClosed:
            return NoAnswer("connection closed while sending")
        finally:
            self._replies_by_id.pop(frame_id, None)

    async def push(self, message: object) -> bool:
        """Send a message that has no response; return whether it was sent."""
        return await self.push_frame(encode_push(self._codec, message))

    async def push_frame(self, frame: bytes) -> bool:
        """Send the frame of a push; return whether it was sent.

        Several connections can share a frame, so that a message to many peers
        is encoded and held in memory once.
        """
        try:
            await self._socket.send(frame)
        except ConnectionClosed:
            return False
        return True

    async def close(self) -> None:
        """Close the connection with a WebSocket closing handshake."""
        await self._socket.close()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task that is cancelled when the connection closes."""
        if self._handler_tasks is None or self.closed:
            coroutine.close()
            return
        self._handler_tasks.create_task(coroutine)

    async def _read_frames(self) -> None:
        try:
            async for data in self._socket:
                kind, frame_id, message = self._decode_frame(data)
                match kind:
                    case FrameKind.RESPONSE:
                        self._complete_request(frame_id, message)
                    case FrameKind.PUSH:
                        await self._call_handler(message)
                    case FrameKind.REQUEST:
                        await self._slots.acquire()
                        self.spawn(self._serve_request(frame_id, message))
        except CodecError as error:
            logger.warning(
                "undecodable frame from peer; closing the connection",
                peer=self.peer,
                error=str(error),
            )
            await self._socket.close(1002, "bad frame")
        except ConnectionClosed:
            pass

    async def _send_frame(
        self, kind: FrameKind, frame_id: int, message: object
    ) -> None:
        async with self._sending:
            await self._socket.send(_encode_frame(self._codec, kind, frame_id, message))

    def _complete_request(self, frame_id: int, message: object) -> None:
        reply = self._replies_by_id.get(frame_id)
        if reply is not None and not reply.done():
            reply.set_result(message)

    async def _serve_request(self, frame_id: int, message: object) -> None:
        try:
            answer = await self._call_handler(message)
            await self._send_frame(FrameKind.RESPONSE, frame_id, answer)
        except ConnectionClosed:
            pass
        finally:
            self._slots.release()

    async def _call_handler(self, message: object) -> object:
        handler = self._handlers.find(message)
        if handler is None:
            return Failure(
                RefusalReason.NOT_FOUND,
                f"{type(message).__name__} has no handler on this process",
                Verdict.NOT_RUN,
            )
        try:
            return await handler(message, self)
        except Exception:
            logger.exception(
                "handler of a peer message failed", message_class=type(message).__name__
            )
            return Failure(
                RefusalReason.UNKNOWN_OUTCOME,
                "the handler failed; see the log of the process that served the "
                "request",
                Verdict.MAY_HAVE_RUN,
            )

    def _decode_frame(self, data: str | bytes) -> tuple[FrameKind, int, Any]:
        if isinstance(data, str):
            raise CodecError("Text frame received, expected a binary one.")
        try:
            kind, frame_id, body = cbor2.loads(data)
            frame_kind = FrameKind(kind)
        except (cbor2.CBORDecodeError, TypeError, *DECODE_ERRORS) as error:
            raise CodecError(f"Malformed frame: {error}") from error
        if type(frame_id) is not int or not isinstance(body, bytes):
            raise CodecError("Malformed frame: its id or its message has a wrong type.")
        return frame_kind, frame_id, self._codec.decode(body)

    def _mark_closed(self) -> None:
        self.closed = True
        for reply in self._replies_by_id.values():
            if not reply.done():
                reply.set_result(NoAnswer("connection closed"))


def encode_push(codec: Codec, message: object) -> bytes:
    """Return the frame of a push, for ``PeerConnection.push_frame``."""
    return _encode_frame(codec, FrameKind.PUSH, 0, message)


def _encode_frame(
    codec: Codec, kind: FrameKind, frame_id: int, message: object
) -> bytes:
    return cbor2.dumps([int(kind), frame_id, codec.encode(message)])


class _CancelHandlers(Exception):  # noqa: N818 - a signal, not an error
    """Raised in the task group to cancel the handlers that still run."""
