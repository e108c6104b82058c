"""Plain requests: attempts at targets until one has answered."""

import asyncio
import random
from dataclasses import dataclass, field

import structlog

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Unreached,
    describe_failure,
    verdict_on,
)
from goldcrestyard.core.calls import Headers, TargetClient
from goldcrestyard.core.ids import ServiceName, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import (
    RETRY_SECONDS,
    Admission,
    Admitted,
)
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.hedging import hedge_after
from goldcrestyard.policy.retries import overall_verdict
from goldcrestyard.policy.serving import pick_service

logger = structlog.get_logger(__name__)

LEAST_SECONDS = 0.005
"""A target given less than this can only answer that it is too late."""

MAX_UNREACHED = 8
"""Attempts that reached no target do not count as attempts; this bounds
them."""


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A target's whole answer."""

    status: int
    headers: Headers
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the target reports a fault of its own."""
        return self.status >= 500


@dataclass(slots=True)
class _Progress:
    """What has become of one request so far."""

    tried: set[TargetId] = field(default_factory=set)
    failures: list[AttemptFailure] = field(default_factory=list)
    sent: int = 0
    unreached: int = 0
    last_answer: CallAnswer | None = None


class CallRunner:
    """Sends a request to targets as its route allows."""

    def __init__(
        self,
        admission: Admission,
        router: CallRouter,
        client: TargetClient,
        meter: UsageMeter,
        clock: Clock,
        source: random.Random | None = None,
    ) -> None:
        self._admission = admission
        self._router = router
        self._client = client
        self._meter = meter
        self._clock = clock
        self._random = source or random.Random()

    async def answer(self, admitted: Admitted) -> CallAnswer | Refusal:
        """Return a target's answer, or why there is none.

        A request that may run more than once goes to a second target when
        the first is slow; the first good answer wins, and leaving the others
        ends their work.
        """
        progress = _Progress()
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], Target] = {}
        try:
            async with asyncio.timeout_at(admitted.deadline):
                return await self._race(admitted, progress, running)
        except TimeoutError:
            return self._timed_out(progress, bool(running))
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def _race(
        self,
        admitted: Admitted,
        progress: _Progress,
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], Target],
    ) -> CallAnswer | Refusal:
        service = pick_service(admitted.route, self._random)
        while True:
            target = self._next_target(admitted, progress, service, running)
            if target is not None:
                progress.tried.add(target.id)
                progress.sent += 1
                attempt = self._attempt(admitted, target, hedged=bool(running))
                running[asyncio.create_task(attempt)] = target
            elif not running:
                return self._refusal(admitted, progress)
            hedge = hedge_after(admitted.route.objective_seconds)
            done, _ = await asyncio.wait(
                running,
                timeout=hedge if admitted.route.repeatable else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                target = running.pop(task)
                outcome = task.result()
                if isinstance(outcome, CallAnswer):
                    progress.last_answer = outcome
                    if not (outcome.failed and admitted.route.repeatable):
                        return outcome
                    continue
                self._router.note_failure(target, outcome)
                progress.failures.append(outcome)
                if isinstance(outcome, Unreached):
                    progress.sent -= 1
                    progress.unreached += 1

    def _next_target(
        self,
        admitted: Admitted,
        progress: _Progress,
        service: ServiceName,
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], Target],
    ) -> Target | None:
        """Return where the request goes next, or None if nowhere."""
        route = admitted.route
        may_have_run = overall_verdict(progress.failures) is not Verdict.NOT_RUN
        if not route.repeatable and (running or may_have_run):
            return None
        if progress.sent >= route.max_attempts or progress.unreached >= MAX_UNREACHED:
            return None
        if not self._admission.may_still_run(admitted):
            return None
        if admitted.deadline - self._clock.monotonic() < LEAST_SECONDS:
            return None
        return self._router.choose(service, progress.tried)

    async def _attempt(
        self, admitted: Admitted, target: Target, *, hedged: bool
    ) -> CallAnswer | AttemptFailure:
        request = admitted.request
        began = self._clock.monotonic()
        began_wall = self._clock.wall()
        outcome: CallAnswer | AttemptFailure
        with self._router.sending(target) as facts:
            async with self._client.open(
                target, admitted.to_call(), admitted.deadline - began
            ) as reply:
                if isinstance(reply, AttemptFailure):
                    outcome = reply
                else:
                    body = await reply.read()
                    outcome = (
                        CallAnswer(reply.status, reply.headers, body)
                        if isinstance(body, bytes)
                        else body
                    )
            seconds = self._clock.monotonic() - began
            if isinstance(outcome, CallAnswer):
                if not outcome.failed:
                    facts.succeeded(seconds)
                self._meter.count(admitted.organisation, request.id, began_wall)
        logger.info(
            "attempt ended",
            request=request.id,
            target=target.id,
            address=target.address,
            incarnation=target.incarnation,
            hedged=hedged,
            outcome=_describe(outcome),
            verdict=_verdict(outcome).value,
            seconds=round(seconds, 4),
        )
        return outcome

    def _refusal(self, admitted: Admitted, progress: _Progress) -> CallAnswer | Refusal:
        """Return what the caller gets when no attempt is left."""
        if progress.last_answer is not None:
            return progress.last_answer
        verdict = overall_verdict(progress.failures)
        if verdict is not Verdict.NOT_RUN:
            return Refusal(
                RefusalReason.TARGET_FAILED, "no target answered whole", verdict
            )
        if not self._admission.may_still_run(admitted):
            return Refusal(
                RefusalReason.ENTRY_LEASE,
                "the key could no longer be checked",
                retry_after_seconds=RETRY_SECONDS,
            )
        detail = "all targets are full" if progress.failures else "no target is ready"
        return Refusal(
            RefusalReason.CAPACITY, detail, retry_after_seconds=RETRY_SECONDS
        )

    def _timed_out(self, progress: _Progress, running: bool) -> CallAnswer | Refusal:
        if progress.last_answer is not None:
            return progress.last_answer
        verdict = overall_verdict(progress.failures)
        if running:
            verdict = Verdict.MAY_HAVE_RUN
        return Refusal(RefusalReason.DEADLINE, "no answer in time", verdict)


def _describe(outcome: CallAnswer | AttemptFailure) -> str:
    match outcome:
        case CallAnswer(status=status):
            return f"answered {status}"
        case _:
            return describe_failure(outcome)


def _verdict(outcome: CallAnswer | AttemptFailure) -> Verdict:
    match outcome:
        case CallAnswer():
            return Verdict.RAN
        case _:
            return verdict_on(outcome)
