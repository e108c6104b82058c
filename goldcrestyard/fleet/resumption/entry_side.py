"""An entry's part: records the origins of streams, and looks them up."""

import asyncio
import math
from collections import OrderedDict, deque
from dataclasses import dataclass

import structlog

from goldcrestyard.core.calls import stream_digest
from goldcrestyard.core.ids import (
    OrganisationId,
    RequestId,
    SoftwareVersion,
    StreamDigest,
)
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.resumption.commands import to_groups
from goldcrestyard.fleet.resumption.messages import (
    AskOrigin,
    OriginNotKnown,
    OriginReply,
    OriginsRecorded,
    RecordOrigins,
)
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.splits import used_services
from goldcrestyard.policy.stream_origins import (
    TAKE_UP_SECONDS,
    KnownOrigin,
    OnlyVersion,
    OriginDecision,
    StreamOrigin,
    TakeUp,
    UnknownOrigin,
    decide_origin,
    merge_origins,
    only_origin,
)

logger = structlog.get_logger(__name__)

RECORD_SECONDS = 0.05
"""Shortest time in seconds between two messages with records.  A stream that
begins while none is under way is recorded at once."""

RECORD_TIMEOUT_SECONDS = 2.5
"""Longest wait in seconds for the leader's reply, above its own time-out."""

RETRY_SECONDS = 0.2
"""Delay in seconds before records that were not committed are sent again."""

MAX_LAG_SECONDS = 2.0
"""Time in seconds since the lease was renewed after which an entry that cannot
ask the leader may not have heard of a version that has begun to serve."""

SAMPLE_SECONDS = 2.0
"""Shortest time in seconds between two samples of the log's time."""

MAX_BATCH = 1024
"""Maximum number of streams in one message, about 16 KB."""

MAX_STREAMS = 4096
"""Maximum number of streams that an entry remembers, and of those that wait to
be recorded; beyond it the oldest one is forgotten.  They take 1 MB each."""

ASK_TIMEOUT_SECONDS = 0.4
"""Longest wait in seconds for the leader's reply, several round trips between
regions."""

ASK_AGAIN_SECONDS = 0.15
"""Delay in seconds before the leader is asked once more.  By then it has
committed what another entry recorded before the caller took the stream up."""


@dataclass(frozen=True, slots=True)
class _Noted:
    origin: StreamOrigin
    at: float
    """Monotonic time in seconds."""


@dataclass(frozen=True, slots=True)
class _LogTime:
    seen_at: float
    """Monotonic time in seconds."""
    time: float
    """The log's time, Unix time in seconds."""
    commands_seen: int


def software_of(decision: OriginDecision) -> SoftwareVersion | None:
    """Return the software version that a stream goes on with, if any."""
    match decision:
        case KnownOrigin(origin=origin) | OnlyVersion(origin=origin):
            return origin.software
        case UnknownOrigin():
            return None


