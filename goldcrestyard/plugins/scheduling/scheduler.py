"""The scheduler: gives waiting requests their targets in fair order."""

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

MINUTE_SECONDS = 60.0
EJECTED_POLL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """A request for one target, as the scheduler sees it."""

    name: str
    """The model or service."""
    organisation: Organisation
    needs: RequestNeeds
    tried: frozenset[TargetId] = frozenset()
    deadline: float = float("inf")


@dataclass(frozen=True, slots=True)
class Run:
    """What one attempt that ran on a target has used."""

    attempt: AttemptId
    organisation: OrganisationId
    name: str
    tokens: TokenCount


@dataclass(slots=True)
class Grant:
    """A target that one attempt may use, until the grant is released."""

    target: Target
    statistics: TargetStatistics
    work: WorkRequest
    granted_at: float
    attempt: AttemptId = field(default_factory=new_attempt_id)
    outcome: AttemptOutcome | None = None
    used: TokenCount | None = None
    """What the attempt has used so far, as far as it is known."""

    def finish(self, outcome: AttemptOutcome, used: TokenCount | None = None) -> None:
        """Say how the attempt ended, for the scheduler to learn from."""
        self.outcome = outcome
        self.used = used or self.used

    @property
    def tokens(self) -> float | None:
        """The generated tokens; None if unknown or not what counts."""
        if self.used is None or self.used.generated == 0:
            return None
        return float(self.used.generated)


