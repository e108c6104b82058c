"""A dispatcher whose engines produce scripted streams."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, cast

from goldcrestyard.core.attempts import Answered, Broken
from goldcrestyard.core.ids import (
    CorrelationId,
    DataCentre,
    InstanceId,
    ModelName,
    OrganisationId,
    Region,
    TargetId,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Priority, TargetKind
from goldcrestyard.plugins.engines.dispatch import InferenceCall, OpenStream
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import InferenceRequest
from goldcrestyard.plugins.engines.upstream import Finished, StreamStep
from goldcrestyard.plugins.targets.commands import HomedTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice


@dataclass(frozen=True)
class Token:
    """A piece of a stream that holds one token."""

    text: str
    version: object = 1
    seconds: float = 0.1
    """The delay before the piece."""
    finish: bool = False


@dataclass(frozen=True)
class ScriptedEngine:
    """An engine that is also the scheduler's grant of itself."""

    id: TargetId

    @property
    def target(self) -> "ScriptedEngine":
        """The granted engine."""
        return self


@dataclass
class ScriptedCall:
    """The fields of ``InferenceCall`` that the dispatcher reads."""

    request: InferenceRequest
    tried: set[TargetId] = field(default_factory=set)


Script = list[Token | Broken | Finished] | Answered | Refusal


def complete_stream(text: str, version: object = 1, seconds: float = 0.1) -> Script:
    """Return the script of a complete stream, a token for each letter."""
    tokens = [Token(letter, version, seconds) for letter in text[:-1]]
    return [*tokens, Token(text[-1], version, seconds, finish=True), Finished()]


@dataclass
class ScriptedDispatcher:
    """Answers each request with the next script, on a new engine each time."""

    scripts: Iterable[Script]
    bodies: list[dict[str, Any]] = field(default_factory=list)
    tried: list[set[TargetId]] = field(default_factory=list)
    cancelled: int = 0
    running: int = 0
    pieces_read: int = 0
    """The number of pieces read from all streams."""

    def __post_init__(self) -> None:
        self._scripts = iter(self.scripts)

    def start(
        self,
        request: InferenceRequest,
        organisation: OrganisationId,
        priority: Priority,
        correlation_id: CorrelationId,
    ) -> InferenceCall:
        """Return a call; assert that samples run at rollout priority."""
        assert priority is Priority.ROLLOUT
        return cast(InferenceCall, ScriptedCall(request))

    @asynccontextmanager
    async def stream(
        self, call: InferenceCall
    ) -> AsyncIterator[OpenStream | Answered | Refusal]:
        """Yield the next scripted stream."""
        self.bodies.append(call.request.body)
        self.tried.append(set(call.tried))
        script = next(self._scripts)
        if not isinstance(script, list):
            yield script
            return
        engine = ScriptedEngine(TargetId(f"engine-{len(self.bodies)}"))
        steps = self._steps(script)
        self.running += 1
        try:
            first = await anext(steps)
            assert isinstance(first, Piece)
            yield OpenStream(cast(Any, engine), first, steps)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _steps(
        self, script: list[Token | Broken | Finished]
    ) -> AsyncIterator[StreamStep]:
        for step in script:
            match step:
                case Token():
                    await asyncio.sleep(step.seconds)
                    self.pieces_read += 1
                    yield Piece(_data(step))
                case Broken() | Finished():
                    yield step


def _data(token: Token) -> dict[str, Any]:
    data: dict[str, Any] = {
        "choices": [
            {
                "delta": {"content": token.text},
                "finish_reason": "stop" if token.finish else None,
            }
        ]
    }
    if token.version is not None:
        data["weight_version"] = token.version
    return data


def targets_with_engine(model: ModelName) -> TargetsSlice:
    """Return a targets slice with one engine that no script uses."""
    targets = TargetsSlice()
    target = Target(
        TargetId("another"),
        TargetKind.ENGINE,
        "127.0.0.1:1",
        DataCentre("lisboa-a"),
        Region("lisboa"),
        (model,),
    )
    targets.homed_by_id[target.id] = HomedTarget(target, InstanceId("entry"))
    return targets
