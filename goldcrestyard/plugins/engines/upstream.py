"""HTTP client that sends one attempt to an engine and checks its answer.

An answer counts only if it belongs to the attempt and is complete; otherwise
the attempt has failed.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import msgspec

from goldcrestyard.core.attempts import (
    Answered,
    AttemptFailure,
    AttemptOutcome,
    Broken,
    TurnedAway,
    Unreached,
    describe_error,
    proves_not_run,
)
from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.core.headers import CORRELATION_HEADER, REQUEST_ID_HEADER
from goldcrestyard.core.ids import AttemptId, CorrelationId
from goldcrestyard.core.records import Target
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.plugins.engines.completeness import ChoiceTracker
from goldcrestyard.plugins.engines.event_stream import (
    EndOfStream,
    MalformedEvent,
    Piece,
    read_events,
)
from goldcrestyard.plugins.engines.requests import InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings

MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Finished:
    """The stream was complete and ended with its end mark."""


StreamStep = Piece | Finished | Broken


class EngineClient:
    """Sends attempts to engines.

    No header of the caller is forwarded, so that no target receives a
    caller's key.
    """

    def __init__(self, session: aiohttp.ClientSession, settings: EngineSettings):
        self._session = session
        self._settings = settings

    async def call(
        self,
        target: Target,
        request: InferenceRequest,
        attempt: AttemptId,
        correlation_id: CorrelationId,
    ) -> AttemptOutcome:
        """Send a request whose answer is one JSON object."""
        async with self._open(target, request, attempt, correlation_id) as opened:
            if not isinstance(opened, aiohttp.ClientResponse):
                return opened
            body = await self._read_body(target, opened)
            if isinstance(body, Broken):
                return body
            if opened.status >= 400:
                return Answered(opened.status, opened.content_type, body)
            return _check_answer(opened, body, request, attempt)

    @asynccontextmanager
    async def stream(
        self,
        target: Target,
        request: InferenceRequest,
        attempt: AttemptId,
        correlation_id: CorrelationId,
    ) -> AsyncIterator[AsyncIterator[StreamStep] | AttemptOutcome]:
        """Send a request whose answer is an event stream.

        Yields an iterator of the stream's events, which ends with
        ``Finished`` or ``Broken``, or the outcome if there is no stream.
        """
        async with self._open(target, request, attempt, correlation_id) as opened:
            if not isinstance(opened, aiohttp.ClientResponse):
                yield opened
            elif opened.content_type != "text/event-stream":
                body = await self._read_body(target, opened)
                if isinstance(body, Broken):
                    yield body
                elif opened.status >= 400:
                    yield Answered(opened.status, opened.content_type, body)
                else:
                    yield Broken(f"unexpected content type {opened.content_type}")
            else:
                yield self._steps(target, request, opened, attempt)

    @asynccontextmanager
    async def _open(
        self,
        target: Target,
        request: InferenceRequest,
        attempt: AttemptId,
        correlation_id: CorrelationId,
    ) -> AsyncIterator[aiohttp.ClientResponse | AttemptFailure]:
        timeout = aiohttp.ClientTimeout(
            total=self._settings.request_seconds,
            connect=self._settings.connect_seconds,
            sock_read=silence_timeout_seconds(request, self._settings),
        )
        try:
            response = await self._session.post(
                f"http://{target.address}{request.path}",
                data=msgspec.json.encode(request.body),
                headers={
                    "content-type": "application/json",
                    REQUEST_ID_HEADER: attempt,
                    CORRELATION_HEADER: correlation_id,
                },
                skip_auto_headers=("accept-encoding", "user-agent"),
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            yield Unreached(describe_error(error))
            return
        except aiohttp.SocketTimeoutError:
            yield await self._probe_after_silence(target)
            return
        except (aiohttp.ClientError, TimeoutError) as error:
            yield Broken(describe_error(error))
            return
        try:
            yield _check_headers(response, attempt)
        finally:
            # The connection is closed if the answer was not read completely,
            # so that the rest cannot be taken for another answer.
            response.release() if response.content.at_eof() else response.close()

    async def _read_body(
        self, target: Target, response: aiohttp.ClientResponse
    ) -> bytes | Broken:
        body = bytearray()
        try:
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    return Broken("answer is too long")
        except aiohttp.SocketTimeoutError:
            return await self._probe_after_silence(target)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Broken(
                f"connection failed during the answer: {describe_error(error)}"
            )
        return bytes(body)

    async def _steps(
        self,
        target: Target,
        request: InferenceRequest,
        response: aiohttp.ClientResponse,
        attempt: AttemptId,
    ) -> AsyncIterator[StreamStep]:
        choices = ChoiceTracker(request.fields.n or 1)
        events = read_events(response.content)
        try:
            while True:
                # Bytes that are no event, such as comments, do not count.
                async with asyncio.timeout(self._settings.stall_seconds):
                    event = await anext(events, None)
                match event:
                    case None:
                        break
                    case EndOfStream():
                        missing = choices.missing()
                        yield Broken(missing) if missing is not None else Finished()
                        return
                    case MalformedEvent(detail=detail):
                        yield Broken(f"malformed event: {detail}")
                        return
                    case Piece():
                        fault = _find_fault(event, attempt, choices)
                        if fault is not None:
                            yield Broken(fault)
                            return
                        yield event
        except TimeoutError:
            # Includes the time-out of the socket, which counts bytes.
            yield await self._probe_after_silence(target)
            return
        except (aiohttp.ClientError, asyncio.IncompleteReadError) as e:
            yield Broken(f"connection failed during the stream: {describe_error(e)}")
            return
        yield Broken("stream ended without its end mark")

    async def _probe_after_silence(self, target: Target) -> Broken:
        """Return the failure of a connection without data for too long.

        It tells whether the engine answers a probe on a new connection, since
        only the old connection may have failed.
        """
        alive = await self._probe(target)
        state = "answers" if alive else "does not answer"
        return Broken(
            f"connection timed out; the engine {state} on a new one",
            target_answers=alive,
        )

    async def _probe(self, target: Target) -> bool:
        timeout = aiohttp.ClientTimeout(total=self._settings.probe_seconds)
        connector = BoundedConnector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
                session.get(f"http://{target.address}/healthz") as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def silence_timeout_seconds(
    request: InferenceRequest, settings: EngineSettings
) -> float:
    """Return how long an engine may send no data before it counts as failed.

    An answer that is not streamed arrives only when it is complete, so the
    time that a slow engine takes to generate it is added.
    """
    if request.fields.stream:
        return settings.stall_seconds
    if request.fields.max_tokens is None:
        return settings.request_seconds
    generating = request.fields.max_tokens * settings.seconds_per_token
    return min(settings.request_seconds, settings.stall_seconds + generating)


def _find_fault(piece: Piece, attempt: AttemptId, choices: ChoiceTracker) -> str | None:
    if "error" in piece.data:
        return f"engine error: {piece.data['error']}"
    if not matches_attempt(piece.data.get("id"), attempt):
        return "event belongs to another request"
    return choices.add(piece.data, piece.event_id)


def matches_attempt(answer_id: object, attempt: AttemptId) -> bool:
    """Return whether an answer's id ends with the id of an attempt.

    Engines put a prefix of their own before the request id.
    """
    return isinstance(answer_id, str) and answer_id.endswith(attempt)


def _check_headers(
    response: aiohttp.ClientResponse, attempt: AttemptId
) -> aiohttp.ClientResponse | AttemptFailure:
    if response.headers.get(REQUEST_ID_HEADER) != attempt:
        return Broken("answer belongs to another request")
    if proves_not_run(response.status, response.headers):
        return TurnedAway(response.status, f"engine answered {response.status}")
    if response.status >= 500:
        return Broken(f"engine answered {response.status}")
    return response


def _check_answer(
    response: aiohttp.ClientResponse,
    body: bytes,
    request: InferenceRequest,
    attempt: AttemptId,
) -> AttemptOutcome:
    data = decode_json(body, dict[str, object])
    if isinstance(data, Malformed):
        return Broken(f"answer is not a complete JSON object: {data.detail}")
    if not matches_attempt(data.get("id"), attempt):
        return Broken("answer belongs to another request")
    choices = ChoiceTracker(request.fields.n or 1)
    fault = choices.add(data) or choices.missing()
    if fault is not None:
        return Broken(f"incomplete answer: {fault}")
    return Answered(response.status, response.content_type, body)