@dataclass(slots=True)
class _Waiting:
    work: WorkRequest
    granted: "asyncio.Future[Grant]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Scheduler:
    """Queues requests by model or service, and learns about targets."""

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
        self._queues_by_name: dict[str, FairQueue[_Waiting]] = {}
        self._retry_observers: list[Callable[[], None]] = []
        self._run_observers: list[Callable[[Run], None]] = []
        self.use = TokenUse()
        self.statistics_by_id: dict[TargetId, TargetStatistics] = {}

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return sum(queue.length for queue in self._queues_by_name.values())

    @property
    def in_flight(self) -> int:
        """The number of requests that this entry has sent to targets."""
        return sum(
            statistics.in_flight for statistics in self.statistics_by_id.values()
        )

    def learn_load(self, target_id: TargetId, report: LoadReport) -> None:
        """Take note of a target's own word on its load."""
        target = self._targets.find(target_id)
        if target is None:
            return
        self._know(target)
        statistics = self.statistics_by_id[target_id]
        if statistics.load is None or report.measured_at > statistics.load.measured_at:
            statistics.load = report

    def observe_retries(self, observer: Callable[[], None]) -> None:
        """Call a function at each retry."""
        self._retry_observers.append(observer)

    def observe_runs(self, observer: Callable[[Run], None]) -> None:
        """Call a function once for each attempt that ran."""
        self._run_observers.append(observer)

    def note_retry(self) -> None:
        """Note that a request is sent again."""
        for observer in self._retry_observers:
            observer()

    @asynccontextmanager
    async def acquire(self, work: WorkRequest) -> AsyncIterator[Grant | Refusal]:
        """Wait for a target; the block holds it.

        Yields a refusal, always "not run", if there is no target, the queue
        is too long, or the request's time is up before its turn.
        """
        granted = await self._wait(work)
        if isinstance(granted, Refusal):
            yield granted
            return
        try:
            yield granted
        finally:
            self._release(granted)

    def targets_changed(self) -> None:
        """Take note of targets that have come or gone."""
        self._forget_lost_targets()
        self.pump()

    def pump(self) -> None:
        """Grant targets while there are requests and room."""
        for name in list(self._queues_by_name):
            self._pump_queue(name)

    async def run(self) -> None:
        """Look again at queues whose targets may return from ejection."""
        while True:
            await asyncio.sleep(EJECTED_POLL_SECONDS)
            self.pump()

    def over_limit(self, organisation: Organisation) -> bool:
        """Return whether an organisation has used up its rate of tokens."""
        limit = organisation.tokens_per_minute
        if limit is None:
            return False
        used = self.use.total_use(organisation.id, self._clock.monotonic())
        # A steady rate r leaves a decayed count of r * half-life / ln 2.
        return used > limit * STEADY_COUNT_MINUTES

    async def _wait(self, work: WorkRequest) -> Grant | Refusal:
        now = self._clock.monotonic()
        serving = self._targets.serving(work.name)
        if not any(may_serve(target, work.needs, work.tried) for target in serving):
            return Refusal(
                RefusalReason.NO_TARGET,
                f"no target is left that serves {work.name}",
                retry_after_seconds=5.0,
            )
        if self.over_limit(work.organisation):
            return Refusal(
                RefusalReason.LIMIT,
                "the organisation's limit of tokens a minute is used up",
                retry_after_seconds=10.0,
            )
        request = self._waiting_request(work, now)
        queue = self._queues_by_name.setdefault(work.name, FairQueue(self.use))
        refusal = queue.refusal(request, now)
        if refusal is not None:
            return refusal
        if not queue.length:
            queue.rate.begin(now)
        queue.push(request)
        self._pump_queue(work.name)
        taken: Grant | None = None
        try:
            async with asyncio.timeout(max(0.0, request.deadline - now)):
                taken = await request.payload.granted
            return taken
        except TimeoutError:
            return Refusal(
                RefusalReason.CAPACITY,
                "no target became free in time",
                retry_after_seconds=5.0,
            )
        finally:
            if taken is None:
                self._give_up(queue, request)

    def _waiting_request(
        self, work: WorkRequest, now: float
    ) -> WaitingRequest[_Waiting]:
        longest = (
            self._settings.queue_seconds
            if work.needs.priority is Priority.INTERACTIVE
            else self._settings.rollout_queue_seconds
        )
        return WaitingRequest(
            work.organisation.id,
            work.organisation.share,
            work.needs.priority,
            work.needs.tokens,
            min(work.deadline, now + longest),
            _Waiting(work),
        )

    def _give_up(
        self, queue: FairQueue[_Waiting], request: WaitingRequest[_Waiting]
    ) -> None:
        """Clean up after a wait that was cancelled or timed out.

        The grant may have come at the same moment; it is given back.
        """
        granted = request.payload.granted
        if granted.done() and not granted.cancelled():
            self._release(granted.result())
            return
        granted.cancel()
        queue.remove(request)

    def _pump_queue(self, name: str) -> None:
        queue = self._queues_by_name[name]
        if not queue.length:
            return
        candidates = self._targets.serving(name)
        for target in candidates:
            self._know(target)
        placed = True
        while placed and queue.length:
            placed = self._grant_next(queue, candidates)

    def _know(self, target: Target) -> None:
        """Begin to learn about a target that is new or has started again."""
        known = self.statistics_by_id.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            limit = float(target.max_concurrency)
            self.statistics_by_id[target.id] = TargetStatistics(
                limit, target.incarnation
            )

    def _grant_next(
        self, queue: FairQueue[_Waiting], candidates: Sequence[Target]
    ) -> bool:
        """Grant a target to the first request in order that can have one."""
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
            request.payload.granted.set_result(Grant(target, statistics, work, now))
            return True
        return False

    def _release(self, grant: Grant) -> None:
        now = self._clock.monotonic()
        work = grant.work
        self._learn(grant, now)
        self._report_run(grant)
        grant.statistics.record_end(work.needs.tokens)
        if grant.tokens is not None:
            surplus = grant.tokens - work.needs.tokens
            self.use.charge(work.organisation.id, surplus, now)
        queue = self._queues_by_name.get(work.name)
        if queue is not None:
            if queue.length:
                queue.rate.observe(grant.tokens or work.needs.tokens, now)
            self._pump_queue(work.name)

    def _report_run(self, grant: Grant) -> None:
        """Report an attempt that ran, whole or not."""
        if grant.used is None:
            return
        organisation = grant.work.organisation.id
        run = Run(grant.attempt, organisation, grant.work.name, grant.used)
        for observer in self._run_observers:
            observer(run)

    @staticmethod
    def _learn(grant: Grant, now: float) -> None:
        statistics = grant.statistics
        match grant.outcome:
            case Answered(status=status) if status < 500:
                tokens = grant.tokens or 0.0
                seconds = now - grant.granted_at
                statistics.record_success(tokens, seconds, grant.target.max_concurrency)
            case TurnedAway():
                statistics.record_overload()
            case Unreached() | Broken() | Answered():
                statistics.record_failure(now)
            case None:
                # The caller went away; that says nothing about the target.
                pass

    def _forget_lost_targets(self) -> None:
        for target_id, statistics in list(self.statistics_by_id.items()):
            if not statistics.in_flight and self._targets.find(target_id) is None:
                del self.statistics_by_id[target_id]


STEADY_COUNT_MINUTES = USE_HALF_LIFE_SECONDS / math.log(2) / MINUTE_SECONDS
"""Decayed count of a steady use of one token a minute, in tokens."""
