"""Scheduler that assigns targets to requests.

Requests wait in one fair queue for each model or service.  When a target has
a free slot, the first request in queue order that the target may serve gets
a grant for it.  The outcome of each attempt updates the target's statistics.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from goldcrestyard.core.attempts import (
    Answered,
    AttemptOutcome,
    Broken,
    TokenCount,
    TurnedAway,
    Unreached,
)
from goldcrestyard.core.ids import (
    AttemptId,
    OrganisationId,
    Region,
    TargetId,
    new_attempt_id,
)
from goldcrestyard.core.records import Organisation, Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.fairness import (
    USE_HALF_LIFE_SECONDS,
    FairQueue,
    TokenUse,
    WaitingRequest,
)
from goldcrestyard.policy.routing import (
    LoadReport,
    RequestNeeds,
    TargetStatistics,
    choose_target,
    may_serve,
)

SECONDS_PER_MINUTE = 60.0
EJECTION_CHECK_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """What the scheduler has to know of a request that needs a target."""

    name: str
    """Name of the model or service."""
    organisation: Organisation
    needs: RequestNeeds
    tried: frozenset[TargetId] = frozenset()
    deadline: float = float("inf")


@dataclass(frozen=True, slots=True)
class Run:
    """Token count of one attempt that ran on a target, for metering."""

    attempt: AttemptId
    organisation: OrganisationId
    name: str
    tokens: TokenCount


@dataclass(slots=True)
class Grant:
    """Permission for one attempt to use a target until it is released."""

    target: Target
    statistics: TargetStatistics
    work: WorkRequest
    granted_at: float
    attempt: AttemptId = field(default_factory=new_attempt_id)
    outcome: AttemptOutcome | None = None
    token_count: TokenCount | None = None
    """Tokens that the attempt has used so far; None while unknown."""

    def finish(
        self, outcome: AttemptOutcome, token_count: TokenCount | None = None
    ) -> None:
        """Record the outcome, from which the target's statistics follow."""
        self.outcome = outcome
        self.token_count = token_count or self.token_count

    @property
    def generated_tokens(self) -> float | None:
        """Number of generated tokens; None if unknown or zero.

        Calls of plain services generate no tokens.
        """
        if self.token_count is None or self.token_count.generated == 0:
            return None
        return float(self.token_count.generated)


