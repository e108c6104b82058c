"""Counts the usage of this entry and sends totals to the leader's log."""

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
from goldcrestyard.plugins.usage.slices import LineKey, add
from goldcrestyard.policy.usage_windows import WindowEnd, window_of

logger = structlog.get_logger(__name__)

KNOWN_ATTEMPTS = 65_536
"""An entry makes about 11 attempts a second at design size, so an attempt
stays known for more than an hour."""
RETRY_SECONDS = 1.0
MAX_WAIT_AT_STOP_SECONDS = 10.0


class UsageMeter:
    """Counts each attempt that ran once."""

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
        self._totals_by_window: dict[WindowEnd, dict[LineKey, UsageLine]] = {}
        self._attempts: OrderedDict[AttemptId, None] = OrderedDict()
        self._under_way: RecordUsage | None = None
        self._sending = asyncio.Lock()

    def record(
        self,
        organisation: OrganisationId,
        name: str,
        tokens_in: int,
        tokens_out: int,
        attempt: AttemptId,
    ) -> None:
        """Count an attempt that ran for an organisation.

        ``name`` is the model or the service.  A second call for an attempt
        changes nothing.
        """
        if attempt in self._attempts:
            return
        self._attempts[attempt] = None
        if len(self._attempts) > KNOWN_ATTEMPTS:
            self._attempts.popitem(last=False)
        window = window_of(self._clock.wall(), self._window_seconds)
        totals = self._totals_by_window.setdefault(window, {})
        line = UsageLine(organisation, name, 1, tokens_in, tokens_out)
        key = (organisation, name, False)
        known = totals.get(key)
        totals[key] = line if known is None else add(known, line)

    async def run(self) -> None:
        """Send the totals at intervals."""
        while True:
            taken = await self.flush()
            await asyncio.sleep(self._flush_seconds if taken else RETRY_SECONDS)

    async def flush(self) -> bool:
        """Send the totals; return whether the leader's log has taken them.

        A record whose commit is in doubt is repeated unchanged, since a
        record with other totals under its number would be lost or counted
        twice.
        """
        async with self._sending:
            if self._under_way is None:
                if not self._totals_by_window:
                    return True
                self._under_way = self._take()
            result = await self._link.propose(self._under_way)
            if not isinstance(result, Applied):
                logger.info("usage is sent again", detail=result.detail)
                return False
            self._under_way = None
            return True

    async def flush_before_stop(self) -> None:
        """Send what is left; a planned stop loses nothing."""
        try:
            async with asyncio.timeout(MAX_WAIT_AT_STOP_SECONDS):
                while self._under_way is not None or self._totals_by_window:
                    if not await self.flush():
                        await asyncio.sleep(RETRY_SECONDS / 4)
        except TimeoutError:
            logger.error("usage is lost: no leader took it before the stop")

    def _take(self) -> RecordUsage:
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
