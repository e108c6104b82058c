"""Generating one sample from an engine's stream."""

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
"""How often a sample is begun anew before its step fails.  Weights that are
being swapped and a few faulty engines stay far below it."""

MAX_RESUMES = 4

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0

AVOID_SECONDS = 3.0
"""How long the samples of a step avoid an engine that yielded an unusable one;
a swap of weights takes up to about 9 s."""

CheckVersions = Callable[[Iterable[WeightVersion]], tuple[WeightVersion, ...]]


@dataclass(frozen=True, slots=True)
class VersionChecks:
    """Return those of the versions with which a sample is not usable."""

    too_old: CheckVersions
    """Those that are too old for certain; asked during a stream."""
    barred: CheckVersions
    """Those too old or not known to be published; asked at its end."""


class AvoidedEngines:
    """Engines that no sample of a step uses for a while."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_id: dict[TargetId, float] = {}

    def add(self, target: TargetId) -> None:
        """Avoid an engine from now on."""
        self._until_by_id[target] = self._clock.monotonic() + AVOID_SECONDS

    def current(self) -> set[TargetId]:
        """Return the engines to avoid now."""
        now = self._clock.monotonic()
        return {target for target, until in self._until_by_id.items() if now < until}


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


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The stream broke off; what was generated so far can be continued."""

    detail: str


@dataclass(slots=True)
class Progress:
    """What was generated of a sample so far."""

    pieces: list[str] = field(default_factory=list)
    spans: tuple[Span, ...] = ()
    finish_reason: str = ""

    @property
    def text(self) -> str:
        """The text so far."""
        return "".join(self.pieces)

    @property
    def tokens(self) -> int:
        """The number of tokens so far."""
        return sum(span.tokens for span in self.spans)

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """The versions of all spans."""
        return tuple(span.version for span in self.spans)

    def copy(self) -> "Progress":
        """Return a copy that grows on its own."""
        return Progress(list(self.pieces), self.spans, self.finish_reason)

    def add(self, data: dict[str, Any]) -> Discard | None:
        """Add a piece of the stream, or say why the sample is unusable."""
        version = hand_out.parse_version(data.get("weight_version"))
        if version is None:
            return Discard("a piece names no weight version")
        for choice in data.get("choices", ()):
            text = _text_of(choice)
            self.pieces.append(text)
            self.spans = hand_out.extend_spans(
                self.spans, version, _tokens_of(choice, text)
            )
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
        return None


@dataclass(frozen=True, slots=True)
class Maker:
    """What all samples of a generation have in common."""

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
    """Generates one sample, on as many engines as it takes."""

    def __init__(
        self,
        task: SampleTask,
        maker: Maker,
        progress: Progress | None = None,
        avoid: frozenset[TargetId] = frozenset(),
    ) -> None:
        self.task = task
        self.progress = progress or Progress()
        self.engine: TargetId | None = None
        self._maker = maker
        self._avoid = avoid
        self._stream_opened_at: float | None = None
        self._tokens_at_opening = 0
        self._discards: list[Discard] = []
        self._resumes = 0

    @property
    def stream_seconds(self) -> float:
        """For how long the current stream has run."""
        if self._stream_opened_at is None:
            return 0.0
        return self._maker.clock.monotonic() - self._stream_opened_at

    @property
    def stream_tokens(self) -> int:
        """How many tokens came in the current stream."""
        return self.progress.tokens - self._tokens_at_opening

    def hedge(self) -> "SampleRun":
        """Return a run that continues this sample on another engine."""
        avoid = self._avoid if self.engine is None else self._avoid | {self.engine}
        progress = self.progress.copy() if self._can_resume() else None
        return SampleRun(self.task, self._maker, progress, avoid)

    async def run(self) -> Sample | Refusal:
        """Return the whole sample, or why it cannot be generated."""
        pauses = 0
        while len(self._discards) < MAX_DISCARDS:
            ending = await self._attempt()
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
                    self._discard(Discard(f"not continued: {ending.detail}"))
                case Refusal():
                    # No engine has room or all have failed: engines come
                    # back, and the step has a deadline of its own.
                    self._avoid = frozenset()
            pauses += 1
            await asyncio.sleep(_pause_seconds(pauses))
        return Refusal(
            RefusalReason.TARGET_FAILED,
            f"sample was discarded {len(self._discards)} times, "
            f"last: {self._discards[-1].detail}",
            Verdict.MAY_HAVE_RUN,
        )

    def _discard(self, discard: Discard) -> None:
        self._discards.append(discard)
        self._resumes = 0
        self.progress = Progress()

    def _can_resume(self) -> bool:
        """Return whether what was generated may be continued."""
        return (
            self.progress.tokens > 0
            and not self.progress.finish_reason
            and self.progress.tokens < self._maker.question.max_tokens
            and self._resumes <= MAX_RESUMES
            and self._maker.question.can_be_continued
            and not self._maker.checks.too_old(self.progress.versions)
        )

    async def _attempt(self) -> Finished | Discard | Interrupted | Refusal:
        avoid = self._avoid | self._maker.avoided.current()
        if self._maker.serving() <= avoid:
            # The dispatcher would wait for an engine that it may not use.
            return Refusal(RefusalReason.NO_TARGET, "every engine is avoided")
        request = inference_request(
            self._maker.question,
            self.task.prompt,
            self.progress.text,
            self.progress.tokens,
        )
        call = self._maker.dispatcher.start(
            request,
            self._maker.organisation,
            Priority.ROLLOUT,
            self._maker.correlation_id,
        )
        call.tried.update(avoid)
        async with self._maker.dispatcher.stream(call) as opened:
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
                    self._stream_opened_at = self._maker.clock.monotonic()
                    self._tokens_at_opening = self.progress.tokens
                    ending = await self._read(opened)
                    if isinstance(ending, Finished):
                        return ending
                    self._stream_opened_at = None
                    self._maker.avoided.add(opened.target.id)
                    return ending

    async def _read(self, stream: OpenStream) -> Finished | Discard | Interrupted:
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
                    return Interrupted(detail)
                case Finished():
                    barred = self._maker.checks.barred(self.progress.versions)
                    return _unusable(barred) or step
        raise AssertionError("a stream ends with a finish or a break")

    def _add(self, piece: Piece) -> Discard | None:
        known = len(self.progress.spans)
        unusable = self.progress.add(piece.data)
        if unusable is None and len(self.progress.spans) > known:
            # Checked at each new span, so that an engine with old weights is
            # left before it has generated a whole sample for nothing.
            return _unusable(self._maker.checks.too_old(self.progress.versions))
        return unusable

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


def _unusable(versions: tuple[WeightVersion, ...]) -> Discard | None:
    if not versions:
        return None
    return Discard(f"versions {list(versions)} are too old or were not published")


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
