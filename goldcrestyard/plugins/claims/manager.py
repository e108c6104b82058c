"""Execution of non-idempotent calls under a claim, at most once each.

The call is claimed in the log before it is sent.  Afterwards its claim is
settled with the outcome, or released if the call has certainly not run.
"""

import asyncio
import hashlib
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

import structlog

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import (
    AttemptId,
    CorrelationId,
    InstanceId,
    OrganisationId,
    RequestId,
)
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.byte_room import ByteLease
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.claims.commands import (
    ClaimCall,
    ReleaseClaim,
    SettleClaim,
)
from goldcrestyard.policy import claims
from goldcrestyard.policy.claims import StoredOutcome

logger = structlog.get_logger(__name__)

MAX_RESPONSE_DELAY_SECONDS = 2.0
"""Longest time that a response is held back until its outcome is committed.
Without a leader, the response is sent first and the outcome committed later.
"""

SETTLE_RETRY_INTERVAL_SECONDS = 0.5

SETTLE_TIMEOUT_SECONDS = 120.0
"""Time after which settling or releasing a claim is given up."""


@dataclass(frozen=True, slots=True)
class ClaimedCall:
    """Identity, fingerprint and time limit of a call to send at most once."""

    organisation: OrganisationId
    request: RequestId
    id_is_generated: bool
    """Whether this entry generated the request id, not the caller."""
    route: str
    fingerprint: str
    correlation_id: CorrelationId
    call_seconds: float
    """Time limit of the call, from sending it to its outcome."""


CallResult = StoredOutcome | Refusal


class ClaimManager:
    """Claims calls, sends them and settles or releases their claims.

    Each call runs in a task of its own, so that it is completed and its
    outcome is stored even if the caller's connection closes.
    """

    def __init__(
        self, instance: InstanceId, view: EntryView, link: LeaderLink, clock: Clock
    ) -> None:
        self._entries = view.machine.get(EntriesSlice)
        self._instance = instance
        self._link = link
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(
        self,
        call: ClaimedCall,
        send: Callable[[], Awaitable[CallResult]],
        recheck: Callable[[], Refusal | None],
        lease: ByteLease,
    ) -> CallResult:
        """Return the outcome of a call, and send it if it was not sent yet.

        ``recheck`` is called once the claim is confirmed, which may be long
        after the request arrived.  If it returns a refusal, the call is not
        sent and the claim is released.  ``lease`` holds the memory of the
        answer; it is released once the call has ended, which may be after the
        caller's connection has closed.
        """
        return await asyncio.shield(
            self._spawn(self._run_counted(call, send, recheck, lease))
        )

    async def drain(self) -> None:
        """Wait until the running calls have ended and are settled."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def stop(self) -> None:
        """Cancel the running calls.

        Their claims stay open, so a resend is told that the call may have
        run.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, CallResult | None]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_counted(
        self,
        call: ClaimedCall,
        send: Callable[[], Awaitable[CallResult]],
        recheck: Callable[[], Refusal | None],
        lease: ByteLease,
    ) -> CallResult:
        try:
            return await self._run(call, send, recheck)
        finally:
            lease.release()

    async def _run(
        self,
        call: ClaimedCall,
        send: Callable[[], Awaitable[CallResult]],
        recheck: Callable[[], Refusal | None],
    ) -> CallResult:
        attempt = AttemptId(uuid.uuid4().hex)
        step = await self._claim(call, attempt)
        match step:
            case claims.Send():
                refusal = recheck()
                result = await send() if refusal is None else _not_run(refusal)
                settlement = self._spawn(
                    self._end_claim(call, attempt, _to_store(result))
                )
                await asyncio.wait([settlement], timeout=MAX_RESPONSE_DELAY_SECONDS)
                return result
            case claims.AnswerStored(outcome=outcome):
                return outcome
            case claims.Refuse(refusal=refusal, in_doubt=in_doubt):
                if in_doubt:
                    # The claim may still be committed, but nothing was sent.
                    self._spawn(self._end_claim(call, attempt, _not_run(refusal)))
                return refusal

    async def _claim(
        self, call: ClaimedCall, attempt: AttemptId
    ) -> claims.Send | claims.AnswerStored | claims.Refuse:
        """Propose the claim until it is decided whether the call is sent."""
        command = ClaimCall(
            call.organisation,
            call.request,
            call.route,
            call.fingerprint,
            self._instance,
            attempt,
        )
        deadline = self._clock.monotonic() + call.call_seconds
        earlier_proposals = 0
        was_in_doubt = False
        while True:
            seconds_left = deadline - self._clock.monotonic()
            result = await self._link.propose(
                command,
                correlation_id=call.correlation_id,
                timeout=max(claims.COMMIT_MARGIN_SECONDS, min(5.0, seconds_left)),
            )
            if isinstance(result, InDoubt):
                was_in_doubt = True
            elif isinstance(result, NotProposed) and was_in_doubt:
                # An earlier proposal of this claim may still be committed,
                # so the result stays in doubt.
                result = InDoubt(result.detail)
            step = claims.next_claim_step(
                result,
                earlier_proposals=earlier_proposals,
                seconds_left=deadline - self._clock.monotonic(),
                call_seconds=call.call_seconds,
                id_is_generated=call.id_is_generated,
                entries=self._entries.entries_by_id.keys(),
            )
            if not isinstance(step, claims.ProposeAgain):
                return step
            earlier_proposals += 1
            await asyncio.sleep(step.delay_seconds)

    async def _end_claim(
        self, call: ClaimedCall, attempt: AttemptId, result: CallResult
    ) -> None:
        """Settle or release the claim, with retries until it is committed."""
        command: SettleClaim | ReleaseClaim
        match result:
            case Refusal(verdict=Verdict.NOT_RUN):
                command = ReleaseClaim(call.organisation, call.request, attempt)
            case Refusal():
                command = SettleClaim(call.organisation, call.request, attempt, None)
            case StoredOutcome():
                command = SettleClaim(call.organisation, call.request, attempt, result)
        deadline = self._clock.monotonic() + SETTLE_TIMEOUT_SECONDS
        while self._clock.monotonic() < deadline:
            proposal = await self._link.propose(
                command, correlation_id=call.correlation_id
            )
            if isinstance(proposal, Applied):
                return
            await asyncio.sleep(SETTLE_RETRY_INTERVAL_SECONDS)
        logger.warning(
            "call outcome not committed before the time limit", request=call.request
        )


def _to_store(result: CallResult) -> CallResult:
    """Return the result without a body that is too large to store.

    The settlement may take minutes, in which it would keep the body.
    """
    match result:
        case StoredOutcome():
            return claims.without_large_body(result)
        case Refusal():
            return result


def _not_run(refusal: Refusal) -> Refusal:
    """Return the refusal with the verdict that the call has not run."""
    return replace(refusal, verdict=Verdict.NOT_RUN)


def fingerprint(*parts: bytes) -> str:
    """Return a digest of a call's content, given in parts.

    Each part is preceded by its length, so that other boundaries give another
    digest.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()
