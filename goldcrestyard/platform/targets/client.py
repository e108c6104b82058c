"""Requests to targets over HTTP."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import hdrs
from multidict import CIMultiDict
from yarl import URL

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    describe_error,
)
from goldcrestyard.core.calls import StreamEvent, TargetCall, TargetReply
from goldcrestyard.core.ids import WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.kernel.http_client import send_once
from goldcrestyard.platform.event_stream import read_events
from goldcrestyard.platform.hop_headers import end_to_end
from goldcrestyard.platform.names import (
    DEADLINE,
    LAST_EVENT,
    NOT_RUN,
    ORGANISATION,
    REQUEST_ID,
    SIGNATURE,
    TARGET_ID,
    VERSION,
)

CONNECT_SECONDS = 0.4
"""Several round trips between regions; a lost opening packet is sent again
only after a second, when another target serves the caller sooner."""

KEEP_SECONDS = 9.0
"""Longer than the time between two steps of a trainer, whose items come in
waves; a connection that the target has closed is not used again."""

DROPPED_SECONDS = 0.1
"""A connection that breaks within this time was dropped while it was idle,
rather than during the work; two round trips between regions."""

SILENT_SECONDS = 0.5
"""A request that is given up after this long without an answer may be on a
connection that has gone silent for good, while new ones work."""

RETIRED_SESSIONS = 64

HEAD_MARGIN_SECONDS = 0.25
"""A target that keeps its deadline answers within this time after it."""

NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
BODILESS_STATUSES = frozenset({204, 304})
OTHER_TARGET_STATUS = 421

SKIPPED_HEADERS = ("accept", "accept-encoding", "user-agent", "content-type")
"""Headers that the library would add to those of the caller."""


class HttpReply(TargetReply):
    """An answer whose head has arrived."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        # Kept, since the response lets go of its connection at its end.
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self._has_length = (
            response.content_length is not None
            or "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
        )
        self.status = response.status
        self.headers = end_to_end(response.headers.items())
        self.signature = response.headers.get(SIGNATURE, "")
        version = response.headers.get(VERSION, "")
        self.version = WeightVersion(int(version)) if version.isdigit() else None

    async def read(self) -> bytes | Broken:
        """Return the whole body, or why it is not whole."""
        try:
            body = await self._response.read()
            self._check_end()
            return body
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(f"answer broke off: {describe_error(error)}")

    def events(self) -> AsyncIterator[StreamEvent | Broken]:
        """Yield the events; one that breaks off ends with ``Broken``."""
        return read_events(self._chunks)

    async def _chunks(self) -> AsyncIterator[bytes]:
        async for chunk in self._response.content.iter_any():
            yield chunk
        self._check_end()

    def _check_end(self) -> None:
        """Raise if an answer without a length ended with a reset.

        The library takes every end of such an answer for its whole end.
        """
        if self._has_length or self.status in BODILESS_STATUSES:
            return
        if self._protocol is None:
            raise aiohttp.ClientPayloadError("it cannot be told how the answer ended")
        error = self._protocol.exception()
        if isinstance(error, OSError):
            raise error


