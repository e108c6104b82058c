"""Requests with a single answer: attempts at targets, retried and hedged.

Requests on repeatable routes are sent again after a failure, and to a second
target when the first is slow.  Other requests are sent again only if it is
certain that no target has run them.
"""

import asyncio
import math
import random
from dataclasses import dataclass, field

import structlog

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    Unreached,
    Withheld,
    describe_failure,
    verdict_for,
)
from goldcrestyard.core.calls import Headers, TargetClient
from goldcrestyard.core.ids import ServiceName, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.crashes.guard import RequestGuard, WatchedRequest
from goldcrestyard.fleet.gateway.admission import (
    NO_TARGET_AT_HOME,
    RETRY_AFTER_SECONDS,
    Admission,
    AdmittedRequest,
    return_after,
)
from goldcrestyard.fleet.gateway.hedging import CallHedging, RouteHedging
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.hedging import (
    HedgeWithheld,
    SecondAttempt,
    second_attempt,
    seconds_to_next_check,
)
from goldcrestyard.policy.retries import overall_verdict
from goldcrestyard.policy.splits import pick_service

logger = structlog.get_logger(__name__)

MIN_ATTEMPT_SECONDS = 0.005
"""Minimum time to the deadline in seconds for which an attempt is started.
With less time, a target could only answer that the deadline has passed."""

MAX_UNREACHED_ATTEMPTS = 8
"""Maximum number of attempts that reach no target; these do not count towards
the route's ``max_attempts``."""


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A target's complete answer."""

    status: int
    headers: Headers
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the target answered with a server error."""
        return self.status >= 500


@dataclass(slots=True)
class _CallState:
    """State of one request over all its attempts."""

    watched: WatchedRequest
    tried: set[TargetId] = field(default_factory=set)
    failures: list[AttemptFailure] = field(default_factory=list)
    sent: int = 0
    """Attempts that count towards the route's ``max_attempts``."""
    unreached: int = 0
    last_answer: CallAnswer | None = None
    hedged: bool = False
    """Whether a hedge was due, even if it was withheld."""
    attempt_failed: bool = False
    """Whether an attempt has failed since the latest one began."""


@dataclass(frozen=True, slots=True)
class _Running:
    """An attempt in progress."""

    target: Target
    began: float
    """Monotonic time in seconds."""
    is_hedge: bool


