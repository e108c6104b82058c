"""HTTP client for requests to targets.

Failures are distinguished by what is certain afterwards: that no request was
sent, that the target has not run the request, or neither.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager, asynccontextmanager, nullcontext

import aiohttp
import structlog
from aiohttp import hdrs
from multidict import CIMultiDict
from yarl import URL

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    Withheld,
    describe_error,
)
from goldcrestyard.core.calls import StreamEvent, TargetCall, TargetReply
from goldcrestyard.core.decoding import is_header, parse_count, parse_decimal
from goldcrestyard.core.ids import RequestRate, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.leaving.known import LeavingTargets
from goldcrestyard.kernel.byte_room import ByteLease, ByteRoom
from goldcrestyard.kernel.http_client import (
    MAX_ANSWER_BYTES,
    BoundedConnector,
    InvalidStatusError,
    UnboundedAnswerError,
    read_at_most,
    read_to_end,
    without_retries,
)
from goldcrestyard.platform.event_stream import read_events
from goldcrestyard.platform.hop_headers import end_to_end
from goldcrestyard.platform.names import (
    ANSWERING_TARGET_HEADER,
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    REQUEST_LIMIT_HEADER,
    SIGNATURE_HEADER,
    TARGET_ID_HEADER,
    URGENCY_HEADER,
    VERSION_HEADER,
)

logger = structlog.get_logger(__name__)

CONNECT_TIMEOUT_SECONDS = 0.4
"""Longest wait in seconds for a new connection, several round trips between
regions.  A lost SYN packet is sent again only after a second; before then
another target can serve the caller."""

KEEP_ALIVE_SECONDS = 30.0
"""Time in seconds after which an idle connection is closed.  It is longer than
the time between two steps of a trainer, which submits its items in bursts.  A
connection that the target has closed is not used again."""

PROBE_TIMEOUT_SECONDS = 0.1
"""Longest wait in seconds for a connection that shows whether a target has
ended, two round trips between regions.  A request waits for it before it is
sent to another target."""

DROPPED_CONNECTION_SECONDS = 0.1
"""Time in seconds after the sending of a request within which a broken
connection counts as dropped by the target while it was idle, not during the
work.  It is two round trips between regions."""

SILENT_CONNECTION_SECONDS = 0.5
"""Time in seconds without an answer after which a cancelled request ends the
reuse of the connections to its target.  They may no longer deliver data, while
new connections do."""

MAX_DISCARDED_SESSIONS = 64
"""Maximum number of discarded sessions that stay open for their running
requests; beyond it the oldest one is closed."""

DEADLINE_MARGIN_SECONDS = 0.25
"""Time in seconds after the deadline for which the client still waits for an
answer.  An answer that a target sent before the deadline may be in transit."""

NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
BODILESS_STATUSES = frozenset({204, 304})
MISDIRECTED_STATUS = 421

LEAST_URGENCY = 9
"""Largest number that the header for the urgency may have."""

MALFORMED_ANSWER_ERRORS = (
    aiohttp.ClientResponseError,
    InvalidStatusError,
    UnboundedAnswerError,
)
"""Errors for an answer whose head is none or too long, or has a status that no
answer may have."""

SUPPRESSED_DEFAULT_HEADERS = ("accept", "accept-encoding", "user-agent", "content-type")
"""Default headers of the HTTP library that are not added to a request."""


class HttpReply(TargetReply):
    """A target's answer whose status and headers have arrived."""

    def __init__(self, response: aiohttp.ClientResponse, lease: ByteLease) -> None:
        self._response = response
        self._lease = lease
        # The response releases its connection at its end, but the protocol
        # object is needed then to detect how the connection ended.
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self._has_length = (
            response.content_length is not None
            or "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
        )
        self.status = response.status
        self.headers = tuple(
            (name, value)
            for name, value in end_to_end(response.headers.items())
            if name.lower() != LEAVING_HEADER.lower()
        )
        self.signature = response.headers.get(SIGNATURE_HEADER, "")
        version = parse_count(response.headers.get(VERSION_HEADER, ""))
        self.version = None if version is None else WeightVersion(version)

    async def read(self) -> bytes | Broken:
        """Return the whole body, or ``Broken`` if it is incomplete."""
        try:
            body = await read_at_most(self._response, MAX_ANSWER_BYTES, self._lease)
            self._check_end()
            return body
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(f"answer cut off: {describe_error(error)}")

    async def read_to_end(self, max_bytes: int) -> Broken | None:
        """Read the body without keeping it; ``Broken`` if it is incomplete."""
        try:
            await read_to_end(self._response, max_bytes)
            self._check_end()
            return None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(f"answer cut off: {describe_error(error)}")

    def events(self) -> AsyncIterator[StreamEvent | Broken]:
        """Yield the events, then ``Broken`` if the stream is incomplete."""
        return read_events(self._chunks, self._lease)

    async def _chunks(self) -> AsyncIterator[bytes]:
        async for chunk in self._response.content.iter_any():
            yield chunk
            # Data that is always there must not keep the other tasks waiting.
            await asyncio.sleep(0)
        self._check_end()

    def _check_end(self) -> None:
        """Raise if an answer of unknown length ended with a connection reset.

        The library takes any end of such an answer as its regular end.
        """
        if self._has_length or self.status in BODILESS_STATUSES:
            return
        if self._protocol is None:
            raise aiohttp.ClientPayloadError("no connection state at the answer's end")
        error = self._protocol.exception()
        if isinstance(error, OSError):
            raise error