class HttpTargetClient:
    """Sends requests, each on a connection of its own where it must be.

    A request that may run once only has a new connection: one that cannot be
    opened proves that nothing was sent.  Others share kept connections, where
    an answer is told from a late one by the id that it echoes.
    """

    def __init__(self) -> None:
        self._sessions_by_address: dict[str, aiohttp.ClientSession] = {}
        self._retired: deque[aiohttp.ClientSession] = deque()
        self._single_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the session for single requests; needs an event loop."""
        self._single_session = _new_session(
            aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def stop(self) -> None:
        """Close all connections."""
        sessions = [*self._sessions_by_address.values(), *self._retired]
        if self._single_session is not None:
            sessions.append(self._single_session)
        for session in sessions:
            await session.close()

    def session(self, address: str) -> aiohttp.ClientSession:
        """Return the session with the connections kept to an address."""
        session = self._sessions_by_address.get(address)
        if session is None:
            session = self._sessions_by_address[address] = _new_session(
                aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_SECONDS)
            )
        return session

    async def retire(self, address: str) -> None:
        """Use none of the connections kept to an address any more.

        When one has fallen silent, the others may have, too.  Requests that
        are running on them go on.
        """
        session = self._sessions_by_address.pop(address, None)
        if session is None:
            return
        self._retired.append(session)
        if len(self._retired) > RETIRED_SESSIONS:
            await self._retired.popleft().close()

    @property
    def single_session(self) -> aiohttp.ClientSession:
        """The session whose connections are closed after each request."""
        assert self._single_session is not None
        return self._single_session

    @asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AsyncIterator[TargetReply | AttemptFailure]:
        """Send a request once; leaving the block ends the target's work."""
        answer = await self._ask(target, call, seconds_left)
        if not isinstance(answer, aiohttp.ClientResponse):
            yield answer
            return
        try:
            yield _judge(answer, call) or HttpReply(answer)
        finally:
            answer.close()

    async def _ask(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> aiohttp.ClientResponse | AttemptFailure:
        """Return the answer's head, or why there is none.

        A target may drop an idle connection without notice, and resets what
        is sent on it next; a call that may be repeated has a second try.
        """
        if not call.repeatable:
            return await self._send(self.single_session, target, call, seconds_left)
        clock = asyncio.get_running_loop().time
        began = clock()
        session = self.session(target.address)
        try:
            answer = await self._send(session, target, call, seconds_left)
        except asyncio.CancelledError:
            if clock() - began > SILENT_SECONDS:
                await self.retire(target.address)
            raise
        seconds = clock() - began
        if isinstance(answer, Broken):
            await self.retire(target.address)
        if isinstance(answer, Broken) and seconds < DROPPED_SECONDS:
            left = seconds_left - seconds
            answer = await self._send(self.single_session, target, call, left)
        return answer

    async def _send(
        self,
        session: aiohttp.ClientSession,
        target: Target,
        call: TargetCall,
        seconds_left: float,
    ) -> aiohttp.ClientResponse | AttemptFailure:
        try:
            return await session.request(
                call.method,
                URL(f"http://{target.address}{call.path_and_query}", encoded=True),
                data=call.body or None,
                headers=_headers(target, call, seconds_left),
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=seconds_left + HEAD_MARGIN_SECONDS,
                    sock_connect=CONNECT_SECONDS,
                ),
                allow_redirects=False,
                middlewares=(send_once,),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unreached(describe_error(error))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Broken(f"no answer: {describe_error(error)}")


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _headers(target: Target, call: TargetCall, seconds_left: float) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(call.headers)
    headers[hdrs.HOST] = call.host
    headers[REQUEST_ID] = call.request
    headers[TARGET_ID] = target.id
    headers[DEADLINE] = str(max(1, int(seconds_left * 1000)))
    headers.popall(ORGANISATION, None)
    if call.organisation is not None:
        headers[ORGANISATION] = call.organisation
    if call.resume_after is not None:
        headers[LAST_EVENT] = str(call.resume_after)
    return headers


def _judge(response: aiohttp.ClientResponse, call: TargetCall) -> AttemptFailure | None:
    """Return why a response is no answer to the call, or None if it is one."""
    echoed = response.headers.get(REQUEST_ID)
    if echoed is not None and echoed != call.request:
        return Broken("answer of another request")
    not_run = NOT_RUN in response.headers and response.status in NOT_RUN_STATUSES
    if not_run or response.status == OTHER_TARGET_STATUS:
        return TurnedAway(response.status, f"target answered {response.status}")
    if 200 <= response.status < 300 and (
        echoed is None or SIGNATURE not in response.headers
    ):
        return Broken("an answer without its id or signature")
    return None
