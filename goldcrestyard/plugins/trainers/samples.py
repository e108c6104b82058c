"""Generation of a single sample from the streams of engines.

A stream that breaks off is resumed on another engine from the text so far.  A
sample with an unusable weight version is discarded and generated again.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from goldcrestyard.core.attempts import Answered, Broken
from goldcrestyard.core.ids import (
    CorrelationId,
    GroupId,
    OrganisationId,
    SampleId,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
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
"""Number of times that a sample is discarded before its step fails.  Swaps of
weights and a few faulty engines cause far fewer."""

MAX_RESUMES = 4
"""Number of times that a sample is resumed on another engine before it is
discarded."""

MIN_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 2.0

ENGINE_AVOIDANCE_SECONDS = 3.0
"""How long the samples of a step avoid an engine whose last stream broke off
or was unusable; a swap of weights takes up to about 9 s."""

CheckVersions = Callable[[Iterable[WeightVersion]], tuple[WeightVersion, ...]]
"""Returns those of the given versions that make a sample unusable."""


@dataclass(frozen=True, slots=True)
class VersionChecks:
    """Checks of the weight versions that took part in a sample."""

    too_old: CheckVersions
    """Returns the versions that are certainly too old.  Applied during a
    stream, when a new version may not be known here yet."""
    barred: CheckVersions
    """Returns the versions that are too old or not known to be published.
    Applied at the end of a stream."""


class AvoidedEngines:
    """Engines that the samples of a generation do not use for a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_id: dict[TargetId, float] = {}

    def add(self, target: TargetId) -> None:
        """Avoid an engine for ``ENGINE_AVOIDANCE_SECONDS`` from now."""
        self._until_by_id[target] = self._clock.monotonic() + ENGINE_AVOIDANCE_SECONDS

    def current(self) -> set[TargetId]:
        """Return the engines that are avoided at present."""
        now = self._clock.monotonic()
        return {target for target, until in self._until_by_id.items() if now < until}


@dataclass(frozen=True, slots=True)
class Sample:
    """A complete sample, labelled with the weight versions of its spans."""

    id: SampleId
    group: GroupId
    number: int
    text: str
    finish_reason: str
    spans: tuple[Span, ...]

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """The weight versions that generated the sample, oldest first."""
        return tuple(sorted({span.version for span in self.spans}))


@dataclass(frozen=True, slots=True)
class Discard:
    """Ending of a stream: the text generated so far is unusable."""

    detail: str


@dataclass(frozen=True, slots=True)
class Interrupted:
    """Ending of a stream: it broke off, but its text may be continued."""

    detail: str


@dataclass(slots=True)
class SampleProgress:
    """Text, spans and finish reason of a sample so far."""

    pieces: list[str] = field(default_factory=list)
    spans: tuple[Span, ...] = ()
    finish_reason: str = ""

    @property
    def text(self) -> str:
        """The text generated so far."""
        return "".join(self.pieces)

    @property
    def tokens(self) -> int:
        """The number of tokens generated so far."""
        return sum(span.tokens for span in self.spans)

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """The weight versions of the spans, in the order of the text."""
        return tuple(span.version for span in self.spans)

    def copy(self) -> "SampleProgress":
        """Return an independent copy, for a second run of the sample."""
        return SampleProgress(list(self.pieces), self.spans, self.finish_reason)

    def add(self, data: dict[str, Any]) -> Discard | None:
        """Add a piece of the stream; return why the sample is unusable."""
        version = hand_out.parse_version(data.get("weight_version"))
        if version is None:
            return Discard("a piece names no weight version")
        for choice in data.get("choices", ()):
            text = _piece_text(choice)
            self.pieces.append(text)
            self.spans = hand_out.extend_spans(
                self.spans, version, _piece_tokens(choice, text)
            )
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
        return None


@dataclass(frozen=True, slots=True)
class GenerationContext:
    """Question, engines and checks that all samples of a generation share."""

    question: Question
    organisation: OrganisationId
    dispatcher: Dispatcher
    serving: Callable[[], set[TargetId]]
    """Returns the engines that serve the model."""
    checks: VersionChecks
    avoided: AvoidedEngines
    clock: Clock
    correlation_id: CorrelationId


