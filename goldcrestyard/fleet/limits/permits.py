"""Permits for requests to targets with a request limit and to cold ones.

The leader issues the permits of all processes.  While a process cannot reach
a leader that holds its lease, it sends nothing to such targets, since it does
not know what the other processes send.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.attempts import AttemptFailure, Withheld
from goldcrestyard.core.calls import TargetCall, TargetClient, TargetReply
from goldcrestyard.core.ids import RequestRate, TargetId, Term
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.limits.cold import Cold, ColdTargets, Uncertain, Warm
from goldcrestyard.fleet.limits.known import KnownLimits
from goldcrestyard.fleet.limits.messages import (
    AskColdPermit,
    AskPermit,
    ColdRecord,
    LimitEnded,
    LimitRecord,
    NotCold,
    PermitReply,
    WithheldReply,
)
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.cold_targets import COLD_PERMIT_SECONDS
from goldcrestyard.policy.request_limits import (
    NotPermitted,
    Pacing,
    PermitDecision,
    PermitSchedules,
    Permitted,
    is_usable,
    limit_pacing,
)
from goldcrestyard.wire.connection import Handlers, PeerConnection

logger = structlog.get_logger(__name__)

REPLY_TIMEOUT_SECONDS = 0.4
"""Longest wait in seconds for the leader's reply, several round trips between
regions."""

NO_LEADER_RETRY_SECONDS = 0.3
"""Delay in seconds before the leader is asked again after it did not reply."""


class PermitIssuer:
    """Issues permits on the leader, to itself and to the entries."""

    def __init__(
        self,
        member: ControlMember,
        known: KnownLimits,
        cold: ColdTargets,
        clock: Clock,
    ) -> None:
        self._member = member
        self._targets = member.machine.get(TargetsSlice)
        self._cold = cold
        self._cold_schedules = PermitSchedules()
        self._known = known
        self._clock = clock
        self._schedules = PermitSchedules()
        self._term = Term(0)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of entries that ask for permits."""
        handlers.add(AskPermit, self._on_ask)
        handlers.add(AskColdPermit, self._on_ask_cold)

    def take(
        self, target: TargetId, incarnation: str, rate: RequestRate
    ) -> PermitDecision | None:
        """Issue a permit if one is due soon; None without the lease."""
        if not self._member.holds_lease():
            return None
        return self._current_schedules().take(
            target, incarnation, limit_pacing(rate), self._clock.monotonic()
        )

    def available(self, target: Target, rate: RequestRate) -> int:
        """Return how many requests to a target would get a permit now."""
        if not self._member.holds_lease():
            return 0
        return self._current_schedules().available(
            target.id,
            target.incarnation,
            limit_pacing(rate),
            self._clock.monotonic(),
        )

    def take_cold(self, target: Target, pacing: Pacing) -> PermitDecision | None:
        """Issue a permit for a cold target; None without the lease."""
        if not self._member.holds_lease():
            return None
        self._start_anew_with_term()
        return self._cold_schedules.take(
            target.id, target.incarnation, pacing, self._clock.monotonic()
        )

    def available_cold(self, target: Target, pacing: Pacing) -> int:
        """Return how many requests to a cold target would get a permit now."""
        if not self._member.holds_lease():
            return 0
        self._start_anew_with_term()
        return self._cold_schedules.available(
            target.id, target.incarnation, pacing, self._clock.monotonic()
        )

    def _current_schedules(self) -> PermitSchedules:
        self._start_anew_with_term()
        return self._schedules

    def _start_anew_with_term(self) -> None:
        """Replace the schedules with each term as leader."""
        if self._member.term != self._term:
            self._term = self._member.term
            self._schedules = PermitSchedules()
            self._cold_schedules = PermitSchedules()

    async def _on_ask_cold(self, ask: AskColdPermit, _: PeerConnection) -> object:
        target = self._targets.find(ask.record.target)
        if target is None or target.incarnation != ask.record.incarnation:
            return WithheldReply(NO_LEADER_RETRY_SECONDS)
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        self._cold.adopt([ask.record])
        match self._cold.warmth(target):
            case Cold(pacing=pacing):
                match self.take_cold(target, pacing):
                    case Permitted(delay_seconds=seconds):
                        return PermitReply(seconds)
                    case NotPermitted(retry_after_seconds=seconds):
                        return WithheldReply(seconds)
                    case None:
                        return self._member.make_not_leader_reply()
            case Warm():
                return NotCold()
            case Uncertain():
                return WithheldReply(NO_LEADER_RETRY_SECONDS)

    async def _on_ask(self, ask: AskPermit, _: PeerConnection) -> object:
        self._known.adopt(ask.limit)
        known = self._known.record(ask.limit.target) or ask.limit
        if known.incarnation == ask.limit.incarnation and known.rate is None:
            return LimitEnded(known)
        rate = known.rate if known.rate is not None else ask.limit.rate
        assert rate is not None
        match self.take(ask.limit.target, ask.limit.incarnation, rate):
            case Permitted(delay_seconds=seconds):
                return PermitReply(seconds)
            case NotPermitted(retry_after_seconds=seconds):
                return WithheldReply(seconds)
            case None:
                return self._member.make_not_leader_reply()


