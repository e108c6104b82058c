"""An entry's part: records the origins of streams, and looks them up."""

import asyncio
from collections import OrderedDict
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
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.policy.serving import route_key
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
)

logger = structlog.get_logger(__name__)

RECORD_SECONDS = 0.05
"""Shortest time in seconds between two messages with records.  A stream that
begins while none is under way is recorded at once."""

RECORD_TIMEOUT_SECONDS = 2.5
"""Longest wait in seconds for the leader's reply, above its own time-out."""

RETRY_SECONDS = 0.2
"""Delay in seconds before records that were not committed are sent again."""

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


def software_of(decision: OriginDecision) -> SoftwareVersion | None:
    """Return the software version that a stream goes on with, if any."""
    match decision:
        case KnownOrigin(origin=origin) | OnlyVersion(origin=origin):
            return origin.software
        case UnknownOrigin():
            return None


class StreamOrigins:
    """Records streams that began here, and finds those that began anywhere."""

    def __init__(self, link: LeaderLink, metrics: FleetMetrics, clock: Clock) -> None:
        self._link = link
        self._metrics = metrics
        self._clock = clock
        self._noted_by_stream: OrderedDict[StreamDigest, _Noted] = OrderedDict()
        self._unrecorded: OrderedDict[StreamDigest, StreamOrigin] = OrderedDict()
        self._noted = asyncio.Event()

    def note(
        self,
        route: ServingRoute,
        organisation: OrganisationId | None,
        first: RequestId,
        origin: StreamOrigin,
    ) -> None:
        """Record the origin of a stream, by the attempt of its first event."""
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
            await self._noted.wait()
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
        """Return where a stream that a caller takes up may go on.

        Only the leader knows whether a single version serves: this entry may
        lack one that has joined, also while it holds its lease.
        """
        services = used_services(route)
        stream = StreamDigest(b"")
        only = recorded = None
        if take_up.first:
            stream = stream_digest(organisation, route, take_up.first)
            recorded = self._remembered(stream)
        if recorded is None and take_up.after is not None:
            match await self._ask(stream, route):
                case OriginReply(service=service, software=software):
                    recorded = StreamOrigin(service, software)
                case OriginNotKnown(only_service=service, only_software=software):
                    only = StreamOrigin(service, software) if software else None
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

    def _remembered(self, stream: StreamDigest) -> StreamOrigin | None:
        noted = self._noted_by_stream.get(stream)
        if noted is None or self._clock.monotonic() - noted.at > TAKE_UP_SECONDS:
            return None
        return noted.origin

    async def _ask(
        self, stream: StreamDigest, route: ServingRoute
    ) -> OriginReply | OriginNotKnown | None:
        """Return what the leader knows of a stream; None without its answer.

        It is asked once more if it does not know where the stream began.
        """
        ask = AskOrigin(stream, *route_key(route))
        answer: OriginNotKnown | None = None
        for delay_seconds in (0.0, ASK_AGAIN_SECONDS):
            await asyncio.sleep(delay_seconds)
            if self._link.leader is None:
                continue
            match await self._link.request(ask, ASK_TIMEOUT_SECONDS):
                case OriginReply() as reply:
                    return reply
                case OriginNotKnown() as answer if answer.only_software:
                    return answer
                case OriginNotKnown() as answer:
                    pass
                case reply:
                    logger.info(
                        "leader named no origin of a stream",
                        reply=type(reply).__name__,
                    )
        return answer
