"""A connection before the head of its first request is whole.

``HeadGate`` counts the bytes of a head before any parser sees them.  It has no
parser and no task, and all gates of a listener read into one buffer.
"""

import asyncio
import contextlib
from collections.abc import Callable

from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import (
    ListenerPlaces,
    Place,
    RefusedConnection,
)
from goldcrestyard.plugins.listeners.connections import (
    LINGERING_TIMEOUT_SECONDS,
    MAX_LINGERING_BYTES,
    RETRY_AFTER_SECONDS,
    ConnectionLimits,
    refusal_bytes,
)
from goldcrestyard.policy.connections import MAX_EMPTY_BYTES, HeadBuffer, HeadState

READ_BYTES = 16 * 1024
"""Size of the buffer into which the gates of a listener read."""

DISPLACED_AFTER_SECONDS = 1.0
"""How long the first head of a connection must have been incomplete before a
new connection may take its place.  Ordinary clients send theirs at once."""

Upgrade = Callable[[asyncio.Transport, bytes, Place], None]
"""Hands a connection over with what was read, the whole first head or more."""


class HeadGate(asyncio.BufferedProtocol):
    """Reads a connection up to the end of its first head.

    A refusal says "not run", which is true since nothing was parsed.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        room: ByteRoom,
        places: ListenerPlaces,
        buffer: bytearray,
        gates: dict["HeadGate", float],
        upgrade: Upgrade,
    ) -> None:
        self._limits = limits
        self._lease = room.lease()
        self._places = places
        self._buffer = buffer
        self._gates = gates
        self._upgrade = upgrade
        self._head = HeadBuffer(limits.head_bytes)
        self._place: Place | None = None
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._refused = False
        self._lingers = False
        self._discarded_bytes = 0

    @property
    def busy(self) -> bool:
        """Whether a part of a request has arrived."""
        return not self._refused and bool(self._head.data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, or refuse the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._place = self._places.take()
        if self._place is None and self._displace_another():
            self._place = self._places.take()
        self._gates[self] = asyncio.get_running_loop().time()
        if self._place is None:
            self._refuse_for_place(RefusedConnection.NO_PLACE)
            return
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.header_seconds, self._on_timeout
        )

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer of the listener.

        The event loop reads into it and calls ``buffer_updated`` before it
        turns to another connection.
        """
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Count what has arrived; hand over a whole head."""
        if self._refused:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_LINGERING_BYTES:
                assert self._transport is not None
                self._transport.pause_reading()
            return
        state = self._head.feed(bytes(memoryview(self._buffer)[:nbytes]))
        match state:
            case HeadState.TOO_LONG:
                self._refuse(
                    RefusedConnection.HEAD_TOO_LONG,
                    "400 Bad Request",
                    Refusal(
                        RefusalReason.BAD_REQUEST,
                        "the request line and headers exceed "
                        f"{self._limits.head_bytes} bytes",
                    ),
                    "x-should-retry: false",
                )
            case HeadState.EMPTY_LINES:
                self._refuse(
                    RefusedConnection.EMPTY_LINES,
                    "400 Bad Request",
                    Refusal(
                        RefusalReason.BAD_REQUEST,
                        f"over {MAX_EMPTY_BYTES} bytes of empty lines",
                    ),
                    "x-should-retry: false",
                )
            case HeadState.ARRIVING:
                if not self._lease.resize(len(self._head.data)):
                    self._refuse_for_room()
            case HeadState.WHOLE:
                self._hand_over()

    def eof_received(self) -> bool:
        """Close the connection."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back all that the connection holds."""
        self._leave()
        self._transport = None
        if self._place is not None:
            self._place.release()
        if self._lingers:
            self._lingers = False
            self._places.process.end_lingering()

    def close(self) -> None:
        """Close the connection without an answer."""
        if self._transport is not None:
            self._transport.abort()

    def _displace_another(self) -> bool:
        """Refuse the connection whose first head is incomplete for longest.

        Otherwise a crowd of idle connections would keep out all others until
        their time-out.  The first gate is the oldest one with a place: refused
        ones leave the table.
        """
        oldest = next(iter(self._gates.items()), None)
        if oldest is None:
            return False
        gate, since = oldest
        if asyncio.get_running_loop().time() - since < DISPLACED_AFTER_SECONDS:
            return False
        gate.displace()
        return True

    def displace(self) -> None:
        """Refuse this connection, since another one needs its place."""
        self._refuse_for_place(RefusedConnection.DISPLACED)

    def _hand_over(self) -> None:
        transport, place = self._transport, self._place
        assert transport is not None
        assert place is not None
        data = bytes(self._head.data)
        self._leave()
        self._transport = self._place = None
        self._upgrade(transport, data, place)

    def _leave(self) -> None:
        self._gates.pop(self, None)
        self._lease.release()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._refuse(
            RefusedConnection.HEAD_TIMEOUT,
            "408 Request Timeout",
            Refusal(
                RefusalReason.BAD_REQUEST,
                "the request line and headers did not arrive in time",
            ),
            "x-should-retry: false",
        )

    def _refuse_for_place(self, reason: RefusedConnection) -> None:
        self._refuse(
            reason,
            "503 Service Unavailable",
            Refusal(RefusalReason.NO_ROOM, "no place for another connection"),
            f"retry-after: {RETRY_AFTER_SECONDS}",
        )

    def _refuse_for_room(self) -> None:
        self._refuse(
            RefusedConnection.NO_ROOM,
            "503 Service Unavailable",
            Refusal(RefusalReason.NO_ROOM, "no room for the request"),
            f"retry-after: {RETRY_AFTER_SECONDS}",
        )

    def _refuse(
        self,
        reason: RefusedConnection,
        status: str,
        refusal: Refusal,
        *headers: str,
    ) -> None:
        """Answer and close; keep a few connections until they are read.

        Closing a connection with unread bytes resets it, and its client may
        lose the answer.
        """
        transport = self._transport
        assert transport is not None
        self._refused = True
        self._head = HeadBuffer(0)
        self._leave()
        if self._place is not None:
            self._place.release()
        transport.write(refusal_bytes(status, refusal, *headers))
        self._places.process.refused(reason)
        self._lingers = self._places.process.begin_lingering()
        if self._lingers:
            # The client may have reset the connection meanwhile.
            with contextlib.suppress(OSError):
                transport.write_eof()
            self._timer = asyncio.get_running_loop().call_later(
                LINGERING_TIMEOUT_SECONDS, self.close
            )
        else:
            transport.close()
