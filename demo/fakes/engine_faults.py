"""Faults of the stand-in engine.

A request chooses its fault by the body field ``fault``, or
``POST /fake/faults`` sets the faults of the next requests.  The field
``fault_ticket`` limits the fault to one attempt of a request: it is the path
of a file, and only the engine that succeeds in removing it has the fault.
"""

import asyncio
import json
import os
import uuid
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from aiohttp import web


class Fault(Enum):
    """A fault of one request."""

    NONE = "none"
    CRASH_BEFORE = "crash_before"
    """Closes the connection before the request runs."""
    CRASH_AFTER_RUN = "crash_after_run"
    """Runs the request and closes the connection without an answer."""
    CRASH_DURING = "crash_during"
    """Closes the connection abruptly in the middle of the answer."""
    CRASH_AFTER = "crash_after"
    """Closes the connection abruptly after the whole answer."""
    TRUNCATED = "truncated"
    """Ends the answer in its middle without an error."""
    NO_END_MARK = "no_end_mark"
    """Leaves out ``[DONE]``."""
    NO_FINISH_REASON = "no_finish_reason"
    """Leaves out the finish reason."""
    ONE_CHOICE_OPEN = "one_choice_open"
    """Begins a second choice and never finishes it."""
    WRONG_ID = "wrong_id"
    """Answers with another id in the header."""
    OTHER_ANSWER = "other_answer"
    """Uses the id of another answer, from the third piece on."""
    DUPLICATE = "duplicate"
    """Sends a piece twice, with the same event id."""
    PIECE_AFTER_FINISH = "piece_after_finish"
    """Sends another piece after the finish reason."""
    MALFORMED = "malformed"
    """Sends an event, or a body, that is not JSON."""
    STALL = "stall"
    """Stops in the middle of the answer without closing the connection."""
    NEVER = "never"
    """Never answers and never closes the connection."""
    REFUSED_NOT_RUN = "refused_not_run"
    """Answers 503 with ``x-not-run``."""
    REFUSED = "refused"
    """Answers 503 without saying that the request has not run."""


@dataclass
class Faults:
    """The faults of the next requests."""

    waiting: deque[Fault] = field(default_factory=deque)

    def take(self, body: dict[str, Any]) -> Fault:
        """Return the fault for a request."""
        if self.waiting:
            return self.waiting.popleft()
        ticket = body.get("fault_ticket")
        if ticket is not None:
            try:
                os.unlink(ticket)
            except FileNotFoundError:
                return Fault.NONE
        return Fault(body.get("fault", "none"))

    async def set(self, request: web.Request) -> web.StreamResponse:
        """Set the faults of the next requests, one each."""
        self.waiting = deque(Fault(name) for name in await request.json())
        return web.json_response({})


async def before_run(
    fault: Fault, request: web.Request, request_id: str
) -> web.StreamResponse | None:
    """Return the answer of a fault before the run; None lets it run."""
    match fault:
        case Fault.CRASH_BEFORE:
            return abort(request)
        case Fault.REFUSED_NOT_RUN:
            return web.json_response(
                {"error": {"message": "full"}},
                status=503,
                headers={"x-request-id": request_id, "x-not-run": "true"},
            )
    return None


async def before_answer(
    fault: Fault, request: web.Request, request_id: str
) -> web.StreamResponse | None:
    """Return the answer of a fault in the run; None lets it go on."""
    match fault:
        case Fault.CRASH_AFTER_RUN:
            return abort(request)
        case Fault.NEVER:
            await asyncio.Event().wait()
        case Fault.REFUSED:
            return web.json_response(
                {"error": {"message": "trouble"}},
                status=503,
                headers={"x-request-id": request_id},
            )
    return None


def header_id(fault: Fault, request_id: str) -> str:
    """Return the request id for the header of the answer."""
    return uuid.uuid4().hex if fault is Fault.WRONG_ID else request_id


async def write_stream(
    fault: Fault,
    request: web.Request,
    response: web.StreamResponse,
    piece_at: Callable[[int], dict[str, Any]],
    count: int,
    token_seconds: float,
    usage_piece: dict[str, Any] | None = None,
) -> web.StreamResponse:
    """Write the pieces of a stream, with the fault injected."""
    last = count - 1
    for position in range(count):
        await asyncio.sleep(token_seconds)
        piece = piece_at(position)
        if position == 2:
            match fault:
                case Fault.CRASH_DURING:
                    return abort(request, response)
                case Fault.TRUNCATED:
                    await response.write_eof()
                    return response
                case Fault.STALL:
                    await asyncio.Event().wait()
                case Fault.MALFORMED:
                    await response.write(b'data: {"choices": [\n\n')
                case Fault.ONE_CHOICE_OPEN:
                    choice = {**piece["choices"][0], "index": 1}
                    await _write(response, {**piece, "choices": [choice]}, position)
        await _write(response, _with_fault(fault, piece, position, last), position)
        if position == 2 and fault is Fault.DUPLICATE:
            await _write(response, piece, position)
    if fault is Fault.PIECE_AFTER_FINISH:
        await _write(response, piece_at(0), last + 1)
    if usage_piece is not None:
        await _write(response, usage_piece, last + 2)
    if fault is not Fault.NO_END_MARK:
        await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return abort(request, response) if fault is Fault.CRASH_AFTER else response


def _with_fault(
    fault: Fault, piece: dict[str, Any], position: int, last: int
) -> dict[str, Any]:
    match fault:
        case Fault.OTHER_ANSWER if position >= 2:
            return {**piece, "id": f"chatcmpl-{uuid.uuid4().hex}"}
        case Fault.NO_FINISH_REASON if position == last:
            choice = {**piece["choices"][0], "finish_reason": None}
            return {**piece, "choices": [choice]}
    return piece


async def write_plain(
    fault: Fault,
    request: web.Request,
    answer: dict[str, Any],
    headers: dict[str, str],
) -> web.StreamResponse:
    """Write an answer that is one JSON object, with the fault injected."""
    match fault:
        case Fault.NO_FINISH_REASON:
            answer["choices"][0]["finish_reason"] = None
        case Fault.ONE_CHOICE_OPEN:
            choice = {**answer["choices"][0], "index": 1, "finish_reason": None}
            answer["choices"].append(choice)
        case Fault.OTHER_ANSWER:
            answer["id"] = f"chatcmpl-{uuid.uuid4().hex}"
    data = json.dumps(answer).encode()
    if fault in (Fault.TRUNCATED, Fault.MALFORMED):
        data = data[: len(data) // 2]
    response = web.StreamResponse(
        headers={**headers, "content-type": "application/json"}
    )
    response.content_length = len(data)
    await response.prepare(request)
    if fault in (Fault.CRASH_DURING, Fault.STALL):
        await response.write(data[: len(data) // 2])
        if fault is Fault.STALL:
            await asyncio.Event().wait()
        return abort(request, response)
    await response.write(data)
    await response.write_eof()
    return abort(request, response) if fault is Fault.CRASH_AFTER else response


async def _write(
    response: web.StreamResponse, piece: dict[str, Any], event_id: int
) -> None:
    event = f"id: {event_id}\ndata: {json.dumps(piece)}\n\n"
    await response.write(event.encode())


def abort(
    request: web.Request, response: web.StreamResponse | None = None
) -> web.StreamResponse:
    """Close the connection abruptly, as a crash of the engine does."""
    if request.transport is not None:
        request.transport.close()
    return response or web.Response(status=500)
