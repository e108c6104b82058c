"""Scores the texts of items by calls to a plain service."""

import asyncio
from dataclasses import dataclass

import structlog

from goldcrestyard.core.attempts import AttemptFailure
from goldcrestyard.core.calls import TargetCall, TargetClient
from goldcrestyard.core.ids import ServiceName, TargetId
from goldcrestyard.core.jobs import RewardCall
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.backoff import Backoff
from goldcrestyard.policy.hedging import hedge_after

logger = structlog.get_logger(__name__)

RETRIES = Backoff(base_seconds=0.05, longest_seconds=1.0)
HALF = 0.5
MOST_AT_ONCE = 2
FAILED_STATUS = 500


@dataclass(frozen=True, slots=True)
class Scored:
    """The signature of the service's answer is the score."""

    score: str


@dataclass(frozen=True, slots=True)
class NoScore:
    """The service has failed as often as its route allows."""


class RewardCaller:
    """Sends reward calls until one has succeeded."""

    def __init__(
        self,
        serving: ServingSlice,
        router: CallRouter,
        client: TargetClient,
        clock: Clock,
    ) -> None:
        self._serving = serving
        self._router = router
        self._client = client
        self._clock = clock

    async def score(self, call: RewardCall, deadline: float) -> Scored | NoScore:
        """Return the score, or that there will be none.

        A call without an answer is sent to a second target meanwhile, since
        the step of a trainer waits for the last of its scores.
        """
        failed = tries = 0
        tried: set[TargetId] = set()
        running: set[asyncio.Task[Scored | int | None]] = set()
        try:
            while self._clock.monotonic() < deadline:
                route = self._route(call)
                if route is None or failed >= route.max_attempts:
                    return NoScore()
                target = self._choose(route, tried)
                if target is None:
                    # A new connection may work where the last one is silent.
                    tried.clear()
                    target = self._choose(route, tried)
                if target is not None and len(running) < MOST_AT_ONCE:
                    tried.add(target.id)
                    tries += 1
                    attempt = self._attempt(call, route, target)
                    running.add(asyncio.create_task(attempt))
                elif not running:
                    await asyncio.sleep(RETRIES.delay_seconds(tries, HALF))
                    continue
                done, running = await asyncio.wait(
                    running,
                    timeout=hedge_after(route.objective_seconds),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    outcome = task.result()
                    if isinstance(outcome, Scored):
                        return outcome
                    failed += outcome == FAILED_STATUS
            return NoScore()
        finally:
            for task in running:
                task.cancel()

    def _route(self, call: RewardCall) -> ServingRoute | None:
        table = self._serving.table
        return table.route(call.host, call.path) if table is not None else None

    def _choose(self, route: ServingRoute, tried: set[TargetId]) -> Target | None:
        for service in route.services:
            target = self._router.choose(ServiceName(service.name), tried)
            if target is not None:
                return target
        return None

    async def _attempt(
        self, call: RewardCall, route: ServingRoute, target: Target
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
        with self._router.sending(target) as facts:
            async with self._client.open(
                target, request, route.timeout_seconds
            ) as reply:
                if isinstance(reply, AttemptFailure):
                    self._router.note_failure(target, reply)
                    logger.info(
                        "reward call failed",
                        request=call.request,
                        target=target.id,
                        outcome=f"{type(reply).__name__}: {reply.detail}",
                    )
                    return None
                body = await reply.read()
            if isinstance(body, bytes) and 200 <= reply.status < 300:
                facts.succeeded(self._clock.monotonic() - began)
                return Scored(reply.signature) if reply.signature else None
        logger.info(
            "reward call failed",
            request=call.request,
            target=target.id,
            outcome=f"answered {reply.status}",
        )
        return reply.status
