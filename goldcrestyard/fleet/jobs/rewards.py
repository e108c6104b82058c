"""Reward calls: requests to a scoring service for the score of an item's text.

A call is retried, hedged to a second target and queued for a free slot, until
it has a score, its route's attempts are used up or its deadline has passed.
"""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import structlog

from goldcrestyard.core.attempts import AttemptFailure, describe_failure
from goldcrestyard.core.calls import TargetCall, TargetClient
from goldcrestyard.core.ids import OrganisationId, Region, TargetId
from goldcrestyard.core.jobs import RewardCall
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.gateway.hedging import CallHedging, RouteHedging
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.slot_queue import Rank, SlotWaitQueue
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.policy.call_routing import CallStatistics
from goldcrestyard.policy.hedging import (
    UNKNOWN_OBJECTIVE_SECONDS,
    HedgeWithheld,
    SecondAttempt,
    second_attempt,
    seconds_to_next_check,
)
from goldcrestyard.policy.splits import service_at, used_services

logger = structlog.get_logger(__name__)

RETRY_BACKOFF = Backoff(base_seconds=0.05, longest_seconds=1.0)
"""Pauses between two rounds of attempts over the targets.  Without them, a
call that the last target of a service refused was resent 2,000 times a
second."""

MAX_CONCURRENT_ATTEMPTS = 2
"""Maximum number of concurrent attempts of one call, including the hedge."""

MAX_ANSWER_BYTES = 1024 * 1024
"""Largest body of an answer to a reward call.  Nothing of it is kept."""

COUNTED_FAILURE_STATUS = 500
"""HTTP status that counts towards the route's ``max_attempts``."""

SLOT_WAIT_SECONDS = 0.25
"""Longest wait in seconds for a released slot before the targets are checked
again, since waiting calls are not notified of new targets."""

RESEND_AFTER_OBJECTIVES = 2.0
"""Time without an answer, as a multiple of the route's latency objective,
after which a call is sent again to the same target over a new connection.
Earlier resends would add load to targets that are only slow."""


@dataclass(frozen=True, slots=True)
class Scored:
    """The service has scored the text."""

    score: str
    """The signature of the service's answer."""


@dataclass(frozen=True, slots=True)
class NoScore:
    """The call has no route or no attempt left, or its deadline has passed."""


@dataclass(frozen=True, slots=True)
class _Attempt:
    target: Target
    started_at: float
    is_hedge: bool


@dataclass(slots=True)
class _CallState:
    """State of one call over all its attempts."""

    point: float
    """Point of the route's split."""
    tried: set[TargetId] = field(default_factory=set)
    running: dict[asyncio.Task[Scored | int | None], _Attempt] = field(
        default_factory=dict
    )
    rounds: int = 0
    failed: int = 0
    """Attempts that count towards the route's ``max_attempts``."""
    hedged: bool = False
    """Whether a hedge was due, even if it was withheld."""
    attempt_failed: bool = False
    """Whether an attempt has failed since the latest one began."""

    @property
    def latest(self) -> _Attempt:
        """The attempt in progress that began last."""
        return list(self.running.values())[-1]