class HttpTargetClient:
    """Sends requests to targets on new or reused connections.

    A request that may run only once gets a new connection, since a failure to
    open the connection proves that nothing was sent.  Other requests reuse
    connections, where the request id in an answer distinguishes it from a
    late answer to an earlier request.
    """

    def __init__(
        self,
        on_limit: Callable[[Target, RequestRate | None], None] | None = None,
        leaving: LeavingTargets | None = None,
        room: ByteRoom | None = None,
        exclusions: TargetExclusions | None = None,
        may_send_again: Callable[[Target], bool] = lambda _: True,
    ) -> None:
        """Create a client that reports the request limit of each answer.

        ``on_limit`` gets None as the limit if an answer names none.  A target
        in ``leaving`` gets no more requests, and those that say in an answer
        that they leave are added to it.  The bodies that are being read share
        ``room``.  ``exclusions`` tell which data centres are evacuated, and
        count the running requests.  ``may_send_again`` tells whether a dropped
        request may be sent to a target once more without a further permit.
        """
        self._on_limit = on_limit
        self._leaving = leaving
        self._exclusions = exclusions
        self._may_send_again = may_send_again
        self._room = room or ByteRoom(2 * MAX_ANSWER_BYTES)
        self._sessions_by_address: dict[str, aiohttp.ClientSession] = {}
        self._discarded_sessions: deque[aiohttp.ClientSession] = deque()
        self._single_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the session for single requests; needs an event loop."""
        self._single_session = _new_session(BoundedConnector(limit=0, force_close=True))

    async def stop(self) -> None:
        """Close all connections."""
        sessions = [*self._sessions_by_address.values(), *self._discarded_sessions]
        if self._single_session is not None:
            sessions.append(self._single_session)
        for session in sessions:
            await session.close()

    def session(self, address: str) -> aiohttp.ClientSession:
        """Return the session with the reusable connections to an address."""
        session = self._sessions_by_address.get(address)
        if session is None:
            session = self._sessions_by_address[address] = _new_session(
                BoundedConnector(limit=0, keepalive_timeout=KEEP_ALIVE_SECONDS)
            )
        return session

    async def discard_connections(self, address: str) -> None:
        """Stop reusing the present connections to an address.

        If one of them no longer delivers data, the others may not either.
        Requests that are running on them continue.
        """
        session = self._sessions_by_address.pop(address, None)
        if session is None:
            return
        self._discarded_sessions.append(session)
        if len(self._discarded_sessions) > MAX_DISCARDED_SESSIONS:
            await self._discarded_sessions.popleft().close()

    @property
    def single_session(self) -> aiohttp.ClientSession:
        """Session whose connections are closed after each request."""
        assert self._single_session is not None
        return self._single_session

    @asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AsyncIterator[TargetReply | AttemptFailure]:
        """Send a request; leaving the block closes the answer.

        Closing an answer that is not read to its end cancels the work at the
        target.  A repeatable call may be sent twice.
        """
        with self._count_running(target):
            async with self._open(target, call, seconds_left) as reply:
                yield reply

    def _count_running(self, target: Target) -> AbstractContextManager[None]:
        if self._exclusions is None:
            return nullcontext()
        return self._exclusions.running(target)

    @asynccontextmanager
    async def _open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AsyncIterator[TargetReply | AttemptFailure]:
        clock = asyncio.get_running_loop().time
        began = clock()
        answer = await self._send_with_retry(target, call, seconds_left)
        if not isinstance(answer, aiohttp.ClientResponse):
            yield answer
            return
        lease = self._room.lease()
        try:
            if self._on_limit is not None and _is_from(answer, call):
                self._on_limit(target, _limit_of(answer))
            echoed = answer.headers.get(REQUEST_ID_HEADER)
            # Without an id, an answer on a reused connection may be a late one
            # to another request.
            if echoed == call.request or (echoed is None and not call.repeatable):
                self.note_leaving(target, answer, clock() - began)
            yield _failure_of(answer, call) or HttpReply(answer, lease)
        finally:
            lease.release()
            answer.close()

    async def refuses_connections(self, target: Target) -> bool:
        """Return whether a target refuses a new connection."""
        host, _, port = target.address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError, ValueError):
            return False
        writer.close()
        return False

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has said that it leaves."""
        return self._leaving is not None and self._leaving.includes(target)

    def is_evacuated(self, target: Target) -> bool:
        """Return whether the data centre of a target is evacuated."""
        return self._exclusions is not None and self._exclusions.is_evacuated(target)

    def note_leaving(
        self,
        target: Target,
        response: aiohttp.ClientResponse,
        seconds_since_sent: float,
    ) -> None:
        """Record the target as one that leaves if its answer says so.

        A misdirected request was answered by whatever has the address now.
        """
        named = response.headers.get(ANSWERING_TARGET_HEADER)
        from_target = (
            response.status != MISDIRECTED_STATUS
            if named is None
            else named == target.id
        )
        if (
            self._leaving is not None
            and from_target
            and response.headers.getall(LEAVING_HEADER, []) == ["1"]
        ):
            self._leaving.observe(target, seconds_since_sent)

    async def _send_with_retry(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> aiohttp.ClientResponse | AttemptFailure:
        """Return the response once its head has arrived, or the failure.

        A target may drop an idle connection without notice and reset it when
        the next request arrives, so a repeatable call is sent a second time.
        """
        if not call.repeatable:
            return await self._send(self.single_session, target, call, seconds_left)
        clock = asyncio.get_running_loop().time
        began = clock()
        session = self.session(target.address)
        try:
            answer = await self._send(session, target, call, seconds_left)
        except asyncio.CancelledError:
            if clock() - began > SILENT_CONNECTION_SECONDS:
                await self.discard_connections(target.address)
            raise
        seconds = clock() - began
        if isinstance(answer, Broken):
            await self.discard_connections(target.address)
        # A second sending that is withheld would hide that the first one may
        # have run.
        if (
            isinstance(answer, Broken)
            and seconds < DROPPED_CONNECTION_SECONDS
            and not self.is_leaving(target)
            and not self.is_evacuated(target)
            and self._may_send_again(target)
        ):
            logger.info(
                "connection broke; sending the request again on a new one",
                request=call.request,
                target=target.id,
                incarnation=target.incarnation,
                outcome=answer.detail,
                seconds=round(seconds, 4),
            )
            left = seconds_left - seconds
            second = await self._send(self.single_session, target, call, left)
            # A target that is gone may have run the first one before.
            if not isinstance(second, Unreached):
                answer = second
        return answer

    async def _send(
        self,
        session: aiohttp.ClientSession,
        target: Target,
        call: TargetCall,
        seconds_left: float,
    ) -> aiohttp.ClientResponse | AttemptFailure:
        # Checked for each sending: other answers may have arrived since the
        # target was chosen.
        if self.is_leaving(target):
            return Withheld("the target has said that it leaves", 0.0)
        if self.is_evacuated(target):
            return Withheld("the data centre of the target is evacuated", 0.0)
        try:
            return await session.request(
                call.method,
                URL(f"http://{target.address}{call.path_and_query}", encoded=True),
                data=call.body or None,
                headers=_headers(target, call, seconds_left),
                skip_auto_headers=SUPPRESSED_DEFAULT_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=seconds_left + DEADLINE_MARGIN_SECONDS,
                    sock_connect=CONNECT_TIMEOUT_SECONDS,
                ),
                allow_redirects=False,
                middlewares=(without_retries,),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unreached(describe_error(error))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Broken(
                f"no answer: {describe_error(error)}",
                malformed=isinstance(error, MALFORMED_ANSWER_ERRORS),
            )


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _headers(target: Target, call: TargetCall, seconds_left: float) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(call.headers)
    headers[hdrs.HOST] = call.host
    headers[REQUEST_ID_HEADER] = call.request
    headers[TARGET_ID_HEADER] = target.id
    headers[DEADLINE_HEADER] = str(max(1, int(seconds_left * 1000)))
    headers.popall(ORGANISATION_HEADER, None)
    if call.organisation is not None:
        headers[ORGANISATION_HEADER] = call.organisation
    if call.urgency is not None:
        headers[URGENCY_HEADER] = str(max(0, min(call.urgency, LEAST_URGENCY)))
    if call.resume_after is not None:
        headers[LAST_EVENT_HEADER] = str(call.resume_after)
    return headers


def _is_from(response: aiohttp.ClientResponse, call: TargetCall) -> bool:
    """Return whether a response is the intended target's answer to a call."""
    return (
        response.headers.get(REQUEST_ID_HEADER) == call.request
        and response.status != MISDIRECTED_STATUS
    )


def _limit_of(response: aiohttp.ClientResponse) -> RequestRate | None:
    """Return the limit that an answer names; None if it names no valid one."""
    limit = parse_decimal(response.headers.get(REQUEST_LIMIT_HEADER, ""))
    return None if limit is None or limit < 0 else RequestRate(limit)


def _failure_of(
    response: aiohttp.ClientResponse, call: TargetCall
) -> AttemptFailure | None:
    """Return a failure if a response is no valid answer to the call."""
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != call.request:
        return Broken("answer to another request")
    if echoed is None and call.repeatable:
        # On a reused connection it may be a late copy of an earlier answer,
        # and "not run" in it would say nothing about this request.
        return Broken("answer without request id on a reused connection")
    not_run = NOT_RUN_HEADER in response.headers and response.status in NOT_RUN_STATUSES
    if not_run or response.status == MISDIRECTED_STATUS:
        return TurnedAway(response.status, f"target answered {response.status}")
    signature = response.headers.get(SIGNATURE_HEADER)
    if 200 <= response.status < 300 and (
        echoed is None
        or signature is None
        or not is_header(SIGNATURE_HEADER, signature)
    ):
        return Broken("answer without request id or signature", malformed=True)
    return None
