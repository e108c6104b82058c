"""Generating one sample from an engine's stream."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from goldcrestyard.core.attempts import Answered, Broken
from goldcrestyard.core.ids import (
    CorrelationId,
    GroupId,
    SampleId,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.engines.dispatch import Dispatcher, OpenStream
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.upstream import Finished
from goldcrestyard.plugins.trainers.questions import (
    Question,
    SampleTask,
    inference_request,
)
from goldcrestyard.policy import hand_out
from goldcrestyard.policy.hand_out import Span

MAX_DISCARDS = 12
"""How often a sample is begun anew before its step fails.  Weights that are
being swapped and a few faulty engines stay far below it."""

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0

BarredVersions = Callable[[tuple[WeightVersion, ...]], tuple[WeightVersion, ...]]
"""Returns those of the versions with which a sample may not be handed out."""


@dataclass(frozen=True, slots=True)
class Sample:
    """A whole sample with its labels."""

    id: SampleId
    group: GroupId
    number: int
    text: str
    finish_reason: str
    spans: tuple[Span, ...]

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """All versions that took part."""
        return tuple(sorted({span.version for span in self.spans}))


@dataclass(frozen=True, slots=True)
class Discard:
    """What was generated cannot be used."""

    detail: str


@dataclass(slots=True)
class Progress:
    """What was generated of a sample so far."""

    pieces: list[str] = field(default_factory=list)
    spans: tuple[Span, ...] = ()
    finish_reason: str = ""

    @property
    def tokens(self) -> int:
        """The number of tokens so far."""
        return sum(span.tokens for span in self.spans)

    def add(self, data: dict[str, Any]) -> Discard | None:
        """Add a piece of the stream, or say why the sample is unusable."""
        version = hand_out.version_of(data.get("weight_version"))
        if version is None:
            return Discard("a piece names no weight version")
        for choice in data.get("choices", ()):
            text = _text_of(choice)
            self.pieces.append(text)
            self.spans = hand_out.extend(self.spans, version, _tokens_of(choice, text))
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
        return None


class SampleRun:
    """Generates one sample, on as many engines as it takes."""

    def __init__(
        self,
        task: SampleTask,
        question: Question,
        dispatcher: Dispatcher,
        barred: BarredVersions,
        correlation_id: CorrelationId,
    ) -> None:
        self.task = task
        self.progress = Progress()
        self._question = question
        self._dispatcher = dispatcher
        self._barred = barred
        self._correlation_id = correlation_id
        self._avoided: set[TargetId] = set()

    async def run(self) -> Sample | Refusal:
        """Return the whole sample, or why it cannot be generated."""
        discards: list[Discard] = []
        pauses = 0
        while len(discards) < MAX_DISCARDS:
            ending = await self._attempt()
            match ending:
                case Finished():
                    return self._sample()
                case Discard():
                    discards.append(ending)
                    self.progress = Progress()
                case Refusal(reason=RefusalReason.BAD_REQUEST):
                    return ending
                case Refusal():
                    # No engine has room or all have failed: engines come
                    # back, and the step has a deadline of its own.
                    self._avoided.clear()
            pauses += 1
            await asyncio.sleep(_pause_seconds(pauses))
        return Refusal(
            RefusalReason.TARGET_FAILED,
            f"sample was discarded {len(discards)} times, last: {discards[-1].detail}",
            Verdict.MAY_HAVE_RUN,
        )

    async def _attempt(self) -> Finished | Discard | Refusal:
        request = inference_request(self._question, self.task.prompt, "", 0)
        call = self._dispatcher.start(request, self._correlation_id)
        call.tried |= self._avoided
        async with self._dispatcher.stream(call) as opened:
            match opened:
                case Refusal():
                    return opened
                case Answered(status=status, body=body):
                    return Refusal(
                        RefusalReason.BAD_REQUEST,
                        f"engine answered {status}: {body[:200]!r}",
                    )
                case OpenStream():
                    ending = await self._read(opened)
                    if isinstance(ending, Discard):
                        self._avoided.add(opened.target.id)
                    return ending

    async def _read(self, stream: OpenStream) -> Finished | Discard:
        unusable = self._add(stream.first)
        if unusable is not None:
            return unusable
        async for step in stream.rest:
            match step:
                case Piece():
                    unusable = self._add(step)
                    if unusable is not None:
                        return unusable
                case Broken(detail=detail):
                    return Discard(detail)
                case Finished():
                    return self._check_versions() or step
        raise AssertionError("a stream ends with a finish or a break")

    def _add(self, piece: Piece) -> Discard | None:
        known = len(self.progress.spans)
        unusable = self.progress.add(piece.data)
        if unusable is None and len(self.progress.spans) > known:
            # Checked at each new span, so that an engine with old weights is
            # left before it has generated a whole sample for nothing.
            return self._check_versions()
        return unusable

    def _check_versions(self) -> Discard | None:
        versions = tuple(span.version for span in self.progress.spans)
        barred = self._barred(versions)
        if barred:
            return Discard(f"versions {list(barred)} are too old or not published")
        return None

    def _sample(self) -> Sample:
        progress = self.progress
        return Sample(
            self.task.id,
            self.task.prompt.group,
            self.task.number,
            "".join(progress.pieces),
            progress.finish_reason,
            progress.spans,
        )


def _text_of(choice: dict[str, Any]) -> str:
    if "delta" in choice:
        return str(choice["delta"].get("content") or "")
    return str(choice.get("text") or "")


def _tokens_of(choice: dict[str, Any], text: str) -> int:
    """Return the number of tokens in a piece.

    Engines that put several tokens into a piece list their ids; otherwise
    a piece with text is one token.
    """
    token_ids = choice.get("token_ids")
    if isinstance(token_ids, list):
        return len(token_ids)
    return 1 if text else 0


def _pause_seconds(pauses: int) -> float:
    ceiling = min(MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * 2.0 ** min(pauses, 10))
    return ceiling * random.uniform(0.5, 1.0)