class RewardClient:
    """Sends reward calls to scoring services, with retries and hedging."""

    def __init__(
        self,
        serving: ServingSlice,
        router: CallRouter,
        client: TargetClient,
        clock: Clock,
        random_source: random.Random | None = None,
        hedging: CallHedging | None = None,
    ) -> None:
        self._hedging = hedging or CallHedging(clock)
        self._serving = serving
        self._router = router
        self._client = client
        self._clock = clock
        self._random = random_source or random.Random()
        self._slot_queue = SlotWaitQueue()

    async def score(
        self,
        call: RewardCall,
        deadline: float,
        rank: Rank = (),
        organisation: OrganisationId | None = None,
        point: float = 0.0,
    ) -> Scored | NoScore:
        """Return the score, or ``NoScore`` once no further attempt is allowed.

        A call without an answer is hedged to a second target, since a
        trainer's step waits for the last of its scores.  Calls that wait for a
        free slot are served by the lowest ``rank``.  ``deadline`` is a
        monotonic time in seconds.  The homes of the ``organisation`` count as
        well as those of the call's route.  ``point`` is that of the call in
        the split of its route.
        """
        state = _CallState(point)
        hedging: RouteHedging | None = None
        objective: float | None = None
        try:
            while self._clock.monotonic() < deadline:
                route = self._find_route(call)
                if route is None or state.failed >= route.max_attempts:
                    return NoScore()
                objective = route.objective_seconds
                if hedging is None:
                    hedging = self._hedging.of_route(route)
                    hedging.note_request()
                kind = self._due_attempt(state, route)
                target = self._next_target(
                    state,
                    route,
                    hedging,
                    kind,
                    self._allowed_regions(route, organisation),
                )
                if target is not None:
                    state.tried.add(target.id)
                    task = self._start_attempt(call, route, target)
                    state.running[task] = _Attempt(
                        target, self._clock.monotonic(), kind is SecondAttempt.HEDGE
                    )
                    pause = self._seconds_to_next_check(route, state.latest)
                elif kind is SecondAttempt.WAIT:
                    pause = self._seconds_to_next_check(route, state.latest)
                elif not state.tried and not state.running:
                    await self._slot_queue.wait(rank, SLOT_WAIT_SECONDS)
                    continue
                else:
                    # A target that is full now may have a free slot later.
                    state.rounds += 1
                    state.tried.clear()
                    pause = RETRY_BACKOFF.delay_seconds(
                        state.rounds, self._random.random()
                    )
                scored = await self._wait(state, hedging, pause)
                if scored is not None:
                    return scored
            return NoScore()
        finally:
            for task, attempt in state.running.items():
                task.cancel()
                if hedging is not None:
                    # Left out, the losers would shorten the delay; counted
                    # in full, those at a frozen target would lengthen it.
                    elapsed = self._clock.monotonic() - attempt.started_at
                    pace = hedging.pace(objective)
                    hedging.note_latency(min(elapsed, pace.hedge_seconds))

    async def _wait(
        self, state: _CallState, hedging: RouteHedging, seconds: float
    ) -> Scored | None:
        """Return the score if an attempt brings it within a time."""
        if not state.running:
            await asyncio.sleep(seconds)
            return None
        done, _ = await asyncio.wait(
            state.running, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            ended = state.running.pop(task)
            outcome = task.result()
            if isinstance(outcome, Scored):
                hedging.note_latency(self._clock.monotonic() - ended.started_at)
                if ended.is_hedge:
                    hedging.note_won()
                return outcome
            state.attempt_failed = True
            state.failed += outcome == COUNTED_FAILURE_STATUS
        return None

    def _due_attempt(self, state: _CallState, route: ServingRoute) -> SecondAttempt:
        """Return whether another attempt is due; after a failure it is."""
        failed, state.attempt_failed = state.attempt_failed, False
        if not state.running or failed:
            return SecondAttempt.RETRY
        latest = state.latest
        return second_attempt(
            self._hedging.of_route(route).pace(route.objective_seconds),
            self._clock.monotonic() - latest.started_at,
            target_answers=self._router.has_answered_since(
                latest.target, latest.started_at
            ),
            hedged=state.hedged,
        )

    def _next_target(
        self,
        state: _CallState,
        route: ServingRoute,
        hedging: RouteHedging,
        kind: SecondAttempt,
        regions: frozenset[Region] | None,
    ) -> Target | None:
        """Return the next attempt's target, or None if there is none now."""
        if kind is SecondAttempt.WAIT or len(state.running) >= MAX_CONCURRENT_ATTEMPTS:
            return None
        recently_called = self._recently_called_targets(route, state.running.values())
        target = self._choose_target(
            route,
            state.point,
            state.tried | recently_called,
            hedge=bool(state.running),
            regions=regions,
        )
        if kind is SecondAttempt.HEDGE:
            state.hedged = True
            if target is None:
                hedging.note_withheld(HedgeWithheld.NO_ROOM)
            elif not hedging.take():
                return None
        return target

    def _seconds_to_next_check(self, route: ServingRoute, latest: _Attempt) -> float:
        return seconds_to_next_check(
            self._hedging.of_route(route).pace(route.objective_seconds),
            self._clock.monotonic() - latest.started_at,
        )

    def _recently_called_targets(
        self, route: ServingRoute, attempts: Iterable[_Attempt]
    ) -> set[TargetId]:
        """Return targets that were called too recently for a resend."""
        objective = route.objective_seconds or UNKNOWN_OBJECTIVE_SECONDS
        resend_before = self._clock.monotonic() - RESEND_AFTER_OBJECTIVES * objective
        return {
            attempt.target.id
            for attempt in attempts
            if attempt.started_at > resend_before
        }

    def _find_route(self, call: RewardCall) -> ServingRoute | None:
        table = self._serving.table
        return table.route(call.host, call.path) if table is not None else None

    def _allowed_regions(
        self, route: ServingRoute, organisation: OrganisationId | None
    ) -> frozenset[Region] | None:
        table = self._serving.table
        return None if table is None else table.allowed_regions(route, organisation)

    def _choose_target(
        self,
        route: ServingRoute,
        point: float,
        tried: set[TargetId],
        *,
        hedge: bool,
        regions: frozenset[Region] | None,
    ) -> Target | None:
        """Return a target with a free slot for a reward call.

        Reward calls come in bursts, when groups end.  More calls than a target
        has slots would fill its short queue, so that it refuses callers'
        requests.  Capping them below the number of slots costs more than it
        saves: at 0.85 of the slots, the items lost on a day with a single
        scoring target were worth more than the requests saved.
        """
        ready = [
            name
            for name in used_services(route)
            if self._router.any_ready(name, regions)
        ]
        return self._router.choose(
            service_at(route, point, ready),
            tried,
            with_free_slot=True,
            hedge=hedge,
            ask_full=True,
            regions=regions,
        )

    def _start_attempt(
        self, call: RewardCall, route: ServingRoute, target: Target
    ) -> asyncio.Task[Scored | int | None]:
        """Start an attempt, taking its slot at once.

        Calls of one burst choose their targets before any attempt runs, so
        the slot is counted here and not in the attempt's task.
        """
        statistics = self._router.begin_call(target)
        task = asyncio.create_task(self._attempt(call, route, target, statistics))

        def release(_: asyncio.Task[Scored | int | None]) -> None:
            # Runs even if the task is cancelled before its first step.
            statistics.in_flight -= 1
            self._slot_queue.wake_first()

        task.add_done_callback(release)
        return task

    async def _attempt(
        self,
        call: RewardCall,
        route: ServingRoute,
        target: Target,
        statistics: CallStatistics,
    ) -> Scored | int | None:
        """Return the score, an error status, or None if no answer came."""
        request = TargetCall(
            call.request,
            "POST",
            call.host,
            call.path,
            (),
            call.body,
            repeatable=True,
        )
        began = self._clock.monotonic()
        async with self._client.open(target, request, route.timeout_seconds) as reply:
            if isinstance(reply, AttemptFailure):
                self._router.note_failure(target, reply)
                _log_failure(call, target, describe_failure(reply))
                return None
            # The score is in the head; the body only shows that it is whole.
            broken = await reply.read_to_end(MAX_ANSWER_BYTES)
        if broken is not None:
            self._router.note_failure(target, broken)
            _log_failure(call, target, describe_failure(broken))
            return None
        if 200 <= reply.status < 300:
            now = self._clock.monotonic()
            statistics.record_success(now - began, now)
            logger.info(
                "reward call ended",
                request=call.request,
                target=target.id,
                seconds=round(now - began, 4),
            )
            return Scored(reply.signature) if reply.signature else None
        _log_failure(call, target, f"answered {reply.status}")
        return reply.status


def _log_failure(call: RewardCall, target: Target, outcome: str) -> None:
    logger.info(
        "reward call failed", request=call.request, target=target.id, outcome=outcome
    )
