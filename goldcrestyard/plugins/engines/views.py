"""HTTP views for inference, in the protocol that model engines use."""

from typing import Any

import msgspec
from aiohttp import web

from goldcrestyard.core.attempts import Answered, Broken
from goldcrestyard.core.headers import CORRELATION_HEADER
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.engines.dispatch import Dispatcher, InferenceCall, OpenStream
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import (
    InferenceRequest,
    contains_key,
    parse_request,
)
from goldcrestyard.plugins.engines.upstream import Finished
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import error_body, refuse
from goldcrestyard.plugins.listeners.middleware import (
    correlation_id_of,
)
from goldcrestyard.plugins.organisations.authentication import (
    Authenticator,
    Principal,
    presented_key,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice


class InferenceViews:
    """Views of the paths under ``/v1``."""

    def __init__(
        self, view: EntryView, authenticator: Authenticator, dispatcher: Dispatcher
    ) -> None:
        self._targets = view.machine.get(TargetsSlice)
        self._authenticator = authenticator
        self._dispatcher = dispatcher

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models that at least one engine serves."""
        principal = self._authenticator.authenticate(request)
        if isinstance(principal, Refusal):
            return refuse(principal)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "goldcrestyard"}
            for name in self._targets.model_names()
        ]
        return json_answer({"object": "list", "data": models})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serve ``/v1/chat/completions`` and ``/v1/completions``."""
        principal = self._authenticator.authenticate(request)
        if isinstance(principal, Refusal):
            return refuse(principal)
        body = await read_json(request, dict[str, Any])
        if isinstance(body, Refusal):
            return refuse(body)
        parsed = parse_request(request.path, body)
        if isinstance(parsed, Refusal):
            return refuse(parsed)
        if contains_key(body, presented_key(request)):
            detail = "the key belongs in the header 'authorization' only"
            return refuse(Refusal(RefusalReason.BAD_REQUEST, detail))
        if parsed.fields.model not in self._targets.model_names():
            detail = f"no model {parsed.fields.model!r}; see /v1/models"
            return refuse(Refusal(RefusalReason.UNKNOWN_MODEL, detail))
        if parsed.fields.stream:
            return await self._stream(request, principal, parsed)
        return await self._answer(request, principal, parsed)

    async def _answer(
        self, request: web.Request, principal: Principal, parsed: InferenceRequest
    ) -> web.StreamResponse:
        call = self._start(request, principal, parsed)
        outcome: Answered | Refusal | None = None
        async with self._authenticator.guard(principal) as guard:
            outcome = await self._dispatcher.answer(call)
        match guard.refusal or outcome:
            case Answered() as answered:
                return _forward(answered)
            case Refusal() as refusal:
                return refuse(refusal)
        raise AssertionError("neither an answer nor a refusal")

    async def _stream(
        self, request: web.Request, principal: Principal, parsed: InferenceRequest
    ) -> web.StreamResponse:
        call = self._start(request, principal, parsed)
        response = web.StreamResponse(
            headers={
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                CORRELATION_HEADER: correlation_id_of(request),
            }
        )
        ending: Answered | Refusal | None = None
        async with self._authenticator.guard(principal) as guard:
            ending = await self._relay(call, request, response)
        ending = guard.refusal or ending
        if response.prepared:
            # The missing end mark tells the caller that the stream was cut.
            if isinstance(ending, Refusal):
                await response.write(b"data: " + error_body(ending) + b"\n\n")
            await response.write_eof()
            return response
        match ending:
            case Answered() as answered:
                return _forward(answered)
            case Refusal() as refusal:
                return refuse(refusal)
        raise AssertionError("neither a stream nor a refusal")

    def _start(
        self, request: web.Request, principal: Principal, parsed: InferenceRequest
    ) -> InferenceCall:
        return self._dispatcher.start(
            parsed,
            principal.organisation,
            Priority.INTERACTIVE,
            correlation_id_of(request),
        )

    async def _relay(
        self, call: InferenceCall, request: web.Request, response: web.StreamResponse
    ) -> Answered | Refusal | None:
        """Relay a stream to the caller.

        Returns None if it was complete, a refusal if it was cut, and the
        answer or refusal if no stream was opened.
        """
        async with self._dispatcher.stream(call) as opened:
            if not isinstance(opened, OpenStream):
                return opened
            await response.prepare(request)
            await response.write(_encode_event(opened.first))
            async for step in opened.rest:
                match step:
                    case Piece():
                        await response.write(_encode_event(step))
                    case Finished():
                        await response.write(b"data: [DONE]\n\n")
                        return None
                    case Broken(detail=detail):
                        return Refusal(
                            RefusalReason.INCOMPLETE_ANSWER,
                            detail,
                            Verdict.MAY_HAVE_RUN,
                        )
        raise AssertionError("stream has neither Finished nor Broken at its end")


def _forward(answered: Answered) -> web.Response:
    return web.Response(
        status=answered.status,
        body=answered.body,
        content_type=answered.content_type,
        headers={"x-verdict": Verdict.RAN.value},
    )


def _encode_event(piece: Piece) -> bytes:
    return b"data: " + msgspec.json.encode(piece.data) + b"\n\n"
