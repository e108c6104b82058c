"""One attempt: sending a request to an engine and reading its answer."""

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
)
from goldcrestyard.core.ids import AttemptId, CorrelationId
from goldcrestyard.core.records import Target
from goldcrestyard.plugins.engines.event_stream import (
    EndOfStream,
    Malformed,
    Piece,
    read_events,
)
from goldcrestyard.plugins.engines.requests import InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings

REQUEST_ID_HEADER = "x-request-id"
NOT_RUN_HEADER = "x-not-run"
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Finished:
    """The stream has ended with its end mark after a finish reason."""


StreamStep = Piece | Finished | Broken


class EngineClient:
    """Sends attempts to engines.

    The headers are built here and nothing of the caller's is passed on, so
    no target sees a caller's key.
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
            try:
                body = await _read_whole(opened.content)
            except (aiohttp.ClientError, TimeoutError) as error:
                return Broken(f"answer broke off: {describe(error)}")
            if body is None:
                return Broken("answer is too long")
            if opened.status >= 400:
                return Answered(opened.status, opened.content_type, body)
            return _check_answer(opened, body, attempt)

    @asynccontextmanager
    async def stream(
        self,
        target: Target,
        request: InferenceRequest,
        attempt: AttemptId,
        correlation_id: CorrelationId,
    ) -> AsyncIterator[AsyncIterator[StreamStep] | AttemptOutcome]:
        """Send a request whose answer is an event stream.

        Yields the steps of the stream, of which the last is ``Finished`` or
        ``Broken``, or the outcome if there is no stream.
        """
        async with self._open(target, request, attempt, correlation_id) as opened:
            if not isinstance(opened, aiohttp.ClientResponse):
                yield opened
            elif opened.content_type != "text/event-stream":
                body = await opened.read()
                if opened.status >= 400:
                    yield Answered(opened.status, opened.content_type, body)
                else:
                    yield Broken(f"unexpected content type {opened.content_type}")
            else:
                yield self._steps(opened, attempt)

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
            sock_read=self._settings.stall_seconds,
        )
        try:
            response = await self._session.post(
                f"http://{target.address}{request.path}",
                data=msgspec.json.encode(request.body),
                headers={
                    "content-type": "application/json",
                    REQUEST_ID_HEADER: attempt,
                    "x-correlation-id": correlation_id,
                },
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            yield Unreached(describe(error))
            return
        except (aiohttp.ClientError, TimeoutError) as error:
            yield Broken(describe(error))
            return
        try:
            yield _check_head(response, attempt)
        finally:
            # An answer that was not read to its end closes the connection,
            # so that the rest of it cannot reach another request.
            response.release() if response.content.at_eof() else response.close()

    async def _steps(
        self, response: aiohttp.ClientResponse, attempt: AttemptId
    ) -> AsyncIterator[StreamStep]:
        finish_reason_seen = False
        try:
            async for event in read_events(response.content):
                match event:
                    case EndOfStream() if finish_reason_seen:
                        yield Finished()
                        return
                    case EndOfStream():
                        yield Broken("stream ended without a finish reason")
                        return
                    case Malformed(detail=detail):
                        yield Broken(f"malformed event: {detail}")
                        return
                    case Piece(data=data):
                        if "error" in data:
                            yield Broken(f"engine error: {data['error']}")
                            return
                        if not belongs_to(data.get("id"), attempt):
                            yield Broken("event of another request")
                            return
                        finish_reason_seen |= has_finish_reason(data)
                        yield event
        except (aiohttp.ClientError, TimeoutError, asyncio.IncompleteReadError) as e:
            yield Broken(f"stream broke off: {describe(e)}")
            return
        yield Broken("stream ended without its end mark")


def belongs_to(answer_id: object, attempt: AttemptId) -> bool:
    """Return whether an answer's id carries the id of an attempt.

    Engines put their own prefix before the request id that they were given.
    """
    return isinstance(answer_id, str) and answer_id.endswith(attempt)


def has_finish_reason(data: dict[str, object]) -> bool:
    """Return whether a piece says why its choices have ended."""
    choices = data.get("choices")
    return isinstance(choices, list) and any(
        isinstance(choice, dict) and choice.get("finish_reason") for choice in choices
    )


def generated_tokens(outcome: AttemptOutcome) -> float | None:
    """Return the tokens that an answer says it generated, if it does."""
    if not isinstance(outcome, Answered):
        return None
    try:
        answer = msgspec.json.decode(outcome.body, type=_AnswerWithUsage)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return answer.usage.completion_tokens if answer.usage is not None else None


@dataclass(frozen=True, slots=True)
class _Usage:
    completion_tokens: float | None = None


@dataclass(frozen=True, slots=True)
class _AnswerWithUsage:
    usage: _Usage | None = None


def describe(error: Exception) -> str:
    """Return a text for an error that may have none of its own."""
    return str(error) or type(error).__name__


async def _read_whole(content: aiohttp.StreamReader) -> bytes | None:
    """Return a whole body, or None if it is too long."""
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            return None
    return bytes(body)


def _check_head(
    response: aiohttp.ClientResponse, attempt: AttemptId
) -> aiohttp.ClientResponse | AttemptFailure:
    if response.headers.get(REQUEST_ID_HEADER) != attempt:
        return Broken("answer of another request")
    if response.headers.get(NOT_RUN_HEADER) == "true":
        return TurnedAway(response.status, f"engine answered {response.status}")
    if response.status >= 500:
        return Broken(f"engine answered {response.status}")
    return response


def _check_answer(
    response: aiohttp.ClientResponse, body: bytes, attempt: AttemptId
) -> AttemptOutcome:
    try:
        data = msgspec.json.decode(body, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Broken(f"answer is not whole JSON: {error}")
    if not belongs_to(data.get("id"), attempt):
        return Broken("answer of another request")
    if not has_finish_reason(data):
        return Broken("answer has no finish reason")
    return Answered(response.status, response.content_type, body)