class SampleRun:
    """One run of a sample, which may use several engines in turn.

    A sample has a second run when it is hedged.
    """

    def __init__(
        self,
        task: SampleTask,
        context: GenerationContext,
        progress: SampleProgress | None = None,
        avoid: frozenset[TargetId] = frozenset(),
    ) -> None:
        self.task = task
        self.progress = progress or SampleProgress()
        self.engine: TargetId | None = None
        self._context = context
        self._avoid = avoid
        self._stream_opened_at: float | None = None
        self._tokens_at_opening = 0
        self._discards: list[Discard] = []
        self._resumes = 0

    @property
    def stream_seconds(self) -> float:
        """Age of the current stream, or 0 without one."""
        if self._stream_opened_at is None:
            return 0.0
        return self._context.clock.monotonic() - self._stream_opened_at

    @property
    def stream_tokens(self) -> int:
        """The number of tokens received in the current stream."""
        return self.progress.tokens - self._tokens_at_opening

    def hedge(self) -> "SampleRun":
        """Return a second run of this sample, on another engine.

        It continues the text so far if that can be resumed, and starts from
        the beginning otherwise.
        """
        avoid = self._avoid if self.engine is None else self._avoid | {self.engine}
        progress = self.progress.copy() if self._can_resume() else None
        return SampleRun(self.task, self._context, progress, avoid)

    async def run(self) -> Sample | Refusal:
        """Return the complete sample, or the refusal that ends its step."""
        retries = 0
        while len(self._discards) < MAX_DISCARDS:
            ending = await self._stream_once()
            match ending:
                case Finished():
                    return self._sample()
                case Interrupted(detail=detail):
                    self._resumes += 1
                    if not self._can_resume():
                        self._discard(Discard(detail))
                case Discard():
                    self._discard(ending)
                case Refusal(reason=RefusalReason.BAD_REQUEST):
                    if not self.progress.pieces:
                        return ending
                    self._discard(
                        Discard(f"engine refused to continue: {ending.detail}")
                    )
                case Refusal():
                    # No engine has a free slot, or all have failed.  Keep
                    # trying: engines come back, and the step has a time limit.
                    self._avoid = frozenset()
            retries += 1
            await asyncio.sleep(_retry_delay_seconds(retries))
        return Refusal(
            RefusalReason.TARGET_FAILED,
            f"the sample was discarded {len(self._discards)} times, "
            f"last: {self._discards[-1].detail}",
            Verdict.MAY_HAVE_RUN,
        )

    def _discard(self, discard: Discard) -> None:
        self._discards.append(discard)
        self._resumes = 0
        self.progress = SampleProgress()

    def _can_resume(self) -> bool:
        """Return whether another engine may continue the text so far."""
        return (
            self.progress.tokens > 0
            and not self.progress.finish_reason
            and self.progress.tokens < self._context.question.max_tokens
            and self._resumes <= MAX_RESUMES
            and self._context.question.can_be_continued
            and not self._context.checks.too_old(self.progress.versions)
        )

    async def _stream_once(self) -> Finished | Discard | Interrupted | Refusal:
        avoid = self._avoid | self._context.avoided.current()
        if self._context.serving() <= avoid:
            # The dispatcher would wait for an engine that it must not use.
            return Refusal(
                RefusalReason.NO_TARGET, "all engines are avoided at present"
            )
        request = inference_request(
            self._context.question,
            self.task.prompt,
            self.progress.text,
            self.progress.tokens,
        )
        call = self._context.dispatcher.start(
            request,
            self._context.organisation,
            Priority.ROLLOUT,
            self._context.correlation_id,
        )
        call.tried.update(avoid)
        async with self._context.dispatcher.stream(call) as opened:
            match opened:
                case Refusal():
                    return opened
                case Answered(status=status, body=body):
                    return Refusal(
                        RefusalReason.BAD_REQUEST,
                        f"engine answered {status}: {body[:200]!r}",
                    )
                case OpenStream():
                    self.engine = opened.target.id
                    self._stream_opened_at = self._context.clock.monotonic()
                    self._tokens_at_opening = self.progress.tokens
                    ending = await self._read_stream(opened)
                    if isinstance(ending, Finished):
                        return ending
                    self._stream_opened_at = None
                    self._context.avoided.add(opened.target.id)
                    return ending

    async def _read_stream(
        self, stream: OpenStream
    ) -> Finished | Discard | Interrupted:
        discard = self._add(stream.first)
        if discard is not None:
            return discard
        async for step in stream.rest:
            match step:
                case Piece():
                    discard = self._add(step)
                    if discard is not None:
                        return discard
                case Broken(detail=detail):
                    return Interrupted(detail)
                case Finished():
                    barred = self._context.checks.barred(self.progress.versions)
                    return _discard_for_versions(barred) or step
        raise AssertionError("stream ended without Finished or Broken")

    def _add(self, piece: Piece) -> Discard | None:
        previous_spans = len(self.progress.spans)
        discard = self.progress.add(piece.data)
        if discard is None and len(self.progress.spans) > previous_spans:
            # Checked at each new span, so that a stream from an engine with
            # old weights ends before it has generated a complete sample.
            return _discard_for_versions(
                self._context.checks.too_old(self.progress.versions)
            )
        return discard

    def _sample(self) -> Sample:
        progress = self.progress
        return Sample(
            self.task.id,
            self.task.prompt.group,
            self.task.number,
            progress.text,
            progress.finish_reason,
            progress.spans,
        )


def _discard_for_versions(versions: tuple[WeightVersion, ...]) -> Discard | None:
    if not versions:
        return None
    return Discard(f"versions {list(versions)} are too old or were not published")


def _piece_text(choice: dict[str, Any]) -> str:
    if "delta" in choice:
        return str(choice["delta"].get("content") or "")
    return str(choice.get("text") or "")


def _piece_tokens(choice: dict[str, Any], text: str) -> int:
    """Return the number of tokens in a choice of a piece.

    Engines that send several tokens in a piece list their ids; otherwise a
    piece with text is one token.
    """
    token_ids = choice.get("token_ids")
    if isinstance(token_ids, list):
        return len(token_ids)
    return 1 if text else 0


def _retry_delay_seconds(retries: int) -> float:
    ceiling = min(
        MAX_RETRY_DELAY_SECONDS, MIN_RETRY_DELAY_SECONDS * 2.0 ** min(retries, 10)
    )
    return ceiling * random.uniform(0.5, 1.0)
