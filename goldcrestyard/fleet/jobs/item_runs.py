"""One run of one item at one engine."""

from contextlib import AsyncExitStack
from dataclasses import dataclass

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
)
from goldcrestyard.core.calls import TargetCall, TargetClient, TargetReply
from goldcrestyard.core.ids import RequestId, WeightVersion
from goldcrestyard.core.jobs import Job, JobItem
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.bounded_replies import next_within, open_within
from goldcrestyard.fleet.jobs.transcripts import Transcript
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.engine_paces import SLOW_GAPS_BEFORE_MOVING, EnginePaces

FIRST_EVENT_SECONDS = 4.0
"""A full engine reads prompts between the tokens of others."""

NEXT_EVENT_SECONDS = 2.5
"""An engine that loads weights stands still for about a second, longer while
others load too."""


@dataclass(frozen=True, slots=True)
class Generated:
    """The item's text is whole."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The engine has not begun; the item waits for another."""

    detail: str
    unreached: bool


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The run ended early; what it generated is kept."""

    detail: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The engine reports that the run failed."""

    status: int


@dataclass(frozen=True, slots=True)
class Impossible:
    """The engine reports that the item can never be done."""


@dataclass(frozen=True, slots=True)
class Moved:
    """The engine is slow; the item goes on at another."""


RunOutcome = Generated | NotRun | BrokenOff | Failed | Impossible | Moved

IMPOSSIBLE_STATUS = 422


class PaceWatch:
    """Compares the pace of one run with that of the engines."""

    def __init__(
        self, paces: EnginePaces, target: Target, clock: Clock, *, may_move: bool
    ) -> None:
        self._paces = paces
        self._target = target
        self._clock = clock
        self._may_move = may_move
        self._last_at: float | None = None
        self._slow_gaps = 0

    def should_move(self) -> bool:
        """Take note of an event; return whether the item should move."""
        now = self._clock.monotonic()
        if self._last_at is None:
            self._last_at = now
            return False
        gap = now - self._last_at
        self._last_at = now
        # Several in a row, since a lost packet delays single events.
        slow = self._paces.is_slow(gap, now)
        self._slow_gaps = self._slow_gaps + 1 if slow else 0
        self._paces.note(self._target.id, gap, now)
        return self._may_move and self._slow_gaps >= SLOW_GAPS_BEFORE_MOVING


async def run_item(
    client: TargetClient,
    target: Target,
    job: Job,
    item: JobItem,
    transcript: Transcript,
    seconds_left: float,
    watch: PaceWatch,
) -> RunOutcome:
    """Run an item, going on after what its transcript already has."""
    call = TargetCall(
        RequestId(item.id),
        "POST",
        job.host,
        item.path,
        item.headers,
        item.body,
        job.organisation,
        transcript.last,
        repeatable=True,
    )
    async with AsyncExitStack() as stack:
        reply = await open_within(
            FIRST_EVENT_SECONDS, stack, client, target, call, seconds_left
        )
        if isinstance(reply, AttemptFailure):
            return _failure(reply)
        if reply.status == IMPOSSIBLE_STATUS:
            return Impossible()
        if not 200 <= reply.status < 300:
            return Failed(reply.status)
        return await _read(reply, transcript, job.oldest_version, watch)


def _failure(failure: AttemptFailure) -> RunOutcome:
    match failure:
        case Unreached(detail=detail):
            return NotRun(detail, True)
        case TurnedAway(detail=detail):
            return NotRun(detail, False)
        case Broken(detail=detail):
            return BrokenOff(detail)


async def _read(
    reply: TargetReply,
    transcript: Transcript,
    oldest: WeightVersion,
    watch: PaceWatch,
) -> RunOutcome:
    transcript.begin_run(reply.version)
    events = reply.events()
    wait_seconds = FIRST_EVENT_SECONDS
    while True:
        event = await next_within(wait_seconds, events)
        if event is None:
            return Generated() if transcript.events else BrokenOff("no event at all")
        if isinstance(event, Broken):
            return BrokenOff(event.detail)
        version = event.version or transcript.current_version
        if version is not None and version < oldest:
            return BrokenOff(f"version {version} is older than {oldest}")
        wrong = transcript.add(event)
        if wrong is not None:
            return BrokenOff(wrong)
        if watch.should_move():
            return Moved()
        wait_seconds = NEXT_EVENT_SECONDS