class StreamOrigins:
    """Records streams that began here, and finds those that began anywhere."""

    def __init__(
        self, view: EntryView, link: LeaderLink, metrics: FleetMetrics, clock: Clock
    ) -> None:
        self._view = view
        self._targets = view.machine.get(TargetsSlice)
        self._serving = view.machine.get(ServingSlice)
        self._link = link
        self._metrics = metrics
        self._clock = clock
        self._noted_by_stream: OrderedDict[StreamDigest, _Noted] = OrderedDict()
        self._unrecorded: OrderedDict[StreamDigest, StreamOrigin] = OrderedDict()
        self._noted = asyncio.Event()
        self._seen: deque[_LogTime] = deque()

    def note(
        self,
        route: ServingRoute,
        organisation: OrganisationId | None,
        first: RequestId,
        origin: StreamOrigin,
    ) -> None:
        """Record the origin of a stream, by the attempt of its first event."""
        self._since()
        if not first:
            return
        stream = stream_digest(organisation, route, first)
        known = self._noted_by_stream.pop(stream, None)
        merged = merge_origins(known.origin if known else None, origin)
        self._noted_by_stream[stream] = _Noted(merged, self._clock.monotonic())
        self._unrecorded[stream] = merged
        for streams in (self._noted_by_stream, self._unrecorded):
            if len(streams) > MAX_STREAMS:
                streams.popitem(last=False)
        self._noted.set()

    async def run(self) -> None:
        """Send records to the leader until cancelled."""
        while True:
            self._since()
            await wait_at_most(SAMPLE_SECONDS, self._noted.wait())
            if not self._noted.is_set():
                continue
            self._noted.clear()
            batch = list(self._unrecorded.items())[:MAX_BATCH]
            reply = await self._link.request(
                RecordOrigins(to_groups(batch)), RECORD_TIMEOUT_SECONDS
            )
            if isinstance(reply, OriginsRecorded):
                for stream, origin in batch:
                    if self._unrecorded.get(stream) == origin:
                        del self._unrecorded[stream]
            else:
                logger.info(
                    "origins of streams not recorded yet; sending them again",
                    streams=len(batch),
                    reply=type(reply).__name__,
                )
                await asyncio.sleep(RETRY_SECONDS)
            if self._unrecorded:
                self._noted.set()
            await asyncio.sleep(RECORD_SECONDS)

    async def find(
        self,
        route: ServingRoute,
        organisation: OrganisationId | None,
        request: RequestId,
        take_up: TakeUp,
    ) -> OriginDecision:
        """Return where a stream that a caller takes up may go on."""
        services = used_services(route)
        only = None
        if len(services) == 1 and self._view.holds_lease():
            (service,) = services
            since = self._since()
            moved_at = self._serving.moved_at(route)
            if moved_at is not None and (moved_at == 0.0 or moved_at < since):
                software = self._targets.software_since(service, since)
                only = only_origin(services, software)
        recorded = None
        if take_up.first and take_up.after is not None:
            stream = stream_digest(organisation, route, take_up.first)
            recorded = self._remembered(stream)
            if recorded is None:
                match await self._ask(stream, again=only is None):
                    case StreamOrigin() as recorded:
                        pass
                    case None if self._view.renewed_seconds_ago() > MAX_LAG_SECONDS:
                        only = None
        decision = decide_origin(take_up, only, recorded, services)
        self._metrics.take_ups.labels(type(decision).__name__).inc()
        logger.info(
            "stream taken up",
            request=request,
            first=take_up.first,
            after=take_up.after,
            decision=type(decision).__name__,
            software=software_of(decision),
        )
        return decision

    def _since(self) -> float:
        """Return a log time that was ``TAKE_UP_SECONDS`` ago or earlier.

        The log's time jumps when a leader whose clock is ahead takes over, and
        stands still after it.  What the log's time was that long ago by the
        steady clock holds all the same.  A process that has not run so long
        relies on the leader's clock.
        """
        now = self._clock.monotonic()
        latest = _LogTime(now, self._targets.latest_time, self._targets.commands_seen)
        seen = self._seen
        if latest.time == 0.0:
            # Nothing but a snapshot is known: all recorded departures count.
            return 0.0
        if not seen or now - seen[-1].seen_at >= SAMPLE_SECONDS:
            seen.append(latest)
        while len(seen) > 1 and now - seen[1].seen_at >= TAKE_UP_SECONDS:
            seen.popleft()
        before = seen[0]
        if now - before.seen_at < TAKE_UP_SECONDS:
            return before.time + now - before.seen_at - TAKE_UP_SECONDS
        if before.commands_seen == latest.commands_seen:
            return math.nextafter(before.time, math.inf)
        return before.time

    def _remembered(self, stream: StreamDigest) -> StreamOrigin | None:
        noted = self._noted_by_stream.get(stream)
        if noted is None or self._clock.monotonic() - noted.at > TAKE_UP_SECONDS:
            return None
        return noted.origin

    async def _ask(
        self, stream: StreamDigest, *, again: bool
    ) -> StreamOrigin | OriginNotKnown | None:
        """Return what the leader knows of a stream; None without its answer.

        ``again`` tells whether to ask once more if it does not know it.
        """
        answer: OriginNotKnown | None = None
        for delay_seconds in (0.0, ASK_AGAIN_SECONDS) if again else (0.0,):
            await asyncio.sleep(delay_seconds)
            if self._link.leader is None:
                continue
            reply = await self._link.request(AskOrigin(stream), ASK_TIMEOUT_SECONDS)
            match reply:
                case OriginReply(service=service, software=software):
                    return StreamOrigin(service, software)
                case OriginNotKnown():
                    answer = reply
                case _:
                    logger.info(
                        "leader named no origin of a stream",
                        reply=type(reply).__name__,
                    )
        return answer
