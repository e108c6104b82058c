"""The leader's part: commits the origins of streams, and tells them."""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.resumption.commands import (
    KeepOrigins,
    OriginGroup,
    streams_of,
    to_groups,
)
from goldcrestyard.fleet.resumption.messages import (
    AskOrigin,
    OriginNotKnown,
    OriginReply,
    OriginsRecorded,
    RecordOrigins,
)
from goldcrestyard.fleet.resumption.slices import StreamOriginsSlice
from goldcrestyard.fleet.resumption.take_up_window import SAMPLE_SECONDS, TakeUpWindow
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.serving import RouteKey, route_key
from goldcrestyard.policy.splits import used_services
from goldcrestyard.policy.stream_origins import StreamOrigin, only_origin
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

COMMIT_SECONDS = 0.05
"""Shortest time in seconds between two commands.  All records that arrive
meanwhile share one log entry and one disk sync."""

COMMIT_TIMEOUT_SECONDS = 2.0
"""Longest wait in seconds of an entry for the commit of its records.  It sends
them again afterwards."""

MAX_WAITING_BYTES = 1024 * 1024
"""Maximum size of the records that wait for a commit."""

NOT_RECORDED = Failure(
    RefusalReason.NO_LEADER, "the streams are not committed", Verdict.MAY_HAVE_RUN
)


class OriginKeeper:
    """Commits the records of all entries in batches, and answers entries."""

    def __init__(self, member: ControlMember, clock: Clock) -> None:
        self._member = member
        self._kept = member.machine.get(StreamOriginsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._targets = member.machine.get(TargetsSlice)
        self._window = TakeUpWindow(self._targets, clock)
        self._waiting: list[tuple[tuple[OriginGroup, ...], asyncio.Future[bool]]] = []
        self._waiting_bytes = 0
        self._arrived = asyncio.Event()

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of the entries' messages."""
        handlers.add(RecordOrigins, self._on_record)
        handlers.add(AskOrigin, self._on_ask)

    async def watch_log_time(self) -> None:
        """Sample the log's time until cancelled.

        Run it before this member leads as well: its clock may be ahead.
        """
        while True:
            self._window.since()
            await asyncio.sleep(SAMPLE_SECONDS)

    async def run(self) -> None:
        """Commit records until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            batch, self._waiting = self._waiting, []
            self._waiting_bytes = 0
            committed = False
            try:
                command = KeepOrigins(
                    to_groups(
                        stream for groups, _ in batch for stream in streams_of(groups)
                    )
                )
                result = await self._member.propose(command)
                committed = isinstance(result, Applied)
            finally:
                for _, future in batch:
                    if not future.done():
                        future.set_result(committed)
            await asyncio.sleep(COMMIT_SECONDS)

    async def _on_record(self, record: RecordOrigins, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        size = sum(len(group.digests) for group in record.groups)
        if self._waiting_bytes + size > MAX_WAITING_BYTES:
            return NOT_RECORDED
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append((record.groups, future))
        self._waiting_bytes += size
        self._arrived.set()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                return OriginsRecorded() if await future else NOT_RECORDED
        except TimeoutError:
            return NOT_RECORDED

    async def _on_ask(self, ask: AskOrigin, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        origin = self._kept.find(ask.stream)
        if origin is not None:
            return OriginReply(origin.service, origin.software)
        only = self._only_origin((ask.host, ask.prefix))
        if only is None:
            return OriginNotKnown()
        return OriginNotKnown(only.service, only.software)

    def _only_origin(self, key: RouteKey) -> StreamOrigin | None:
        """Return the only possible origin of a route's streams, or None.

        An entry that passed an event on had learned of its target from the
        log, so this leader knows of the target as well.
        """
        table = self._serving.table
        route = None if table is None else table.route(*key)
        if route is None or route_key(route) != key:
            return None
        services = used_services(route)
        since = self._window.since()
        moved_at = self._serving.moved_at(route)
        if len(services) != 1 or moved_at is None:
            return None
        if moved_at > 0.0 and moved_at >= since:
            return None
        (service,) = services
        return only_origin(services, self._targets.software_since(service, since))