@dataclass(slots=True)
class _QueuedRequest:
    work: WorkRequest
    grant_future: "asyncio.Future[Grant]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Scheduler:
    """Queues requests by model or service and keeps target statistics."""

    def __init__(
        self,
        targets: TargetsSlice,
        clock: Clock,
        region: Region,
        settings: SchedulingSettings,
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._region = region
        self._settings = settings
        self._queues_by_name: dict[str, FairQueue[_QueuedRequest]] = {}
        self._retry_observers: list[Callable[[], None]] = []
        self._run_observers: list[Callable[[Run], None]] = []
        self.use = TokenUse()
        self.statistics_by_id: dict[TargetId, TargetStatistics] = {}

    @property
    def waiting(self) -> int:
        """The number of queued requests."""
        return sum(queue.length for queue in self._queues_by_name.values())

    @property
    def in_flight(self) -> int:
        """The number of grants that are not released yet."""
        return sum(
            statistics.in_flight for statistics in self.statistics_by_id.values()
        )

    def record_load(self, target_id: TargetId, report: LoadReport) -> None:
        """Store a target's load report unless a newer one is known."""
        target = self._targets.find(target_id)
        if target is None:
            return
        self._ensure_statistics(target)
        statistics = self.statistics_by_id[target_id]
        if statistics.load is None or report.measured_at > statistics.load.measured_at:
            statistics.load = report

    def observe_retries(self, observer: Callable[[], None]) -> None:
        """Register a function to call at each retry."""
        self._retry_observers.append(observer)

    def observe_runs(self, observer: Callable[[Run], None]) -> None:
        """Register a function to call once for each attempt that ran."""
        self._run_observers.append(observer)

    def report_retry(self) -> None:
        """Tell the observers that a request is sent again."""
        for observer in self._retry_observers:
            observer()

    @asynccontextmanager
    async def acquire(self, work: WorkRequest) -> AsyncIterator[Grant | Refusal]:
        """Wait for a target and hold it while the context is open.

        Yields a refusal, always with the verdict "not run", if no target
        serves the request, the organisation's token limit is reached, the
        queue is too long or the maximum wait has passed.
        """
        granted = await self._wait(work)
        if isinstance(granted, Refusal):
            yield granted
            return
        try:
            yield granted
        finally:
            self._release(granted)

    def on_targets_changed(self) -> None:
        """Drop statistics of removed targets and serve the queues."""
        self._remove_unused_statistics()
        self.serve_queues()

    def serve_queues(self) -> None:
        """Grant targets to queued requests while slots are free."""
        for name in list(self._queues_by_name):
            self._serve_queue(name)

    async def run(self) -> None:
        """Serve the queues periodically, since no event ends an ejection."""
        while True:
            await asyncio.sleep(EJECTION_CHECK_INTERVAL_SECONDS)
            self.serve_queues()

    def is_over_token_limit(self, organisation: Organisation) -> bool:
        """Return whether an organisation exceeds its tokens per minute."""
        limit = organisation.tokens_per_minute
        if limit is None:
            return False
        used = self.use.total_use(organisation.id, self._clock.monotonic())
        # A steady rate r leads to a decayed count of r * half-life / ln 2.
        return used > limit * STEADY_COUNT_PER_TOKEN_A_MINUTE

    async def _wait(self, work: WorkRequest) -> Grant | Refusal:
        """Queue a request until it is granted a target or refused."""
        now = self._clock.monotonic()
        serving = self._targets.serving(work.name)
        if not any(may_serve(target, work.needs, work.tried) for target in serving):
            return Refusal(
                RefusalReason.NO_TARGET,
                f"no available target serves {work.name}",
                retry_after_seconds=5.0,
            )
        if self.is_over_token_limit(work.organisation):
            return Refusal(
                RefusalReason.LIMIT,
                "the organisation has reached its limit of tokens per minute",
                retry_after_seconds=10.0,
            )
        request = self._to_waiting_request(work, now)
        queue = self._queues_by_name.setdefault(work.name, FairQueue(self.use))
        refusal = queue.refusal(request, now)
        if refusal is not None:
            return refusal
        if not queue.length:
            queue.rate.begin(now)
        queue.push(request)
        self._serve_queue(work.name)
        grant: Grant | None = None
        try:
            async with asyncio.timeout(max(0.0, request.deadline - now)):
                grant = await request.payload.grant_future
            return grant
        except TimeoutError:
            return Refusal(
                RefusalReason.CAPACITY,
                "no target became free in time",
                retry_after_seconds=5.0,
            )
        finally:
            if grant is None:
                self._abandon_wait(queue, request)

    def _to_waiting_request(
        self, work: WorkRequest, now: float
    ) -> WaitingRequest[_QueuedRequest]:
        max_wait_seconds = (
            self._settings.queue_seconds
            if work.needs.priority is Priority.INTERACTIVE
            else self._settings.rollout_queue_seconds
        )
        return WaitingRequest(
            work.organisation.id,
            work.organisation.share,
            work.needs.priority,
            work.needs.tokens,
            min(work.deadline, now + max_wait_seconds),
            _QueuedRequest(work),
        )

    def _abandon_wait(
        self, queue: FairQueue[_QueuedRequest], request: WaitingRequest[_QueuedRequest]
    ) -> None:
        """Clean up after a wait that was cancelled or timed out.

        If the grant was given at the same moment, it is released.
        """
        grant_future = request.payload.grant_future
        if grant_future.done() and not grant_future.cancelled():
            self._release(grant_future.result())
            return
        grant_future.cancel()
        queue.remove(request)

    def _serve_queue(self, name: str) -> None:
        queue = self._queues_by_name[name]
        if not queue.length:
            return
        candidates = self._targets.serving(name)
        for target in candidates:
            self._ensure_statistics(target)
        granted = True
        while granted and queue.length:
            granted = self._grant_next(queue, candidates)

    def _ensure_statistics(self, target: Target) -> None:
        """Create statistics for a target that is new or has restarted."""
        known = self.statistics_by_id.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            limit = float(target.max_concurrency)
            self.statistics_by_id[target.id] = TargetStatistics(
                limit, target.incarnation
            )

    def _grant_next(
        self, queue: FairQueue[_QueuedRequest], candidates: Sequence[Target]
    ) -> bool:
        """Grant a target to the first request that any target can serve now.

        Returns False if there is none.
        """
        now = self._clock.monotonic()
        for request in queue.in_order(now):
            work = request.payload.work
            target = choose_target(
                candidates,
                self.statistics_by_id,
                work.needs,
                self._region,
                work.tried,
                now,
            )
            if target is None:
                continue
            queue.grant(request, now)
            statistics = self.statistics_by_id[target.id]
            statistics.record_start(work.needs.tokens, work.needs.prefix)
            request.payload.grant_future.set_result(
                Grant(target, statistics, work, now)
            )
            return True
        return False

    def _release(self, grant: Grant) -> None:
        """End a grant, record its outcome and use, and serve the queue."""
        now = self._clock.monotonic()
        work = grant.work
        self._record_outcome(grant, now)
        self._report_run(grant)
        grant.statistics.record_end(work.needs.tokens)
        if grant.generated_tokens is not None:
            surplus = grant.generated_tokens - work.needs.tokens
            self.use.charge(work.organisation.id, surplus, now)
        queue = self._queues_by_name.get(work.name)
        if queue is not None:
            if queue.length:
                queue.rate.observe(grant.generated_tokens or work.needs.tokens, now)
            self._serve_queue(work.name)

    def _report_run(self, grant: Grant) -> None:
        """Report an attempt that ran, even if its answer was incomplete."""
        if grant.token_count is None:
            return
        organisation = grant.work.organisation.id
        run = Run(grant.attempt, organisation, grant.work.name, grant.token_count)
        for observer in self._run_observers:
            observer(run)

    @staticmethod
    def _record_outcome(grant: Grant, now: float) -> None:
        statistics = grant.statistics
        match grant.outcome:
            case Answered(status=status) if status < 500:
                tokens = grant.generated_tokens or 0.0
                seconds = now - grant.granted_at
                statistics.record_success(tokens, seconds, grant.target.max_concurrency)
            case TurnedAway():
                statistics.record_overload()
            case Unreached() | Broken() | Answered():
                statistics.record_failure(now)
            case None:
                # The caller disconnected, so the outcome is unknown.
                pass

    def _remove_unused_statistics(self) -> None:
        for target_id, statistics in list(self.statistics_by_id.items()):
            if not statistics.in_flight and self._targets.find(target_id) is None:
                del self.statistics_by_id[target_id]


STEADY_COUNT_PER_TOKEN_A_MINUTE = (
    USE_HALF_LIFE_SECONDS / math.log(2) / SECONDS_PER_MINUTE
)
"""Decayed count that results from a steady use of one token per minute."""
