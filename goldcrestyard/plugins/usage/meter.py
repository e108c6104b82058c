"""Usage meter of an entry.

It counts attempts in memory and sends the totals of each window to the
replicated log at intervals.
"""

import asyncio
import uuid
from collections import OrderedDict

import structlog

from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import AttemptId, InstanceId, OrganisationId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.usage.commands import (
    MeasuredUsage,
    RecordUsage,
    UsageLine,
)
from goldcrestyard.plugins.usage.slices import UsageLineKey, sum_lines
from goldcrestyard.policy.usage_windows import WindowEnd, window_of

logger = structlog.get_logger(__name__)

MAX_REMEMBERED_ATTEMPTS = 65_536
"""Attempt ids kept to detect repeated records.  An entry makes about 11
attempts a second at design size, so an id is kept for more than an hour."""
RETRY_INTERVAL_SECONDS = 1.0
STOP_FLUSH_TIMEOUT_SECONDS = 10.0


class UsageMeter:
    """Counts each attempt that ran exactly once and sends the totals."""

    def __init__(
        self,
        entry: InstanceId,
        link: LeaderLink,
        clock: Clock,
        window_seconds: int,
        flush_seconds: float,
    ) -> None:
        self._entry = entry
        self._link = link
        self._clock = clock
        self._window_seconds = window_seconds
        self._flush_seconds = flush_seconds
        self._incarnation = uuid.uuid4().hex
        self._sequence = 0
        self._totals_by_window: dict[WindowEnd, dict[UsageLineKey, UsageLine]] = {}
        self._counted_attempts: OrderedDict[AttemptId, None] = OrderedDict()
        self._pending_record: RecordUsage | None = None
        self._flush_lock = asyncio.Lock()

    def record(
        self,
        organisation: OrganisationId,
        name: str,
        tokens_in: int,
        tokens_out: int,
        attempt: AttemptId,
    ) -> None:
        """Count an attempt that ran for an organisation.

        ``name`` is the model or the service.  A second call for the same
        attempt has no effect.
        """
        if attempt in self._counted_attempts:
            return
        self._counted_attempts[attempt] = None
        if len(self._counted_attempts) > MAX_REMEMBERED_ATTEMPTS:
            self._counted_attempts.popitem(last=False)
        window = window_of(self._clock.wall(), self._window_seconds)
        totals = self._totals_by_window.setdefault(window, {})
        line = UsageLine(organisation, name, 1, tokens_in, tokens_out)
        key = (organisation, name, False)
        known = totals.get(key)
        totals[key] = line if known is None else sum_lines(known, line)

    async def run(self) -> None:
        """Send the totals at intervals, until cancelled."""
        while True:
            committed = await self.flush()
            await asyncio.sleep(
                self._flush_seconds if committed else RETRY_INTERVAL_SECONDS
            )

    async def flush(self) -> bool:
        """Send one record of totals and return whether it was committed.

        A record whose commit is in doubt is repeated unchanged, since a
        record with other totals under the same sequence number would be lost
        or counted twice.
        """
        async with self._flush_lock:
            if self._pending_record is None:
                if not self._totals_by_window:
                    return True
                self._pending_record = self._take_record()
            result = await self._link.propose(self._pending_record)
            if not isinstance(result, Applied):
                logger.info(
                    "usage record not committed, retrying", detail=result.detail
                )
                return False
            self._pending_record = None
            return True

    async def flush_before_stop(self) -> None:
        """Send the remaining totals before a planned stop.

        Logs an error if they are not committed within the time-out.
        """
        try:
            async with asyncio.timeout(STOP_FLUSH_TIMEOUT_SECONDS):
                while self._pending_record is not None or self._totals_by_window:
                    if not await self.flush():
                        await asyncio.sleep(RETRY_INTERVAL_SECONDS / 4)
        except TimeoutError:
            logger.error("usage lost: not committed before the stop")

    def _take_record(self) -> RecordUsage:
        self._sequence += 1
        measured = tuple(
            MeasuredUsage(window, tuple(totals.values()))
            for window, totals in self._totals_by_window.items()
        )
        self._totals_by_window = {}
        return RecordUsage(
            self._entry,
            self._incarnation,
            self._sequence,
            self._window_seconds,
            measured,
        )
