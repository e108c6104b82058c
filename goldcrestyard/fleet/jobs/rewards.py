"""Scores the texts of items by calls to a plain service."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from goldcrestyard.core.attempts import AttemptFailure, describe_failure
from goldcrestyard.core.calls import TargetCall, TargetClient
from goldcrestyard.core.ids import ServiceName, TargetId
from goldcrestyard.core.jobs import RewardCall
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.waiting_line import Order, WaitingLine
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.policy.call_routing import CallFacts
from goldcrestyard.policy.hedging import UNKNOWN_OBJECTIVE_SECONDS, hedge_after

logger = structlog.get_logger(__name__)

RETRIES = Backoff(base_seconds=0.05, longest_seconds=1.0)
"""Pauses between two rounds over the targets.  Without them one call that was
turned away by the last target of a service sent it 2,000 requests a second."""

MOST_AT_ONCE = 2
FAILED_STATUS = 500

PLACE_SECONDS = 0.25
"""Longest wait for a place before targets are looked at again: one may have
arrived meanwhile."""

SILENT_OBJECTIVES = 2.0
"""A target that was asked is asked again after this many objectives without
an answer, over a new connection.  One that is only slow would get more work
from it, so that is not done sooner."""


@dataclass(frozen=True, slots=True)
class Scored:
    """The signature of the service's answer is the score."""

    score: str


@dataclass(frozen=True, slots=True)
class NoScore:
    """The service has failed as often as its route allows."""


@dataclass(frozen=True, slots=True)
class _Attempt:
    target: TargetId
    began_at: float


class RewardCaller:
    """Sends reward calls until one has succeeded."""

    def __init__(
        self,
        serving: ServingSlice,
        router: CallRouter,
        client: TargetClient,
        clock: Clock,
        source: random.Random | None = None,
    ) -> None:
        self._serving = serving
        self._router = router
        self._client = client
        self._clock = clock
        self._random = source or random.Random()
        self._places = WaitingLine()

    async def score(
        self, call: RewardCall, deadline: float, order: Order = ()
    ) -> Scored | NoScore:
        """Return the score, or that there will be none.

        A call without an answer is sent to a second target meanwhile, since
        the step of a trainer waits for the last of its scores.  When calls
        wait for places, those with the lowest ``order`` come first.
        """
        failed = rounds = 0
        tried: set[TargetId] = set()
        running: dict[asyncio.Task[Scored | int | None], _Attempt] = {}
        try:
            while self._clock.monotonic() < deadline:
                route = self._route(call)
                if route is None or failed >= route.max_attempts:
                    return NoScore()
                target = None
                if len(running) < MOST_AT_ONCE:
                    target = self._choose(
                        route, tried | self._busy(route, running.values())
                    )
                if target is not None:
                    tried.add(target.id)
                    task = self._start_attempt(call, route, target)
                    running[task] = _Attempt(target.id, self._clock.monotonic())
                    pause = hedge_after(route.objective_seconds)
                elif not tried and not running:
                    await self._places.wait(order, PLACE_SECONDS)
                    continue
                else:
                    # A target that is full now may have a place later.
                    rounds += 1
                    tried.clear()
                    pause = RETRIES.delay_seconds(rounds, self._random.random())
                if not running:
                    await asyncio.sleep(pause)
                    continue
                done, _ = await asyncio.wait(
                    running, timeout=pause, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    del running[task]
                    outcome = task.result()
                    if isinstance(outcome, Scored):
                        return outcome
                    failed += outcome == FAILED_STATUS
            return NoScore()
        finally:
            for task in running:
                task.cancel()

    def _busy(self, route: ServingRoute, attempts: Iterable[_Attempt]) -> set[TargetId]:
        """Return the targets that may still answer this call."""
        objective = route.objective_seconds or UNKNOWN_OBJECTIVE_SECONDS
        silent_since = self._clock.monotonic() - SILENT_OBJECTIVES * objective
        return {
            attempt.target for attempt in attempts if attempt.began_at > silent_since
        }

    def _route(self, call: RewardCall) -> ServingRoute | None:
        table = self._serving.table
        return table.route(call.host, call.path) if table is not None else None

    def _choose(self, route: ServingRoute, tried: set[TargetId]) -> Target | None:
        """Return a target with a place for a reward call.

        The calls come in waves, as groups end; more than a target's places
        would fill its short queue, and callers who wait would be turned away.
        Fewer lost items that were worth more (0.85 of the places, on a day
        with one scorer left).
        """
        for service in route.services:
            target = self._router.choose(
                ServiceName(service.name), tried, with_place=True
            )
            if target is not None:
                return target
        return None

    def _start_attempt(
        self, call: RewardCall, route: ServingRoute, target: Target
    ) -> asyncio.Task[Scored | int | None]:
        """Occupy a place at the target now, since a wave chooses at once."""
        facts = self._router.occupy(target)
        task = asyncio.create_task(self._attempt(call, route, target, facts))

        def release(_: asyncio.Task[Scored | int | None]) -> None:
            # Also for a task that is cancelled before its first step.
            facts.in_flight -= 1
            self._places.wake_first()

        task.add_done_callback(release)
        return task

    async def _attempt(
        self, call: RewardCall, route: ServingRoute, target: Target, facts: CallFacts
    ) -> Scored | int | None:
        """Return the score, a failure's status, or None without an answer."""
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
            body = await reply.read()
        if isinstance(body, bytes) and 200 <= reply.status < 300:
            facts.succeeded(self._clock.monotonic() - began)
            return Scored(reply.signature) if reply.signature else None
        _log_failure(call, target, f"answered {reply.status}")
        return reply.status


def _log_failure(call: RewardCall, target: Target, outcome: str) -> None:
    logger.info(
        "reward call failed", request=call.request, target=target.id, outcome=outcome
    )
