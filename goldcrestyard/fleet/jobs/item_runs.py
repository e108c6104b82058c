"""A single run of a job item on one engine.

A run sends the item's request, resuming after the events that the item
already has, and adds the events of the engine's stream to its transcript.
"""

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from http import HTTPStatus

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    Withheld,
)
from goldcrestyard.core.calls import TargetCall, TargetClient, TargetReply
from goldcrestyard.core.ids import RequestId, ServiceName, WeightVersion
from goldcrestyard.core.jobs import Job, JobItem
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.jobs.transcripts import TextShortage, Transcript
from goldcrestyard.fleet.reply_timeouts import next_event_within, open_reply_within
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.engine_paces import SLOW_GAPS_BEFORE_MOVING, EnginePaces

FIRST_EVENT_TIMEOUT_SECONDS = 4.0
"""Time in seconds after which a run without a first event is abandoned.  An
engine at its full concurrency reads new prompts between the tokens of other
requests, so the first event can take long."""

NEXT_EVENT_TIMEOUT_SECONDS = 2.5
"""Time in seconds without a further event after which a run is abandoned.  An
engine pauses generation for about a second while it loads weights, and longer
while other engines load too."""


@dataclass(frozen=True, slots=True)
class Generated:
    """The engine has generated the item's text to its end."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The engine has not run the item, which is queued again."""

    detail: str
    unreached: bool
    """Whether the engine could not be reached, rather than refused the run."""


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The run ended early; the item resumes after its last event."""

    detail: str


@dataclass(frozen=True, slots=True)
class Malformed:
    """The engine sent bytes that are no answer to the item.

    The item resumes after its last event.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The engine answered with an error status; the item starts again."""

    status: int


@dataclass(frozen=True, slots=True)
class Impossible:
    """The engine rejected the item's request as one that can never succeed."""


@dataclass(frozen=True, slots=True)
class TooLong:
    """There is no room for the item's text, which is dropped."""

    shortage: TextShortage


@dataclass(frozen=True, slots=True)
class Moved:
    """The engine is slow; the item resumes on another engine."""


RunOutcome = (
    Generated | NotRun | BrokenOff | Malformed | Failed | Impossible | TooLong | Moved
)

IMPOSSIBLE_STATUS = 422
"""HTTP status of an item that no engine can process."""


class SlowEngineDetector:
    """Detects that an engine generates one item far slower than the others.

    It also records the time between events as the pace of the engine.
    """

    def __init__(
        self, paces: EnginePaces, target: Target, clock: Clock, *, may_move: bool
    ) -> None:
        self._paces = paces
        self._target = target
        self._clock = clock
        self._may_move = may_move
        self._last_event_at: float | None = None
        self._consecutive_slow_gaps = 0

    def note_event(self) -> bool:
        """Record an event; return whether the item should change engines."""
        now = self._clock.monotonic()
        if self._last_event_at is None:
            self._last_event_at = now
            return False
        gap = now - self._last_event_at
        self._last_event_at = now
        # A lost packet delays a single event, so only several slow events
        # in a row count.
        slow = self._paces.is_slow(gap, now)
        self._consecutive_slow_gaps = self._consecutive_slow_gaps + 1 if slow else 0
        self._paces.observe(self._target.id, gap, now)
        return self._may_move and self._consecutive_slow_gaps >= SLOW_GAPS_BEFORE_MOVING


async def run_item(
    client: TargetClient,
    target: Target,
    job: Job,
    item: JobItem,
    transcript: Transcript,
    seconds_left: float,
    detector: SlowEngineDetector,
    start_again: Callable[[], None] | None = None,
    urgency: int | None = None,
) -> RunOutcome:
    """Run an item on a target, resuming after its transcript's last event.

    With ``start_again`` the target generates the whole text.  It is called
    when the target has begun to, and discards the earlier text.  The target
    is told ``urgency`` unless it is None.
    """
    call = TargetCall(
        RequestId(item.id),
        "POST",
        job.host,
        item.path,
        item.headers,
        item.body,
        job.organisation,
        transcript.last_event if start_again is None else None,
        repeatable=True,
        urgency=urgency,
    )
    async with AsyncExitStack() as stack:
        reply = await open_reply_within(
            FIRST_EVENT_TIMEOUT_SECONDS, stack, client, target, call, seconds_left
        )
        if isinstance(reply, AttemptFailure):
            return _to_outcome(reply)
        if reply.status == IMPOSSIBLE_STATUS:
            return Impossible()
        if reply.status != HTTPStatus.OK:
            return Failed(reply.status)
        if start_again is not None:
            start_again()
        transcript.begin_run(
            reply.version, target.software, ServiceName(target.serves[0])
        )
        return await _read_events(reply, transcript, job.oldest_version, detector)


def _to_outcome(failure: AttemptFailure) -> RunOutcome:
    match failure:
        case Unreached(detail=detail):
            return NotRun(detail, True)
        case TurnedAway(detail=detail) | Withheld(detail=detail):
            return NotRun(detail, False)
        case Broken(detail=detail, malformed=True):
            return Malformed(detail)
        case Broken(detail=detail):
            return BrokenOff(detail)


async def _read_events(
    reply: TargetReply,
    transcript: Transcript,
    oldest_version: WeightVersion,
    detector: SlowEngineDetector,
) -> RunOutcome:
    events = reply.events()
    wait_seconds = FIRST_EVENT_TIMEOUT_SECONDS
    while True:
        event = await next_event_within(wait_seconds, events)
        if event is None:
            return (
                Generated()
                if transcript.events
                else BrokenOff("the stream ended without an event")
            )
        if isinstance(event, Broken):
            return _to_outcome(event)
        version = event.version or transcript.current_version
        if version is not None and version < oldest_version:
            return BrokenOff(f"version {version} is older than {oldest_version}")
        shortage = transcript.take_room(event)
        if shortage is not None:
            return TooLong(shortage)
        problem = transcript.add(event)
        if problem is not None:
            return Malformed(problem)
        if detector.note_event():
            return Moved()
        wait_seconds = NEXT_EVENT_TIMEOUT_SECONDS
