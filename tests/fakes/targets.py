"""Targets in memory, which misbehave on request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
)
from goldcrestyard.core.calls import StreamEvent, TargetCall, TargetReply
from goldcrestyard.core.ids import (
    DataCentre,
    EventNumber,
    Region,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind


@dataclass(frozen=True)
class Answers:
    """Answers whole, after a time."""

    body: bytes = b"answer"
    status: int = 200
    seconds: float = 0.01
    signature: str = "signed"


@dataclass(frozen=True)
class Streams:
    """Sends events up to a number; then ends, breaks off or falls silent."""

    events: int = 3
    version: int = 1
    changes_at: int | None = None
    """The event from which on the next version generates."""
    breaks_after: int | None = None
    silent_after: int | None = None
    event_seconds: float = 0.03
    slows_after: int | None = None
    """The event after which each takes ten times as long."""


@dataclass(frozen=True)
class Fails:
    """Gives no answer, for a reason."""

    failure: AttemptFailure
    seconds: float = 0.0


@dataclass(frozen=True)
class Hangs:
    """Takes the request and never answers."""


Behaviour = Answers | Streams | Fails | Hangs

FULL = Fails(TurnedAway(503, "full"))
DOWN = Fails(Unreached("refused"))
CUT = Fails(Broken("reset"), 0.01)


class _Reply(TargetReply):
    def __init__(self, behaviour: Answers | Streams, call: TargetCall) -> None:
        self._behaviour = behaviour
        self._call = call
        self.headers = (("x-kept", "yes"),)
        match behaviour:
            case Answers():
                self.status = behaviour.status
                self.signature = behaviour.signature
                self.version = None
            case Streams():
                self.status = 200
                self.signature = "signed"
                self.version = WeightVersion(behaviour.version)

    async def read(self) -> bytes | Broken:
        assert isinstance(self._behaviour, Answers)
        return self._behaviour.body

    async def events(self) -> AsyncIterator[StreamEvent | Broken]:
        behaviour = self._behaviour
        assert isinstance(behaviour, Streams)
        first = (self._call.resume_after or 0) + 1
        for number in range(first, behaviour.events + 1):
            slow = behaviour.slows_after is not None and number > behaviour.slows_after
            await asyncio.sleep(behaviour.event_seconds * (10 if slow else 1))
            if behaviour.breaks_after is not None and number > behaviour.breaks_after:
                yield Broken("reset")
                return
            if behaviour.silent_after is not None and number > behaviour.silent_after:
                await asyncio.get_running_loop().create_future()
            changed = number == behaviour.changes_at
            data = b"%d" % number
            yield StreamEvent(
                EventNumber(number),
                data,
                b"id: %d\ndata: %d\n\n" % (number, number),
                WeightVersion(behaviour.version + 1) if changed else None,
            )


@dataclass
class FakeTargetClient:
    """Plays each target's behaviours in turn; the last one stays."""

    behaviours_by_target: dict[str, list[Behaviour]]
    calls: list[tuple[str, TargetCall]] = field(default_factory=list)
    open_now: int = 0
    """Calls that targets still work on."""

    @asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AsyncIterator[TargetReply | AttemptFailure]:
        behaviours = self.behaviours_by_target[target.id]
        behaviour = behaviours.pop(0) if len(behaviours) > 1 else behaviours[0]
        self.calls.append((target.id, call))
        self.open_now += 1
        try:
            match behaviour:
                case Hangs():
                    await asyncio.get_running_loop().create_future()
                case Fails(failure=failure, seconds=seconds):
                    await asyncio.sleep(seconds)
                    yield failure
                case Answers() | Streams():
                    if isinstance(behaviour, Answers):
                        await asyncio.sleep(behaviour.seconds)
                    yield _Reply(behaviour, call)
        finally:
            self.open_now -= 1

    @property
    def asked(self) -> list[str]:
        """The targets that were asked, in order."""
        return [target for target, _ in self.calls]


def target(
    name: str, service: str = "quotes", kind: TargetKind = TargetKind.SERVICE
) -> Target:
    """Return a target near the callers."""
    return Target(
        TargetId(name),
        kind,
        f"{name}:80",
        DataCentre("dc"),
        Region("r"),
        (service,),
        max_concurrency=6,
        incarnation="1000",
    )