@dataclass(frozen=True, slots=True)
class IssuedHere:
    """This process is a control member, which issues permits as leader."""

    issuer: PermitIssuer


@dataclass(frozen=True, slots=True)
class IssuedByLeader:
    """This process is an entry, which asks the leader."""

    link: LeaderLink


PermitSource = IssuedHere | IssuedByLeader


class TargetPermits:
    """Obtains permits for the requests of this process."""

    def __init__(
        self,
        known: KnownLimits,
        cold: ColdTargets,
        source: PermitSource,
        metrics: FleetMetrics,
        clock: Clock,
    ) -> None:
        self._known = known
        self._cold = cold
        self._source = source
        self._metrics = metrics
        self._clock = clock

    def is_limited(self, target: Target) -> bool:
        """Return whether requests to a target need a permit."""
        return self._known.rate(target) is not None or not self._cold.is_warm(target)

    def available(self, target: Target) -> int | None:
        """Return how many requests may be sent now; None without a limit."""
        found = [
            count
            for count in (self._available_limited(target), self._available_cold(target))
            if count is not None
        ]
        return min(found, default=None)

    def _available_cold(self, target: Target) -> int | None:
        match self._cold.warmth(target), self._source:
            case Warm(), _:
                return None
            case Cold(pacing=pacing), IssuedHere(issuer=issuer):
                return issuer.available_cold(target, pacing)
            case Cold(), IssuedByLeader():
                return 1
        return 0

    def _available_limited(self, target: Target) -> int | None:
        rate = self._known.rate(target)
        if rate is None:
            return None
        match self._source:
            case IssuedHere(issuer=issuer):
                return issuer.available(target, rate)
            case IssuedByLeader():
                return 1

    async def acquire(self, target: Target) -> Withheld | None:
        """Wait for the permits that are due soon; None if the request may go.

        A permit is checked again after the wait: the process may have been
        suspended meanwhile.  That for a cold target comes last, as it is
        usable for a shorter time.
        """
        return await self._acquire_limited(target) or await self._acquire_cold(target)

    async def _acquire_cold(self, target: Target) -> Withheld | None:
        warmth = self._cold.warmth(target)
        if isinstance(warmth, Warm):
            return None
        asked_at = self._clock.monotonic()
        match await self._decide_cold(target, warmth):
            case None:
                return None
            case NotPermitted(retry_after_seconds=seconds):
                outcome = Withheld("the target is or may be cold", seconds)
            case Permitted(delay_seconds=seconds):
                await asyncio.sleep(seconds)
                now = self._clock.monotonic()
                if is_usable(asked_at + seconds, now, COLD_PERMIT_SECONDS):
                    self._metrics.cold_permits.labels("granted").inc()
                    return None
                outcome = Withheld("the permit has expired", NO_LEADER_RETRY_SECONDS)
        self._metrics.cold_permits.labels("withheld").inc()
        return outcome

    async def _decide_cold(
        self, target: Target, warmth: Cold | Uncertain
    ) -> PermitDecision | None:
        """Return the issuer's decision; None if the target is not cold."""
        match warmth, self._source:
            case Cold(pacing=pacing), IssuedHere(issuer=issuer):
                decision = issuer.take_cold(target, pacing)
                return decision or NotPermitted(NO_LEADER_RETRY_SECONDS)
            case Cold(seconds_left=left), IssuedByLeader(link=link):
                record = ColdRecord(target.id, target.incarnation, left)
                if link.leader is None:
                    return NotPermitted(NO_LEADER_RETRY_SECONDS)
                match await link.request(AskColdPermit(record), REPLY_TIMEOUT_SECONDS):
                    case PermitReply(delay_seconds=seconds):
                        return Permitted(seconds)
                    case WithheldReply(retry_after_seconds=seconds):
                        return NotPermitted(seconds)
                    case NotCold():
                        return None
                    case reply:
                        logger.info(
                            "leader issued no permit", reply=type(reply).__name__
                        )
        return NotPermitted(NO_LEADER_RETRY_SECONDS)

    async def _acquire_limited(self, target: Target) -> Withheld | None:
        record = self._known.record(target.id)
        if record is None or self._known.rate(target) is None:
            return None
        asked_at = self._clock.monotonic()
        match await self._decide(target, record):
            case None:
                return None
            case NotPermitted(retry_after_seconds=seconds):
                outcome = Withheld("request limit of the target", seconds)
            case Permitted(delay_seconds=seconds):
                await asyncio.sleep(seconds)
                if is_usable(asked_at + seconds, self._clock.monotonic()):
                    self._metrics.permits.labels("granted").inc()
                    return None
                outcome = Withheld("the permit has expired", NO_LEADER_RETRY_SECONDS)
        self._metrics.permits.labels("withheld").inc()
        return outcome

    async def _decide(
        self, target: Target, record: LimitRecord
    ) -> PermitDecision | None:
        """Return the issuer's decision; None if the limit has ended."""
        assert record.rate is not None
        match self._source:
            case IssuedHere(issuer=issuer):
                decision = issuer.take(target.id, target.incarnation, record.rate)
                return decision or NotPermitted(NO_LEADER_RETRY_SECONDS)
            case IssuedByLeader(link=link):
                return await self._ask(link, record)

    async def _ask(
        self, link: LeaderLink, record: LimitRecord
    ) -> PermitDecision | None:
        if link.leader is None:
            return NotPermitted(NO_LEADER_RETRY_SECONDS)
        match await link.request(AskPermit(record), REPLY_TIMEOUT_SECONDS):
            case PermitReply(delay_seconds=seconds):
                return Permitted(seconds)
            case WithheldReply(retry_after_seconds=seconds):
                return NotPermitted(seconds)
            case LimitEnded(record=ended):
                self._known.adopt(ended)
                return None
            case reply:
                logger.info("leader issued no permit", reply=type(reply).__name__)
                return NotPermitted(NO_LEADER_RETRY_SECONDS)


class LimitedTargetClient:
    """Sends requests to targets within the targets' request limits."""

    def __init__(
        self, client: TargetClient, permits: TargetPermits, clock: Clock
    ) -> None:
        self._client = client
        self._permits = permits
        self._clock = clock

    async def refuses_connections(self, target: Target) -> bool:
        """Return whether a target refuses a new connection."""
        return await self._client.refuses_connections(target)

    @asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AsyncIterator[TargetReply | AttemptFailure]:
        """Send a request once a permit is due, as ``TargetClient.open`` does.

        The result is ``Withheld`` if none is due soon; nothing was sent then.
        """
        deadline = self._clock.monotonic() + seconds_left
        withheld = await self._permits.acquire(target)
        if withheld is not None:
            yield withheld
            return
        seconds_left = deadline - self._clock.monotonic()
        async with self._client.open(target, call, seconds_left) as reply:
            yield reply