class CallRunner:
    """Sends a request to targets, as often as its route allows."""

    def __init__(
        self,
        admission: Admission,
        router: CallRouter,
        client: TargetClient,
        guard: RequestGuard,
        meter: UsageMeter,
        clock: Clock,
        random_source: random.Random | None = None,
        hedging: CallHedging | None = None,
    ) -> None:
        self._admission = admission
        self._hedging = hedging or CallHedging(clock)
        self._router = router
        self._client = client
        self._guard = guard
        self._meter = meter
        self._clock = clock
        self._random = random_source or random.Random()
        self._ends_at = math.inf
        self._running_timeouts: set[asyncio.Timeout] = set()

    def end_by(self, ends_at: float) -> None:
        """Give every request its answer by a monotonic time in seconds.

        A request whose answer is then missing is refused, with the verdict on
        what its attempts may have done.
        """
        self._ends_at = ends_at
        for timeout in self._running_timeouts:
            when = timeout.when()
            if when is None or when > ends_at:
                timeout.reschedule(ends_at)

    async def answer(self, admitted: AdmittedRequest) -> CallAnswer | Refusal:
        """Return a target's answer, or a refusal if there is none.

        A request that may run more than once is hedged to a second target
        when the first is slow.  The first answer without a server error is
        returned; cancelling the other attempts ends their work at the targets.
        """
        state = _CallState(self._guard.watch(admitted.to_call()))
        rejected = state.watched.refusal()
        if rejected is not None:
            return rejected
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], _Running] = {}
        timeout = asyncio.timeout_at(min(admitted.deadline, self._ends_at))
        try:
            async with timeout:
                self._running_timeouts.add(timeout)
                return await self._run_attempts(admitted, state, running)
        except TimeoutError:
            return self._timeout_result(state, bool(running))
        finally:
            self._running_timeouts.discard(timeout)
            hedging = self._hedging.of_route(admitted.route)
            objective = admitted.route.objective_seconds
            hedge_seconds = hedging.pace(objective).hedge_seconds
            for task, attempt in running.items():
                task.cancel()
                # Left out, the losers would shorten the delay again and again.
                # A loser is only known to be slower than the delay: counted
                # in full, a frozen target would lengthen it each time.
                seconds = self._clock.monotonic() - attempt.began
                hedging.note_latency(min(seconds, hedge_seconds))
                if seconds >= hedge_seconds:
                    self._router.note_silence(attempt.target, attempt.began)
            await asyncio.gather(*running, return_exceptions=True)

    async def _run_attempts(
        self,
        admitted: AdmittedRequest,
        state: _CallState,
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], _Running],
    ) -> CallAnswer | Refusal:
        route = admitted.route
        service = pick_service(route, self._random)
        hedging = self._hedging.of_route(route)
        hedging.note_request()
        while True:
            kind = self._due_attempt(admitted, state, hedging, running)
            target = None
            if kind is not SecondAttempt.WAIT:
                target = self._next_target(admitted, state, service, running, kind)
            if kind is SecondAttempt.HEDGE:
                state.hedged = True
                if target is None:
                    hedging.note_withheld(HedgeWithheld.NO_ROOM)
                elif not hedging.take():
                    target = None
            if target is not None:
                state.tried.add(target.id)
                state.sent += 1
                attempt = self._attempt(
                    admitted, target, state.watched, hedging, hedged=bool(running)
                )
                running[asyncio.create_task(attempt)] = _Running(
                    target, self._clock.monotonic(), kind is SecondAttempt.HEDGE
                )
            elif not running:
                return self._refusal(admitted, state, service)
            state.attempt_failed = False
            done, _ = await asyncio.wait(
                running,
                timeout=self._next_check(admitted, hedging, running),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                ended = running.pop(task)
                answer = self._end_attempt(admitted, state, ended, task.result())
                if answer is not None:
                    if ended.is_hedge:
                        hedging.note_won()
                    return answer

    def _due_attempt(
        self,
        admitted: AdmittedRequest,
        state: _CallState,
        hedging: RouteHedging,
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], _Running],
    ) -> SecondAttempt:
        """Return whether another attempt is due; after a failure it is."""
        if not running or state.attempt_failed:
            return SecondAttempt.RETRY
        if not admitted.route.repeatable:
            return SecondAttempt.WAIT
        latest = list(running.values())[-1]
        return second_attempt(
            hedging.pace(admitted.route.objective_seconds),
            self._clock.monotonic() - latest.began,
            target_answers=self._router.has_answered_since(latest.target, latest.began),
            hedged=state.hedged,
        )

    def _next_check(
        self,
        admitted: AdmittedRequest,
        hedging: RouteHedging,
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], _Running],
    ) -> float | None:
        """Return the time in seconds until another attempt may be due."""
        if not admitted.route.repeatable:
            return None
        latest = list(running.values())[-1]
        return seconds_to_next_check(
            hedging.pace(admitted.route.objective_seconds),
            self._clock.monotonic() - latest.began,
        )

    def _end_attempt(
        self,
        admitted: AdmittedRequest,
        state: _CallState,
        ended: _Running,
        outcome: CallAnswer | AttemptFailure,
    ) -> CallAnswer | None:
        """Return the answer for the caller, or None if the attempt failed."""
        state.attempt_failed = True
        if isinstance(outcome, CallAnswer):
            state.last_answer = outcome
            failed = outcome.failed and admitted.route.repeatable
            return None if failed else outcome
        self._router.note_failure(ended.target, outcome)
        state.failures.append(outcome)
        match outcome:
            case Unreached():
                state.sent -= 1
                state.unreached += 1
            case Withheld():
                state.sent -= 1
        return None

    def _next_target(
        self,
        admitted: AdmittedRequest,
        state: _CallState,
        service: ServiceName,
        running: dict[asyncio.Task[CallAnswer | AttemptFailure], _Running],
        kind: SecondAttempt,
    ) -> Target | None:
        """Return the next attempt's target, or None if none is allowed.

        While another attempt runs, a retry goes to a target with a free slot
        and no recent failure if there is one, else to any without a limit.
        """
        route = admitted.route
        may_have_run = overall_verdict(state.failures) is not Verdict.NOT_RUN
        if not route.repeatable and (running or may_have_run):
            return None
        if (
            state.sent >= route.max_attempts
            or state.unreached >= MAX_UNREACHED_ATTEMPTS
        ):
            return None
        # A hedge of a suspect might crash a second target meanwhile.
        if (running and state.watched.is_suspect()) or state.watched.refusal():
            return None
        if not self._admission.is_still_authorised(admitted):
            return None
        if admitted.deadline - self._clock.monotonic() < MIN_ATTEMPT_SECONDS:
            return None
        return self._router.choose(
            service,
            state.tried,
            hedge=bool(running),
            retry=kind is SecondAttempt.RETRY,
            ask_full=may_have_run,
            regions=self._admission.allowed_regions(admitted),
        )

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        target: Target,
        watched: WatchedRequest,
        hedging: RouteHedging,
        *,
        hedged: bool,
    ) -> CallAnswer | AttemptFailure:
        request = admitted.request
        began = self._clock.monotonic()
        started_at_wall = self._clock.wall()
        outcome: CallAnswer | AttemptFailure
        with self._router.call_in_flight(target) as statistics:
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
                    statistics.record_success(seconds, began + seconds)
                    hedging.note_latency(seconds)
                    watched.note_answer()
                self._meter.count(admitted.organisation, request.id, started_at_wall)
        if isinstance(outcome, Broken):
            await watched.note_broken(target)
        logger.info(
            "attempt ended",
            request=request.id,
            target=target.id,
            address=target.address,
            incarnation=target.incarnation,
            hedged=hedged,
            outcome=_describe(outcome),
            digest=_digest_of_failed(watched, outcome),
            verdict=_outcome_verdict(outcome).value,
            seconds=round(seconds, 4),
        )
        return outcome

    def _refusal(
        self, admitted: AdmittedRequest, state: _CallState, service: ServiceName
    ) -> CallAnswer | Refusal:
        """Return the result of a request for which no attempt is left."""
        if state.last_answer is not None:
            return state.last_answer
        verdict = overall_verdict(state.failures)
        if verdict is not Verdict.NOT_RUN:
            return Refusal(
                RefusalReason.TARGET_FAILED, "no target gave a complete answer", verdict
            )
        rejected = state.watched.refusal()
        if rejected is not None:
            return rejected
        if not self._admission.is_still_authorised(admitted):
            return Refusal(
                RefusalReason.ENTRY_LEASE,
                "the key could not be checked again before sending",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        regions = self._admission.allowed_regions(admitted)
        if regions is not None and not self._router.any_ready(service, regions):
            return NO_TARGET_AT_HOME
        withheld_seconds = self._router.withheld_seconds(service, regions)
        if withheld_seconds is not None:
            return Refusal(
                RefusalReason.CAPACITY,
                "the request limits of the targets are used up",
                retry_after_seconds=max(RETRY_AFTER_SECONDS, withheld_seconds),
            )
        full = state.failures or self._router.full_seconds(service, regions) is not None
        detail = "no target has a free slot" if full else "no target is ready"
        if self._router.all_leaving(service, regions):
            detail = "all targets of the service leave or are evacuated"
        return Refusal(
            RefusalReason.CAPACITY,
            detail,
            retry_after_seconds=return_after(
                self._router, admitted, service, self._clock.monotonic(), regions
            ),
        )

    def _timeout_result(self, state: _CallState, running: bool) -> CallAnswer | Refusal:
        if state.last_answer is not None:
            return state.last_answer
        verdict = overall_verdict(state.failures)
        if running:
            verdict = Verdict.MAY_HAVE_RUN
        return Refusal(RefusalReason.DEADLINE, "no answer before the deadline", verdict)


def _describe(outcome: CallAnswer | AttemptFailure) -> str:
    match outcome:
        case CallAnswer(status=status):
            return f"answered {status}"
        case _:
            return describe_failure(outcome)


def _digest_of_failed(
    watched: WatchedRequest, outcome: CallAnswer | AttemptFailure
) -> str | None:
    match outcome:
        case CallAnswer():
            return None
        case _:
            return watched.digest.hex()


def _outcome_verdict(outcome: CallAnswer | AttemptFailure) -> Verdict:
    match outcome:
        case CallAnswer():
            return Verdict.RAN
        case _:
            return verdict_for(outcome)
