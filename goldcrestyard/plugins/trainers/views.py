"""HTTP interface for trainers: samples, acknowledgements and new weights."""

from dataclasses import dataclass
from typing import Any

import structlog
from aiohttp import web

from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.headers import CORRELATION_HEADER
from goldcrestyard.core.ids import BatchId, ModelName, StepNumber, WeightVersion
from goldcrestyard.core.records import ModelLine
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import (
    correlation_id_of,
)
from goldcrestyard.plugins.organisations.authentication import (
    Authenticator,
    Principal,
)
from goldcrestyard.plugins.trainers.batch_response import BatchResponse, open_response
from goldcrestyard.plugins.trainers.commands import AcknowledgeBatch, Batch, StepKey
from goldcrestyard.plugins.trainers.commits import Committer
from goldcrestyard.plugins.trainers.questions import (
    MAX_STEP_NUMBER,
    Question,
    parse_question,
)
from goldcrestyard.plugins.trainers.steps import InProgress, Steps
from goldcrestyard.plugins.weights.commands import PublishWeights
from goldcrestyard.plugins.weights.slices import WeightsSlice

logger = structlog.get_logger(__name__)

RETRY_AFTER_SECONDS = 1
"""Time after which a trainer should ask again for an unfinished step."""

PUBLISH_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Publication:
    """Body of a request that publishes a weight version."""

    model: ModelName
    version: WeightVersion
    location: str
    digest: str


class TrainerViews:
    """Handlers of the routes under ``/trainer/v1``."""

    def __init__(
        self,
        authenticator: Authenticator,
        steps: Steps,
        committer: Committer,
        bodies: BodyClient,
        weights: WeightsSlice,
        max_wait_seconds: float,
    ) -> None:
        self._authenticator = authenticator
        self._steps = steps
        self._committer = committer
        self._bodies = bodies
        self._weights = weights
        self._max_wait_seconds = max_wait_seconds

    async def samples(self, request: web.Request) -> web.StreamResponse:
        """Respond with the batch of a step, or with its progress so far."""
        principal = self._authenticator.authenticate(request)
        if isinstance(principal, Refusal):
            return refuse(principal)
        number = _step_number(request.match_info["step"])
        if isinstance(number, Refusal):
            return refuse(number)
        body = await read_json(request, dict[str, Any])
        if isinstance(body, Refusal):
            return refuse(body)
        question = parse_question(body)
        if isinstance(question, Refusal):
            return refuse(question)
        if question.wait_seconds > self._max_wait_seconds:
            detail = f"'wait_seconds' may be {self._max_wait_seconds} at most"
            return refuse(Refusal(RefusalReason.BAD_REQUEST, detail))
        line = self._trained_line(question.model, principal)
        if isinstance(line, Refusal):
            return refuse(line)
        key = StepKey(principal.organisation, question.model, number)
        return await self._answer(request, key, question, principal)

    async def _answer(
        self,
        request: web.Request,
        key: StepKey,
        question: Question,
        principal: Principal,
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        outcome: Batch | InProgress | Refusal | BatchResponse | None = None
        async with self._authenticator.guard(principal) as guard:
            outcome = await self._steps.get_batch(
                key, question, principal, correlation_id_of(request)
            )
            if isinstance(outcome, Batch):
                outcome = await open_response(
                    key, question.attempt, outcome, self._bodies
                )
            if isinstance(outcome, BatchResponse):
                response = _prepare(request, outcome)
                await _send(request, response, outcome)
                return response
        if response is not None and response.prepared:
            return _abort_connection(request, response)
        match guard.refusal or outcome:
            case Refusal() as refusal:
                return refuse(refusal)
            case InProgress(done=done, total=total):
                progress = {"state": "generating", "done": done, "total": total}
                answer = json_answer(progress, 202)
                answer.headers["retry-after"] = str(RETRY_AFTER_SECONDS)
                return answer
        raise AssertionError("step has no batch, progress or refusal")

    async def acknowledge(self, request: web.Request) -> web.StreamResponse:
        """Commit that the trainer has received a complete batch."""
        principal = self._authenticator.authenticate(request)
        if isinstance(principal, Refusal):
            return refuse(principal)
        batch = BatchId(request.match_info["batch"])
        outcome = await self._steps.acknowledge(
            AcknowledgeBatch(batch, principal.organisation),
            principal,
            correlation_id_of(request),
        )
        if isinstance(outcome, Refusal):
            return refuse(outcome)
        return json_answer({"batch": batch, "state": "acknowledged"})

    async def publish(self, request: web.Request) -> web.StreamResponse:
        """Publish a weight version of a model line."""
        principal = self._authenticator.authenticate(request)
        if isinstance(principal, Refusal):
            return refuse(principal)
        body = await read_json(request, Publication)
        if isinstance(body, Refusal):
            return refuse(body)
        if not 0 <= body.version <= MAX_STEP_NUMBER:
            detail = f"'version' must be from 0 to {MAX_STEP_NUMBER}"
            return refuse(Refusal(RefusalReason.BAD_REQUEST, detail))
        line = self._trained_line(body.model, principal)
        if isinstance(line, Refusal):
            return refuse(line)
        outcome = await self._committer.commit(
            PublishWeights(body.model, body.version, body.location, body.digest),
            principal.organisation,
            correlation_id_of(request),
            PUBLISH_TIMEOUT_SECONDS,
        )
        if isinstance(outcome, Refusal):
            return refuse(outcome)
        return json_answer({"model": body.model, "version": body.version})

    def _trained_line(
        self, model: ModelName, principal: Principal
    ) -> ModelLine | Refusal:
        """Return a model line, or a refusal to those who do not train it."""
        line = self._weights.lines_by_name.get(model)
        if line is None:
            return Refusal(RefusalReason.NOT_FOUND, f"no model line {model!r}")
        if line.trainer != principal.organisation:
            return Refusal(
                RefusalReason.FORBIDDEN,
                f"{principal.organisation} does not train {model!r}",
            )
        return line


def _step_number(text: str) -> StepNumber | Refusal:
    number = parse_count(text)
    if number is not None and number <= MAX_STEP_NUMBER:
        return StepNumber(number)
    return Refusal(
        RefusalReason.BAD_REQUEST,
        f"the step must be a number from 0 to {MAX_STEP_NUMBER}",
    )


def _prepare(request: web.Request, answer: BatchResponse) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={
            "content-type": "application/json",
            CORRELATION_HEADER: correlation_id_of(request),
        }
    )
    # The length lets the trainer detect an incomplete batch.
    response.content_length = answer.length
    return response


async def _send(
    request: web.Request, response: web.StreamResponse, answer: BatchResponse
) -> None:
    await response.prepare(request)
    async for part in answer.parts():
        if isinstance(part, Refusal):
            logger.error(
                "batch response cut off, stored body unavailable", detail=part.detail
            )
            _abort_connection(request, response)
            return
        await response.write(part)
    await response.write_eof()


def _abort_connection(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    """Close the connection, so that the trainer detects the missing part."""
    if request.transport is not None:
        request.transport.abort()
    return response
