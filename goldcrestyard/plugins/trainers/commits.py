"""Commits of the trainers' commands, with retries.

All these commands are idempotent, so they may be proposed several times.
"""

import asyncio
import random

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import CorrelationId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.state.commands import Command, Outcome, Rejected

RETRY_INTERVAL_SECONDS = 0.5


class Committer:
    """Proposes idempotent commands until one is applied."""

    def __init__(self, link: LeaderLink, clock: Clock) -> None:
        self._link = link
        self._clock = clock

    async def commit(
        self,
        command: Command,
        author: str,
        correlation_id: CorrelationId,
        timeout: float,
    ) -> Outcome | Refusal:
        """Propose a command until it is applied or the time-out has passed.

        Returns its outcome, with a rejection converted to a refusal.  A
        proposal in doubt is repeated, since a command that is applied twice
        has the same effect.
        """
        deadline = self._clock.monotonic() + timeout
        verdict = Verdict.NOT_RUN
        while True:
            result = await self._link.propose(command, author, correlation_id)
            match result:
                case Applied(outcome=Rejected(reason=reason, detail=detail)):
                    return Refusal(reason, detail)
                case Applied(outcome=outcome):
                    return outcome
                case NotProposed(detail=detail):
                    reason = RefusalReason.NO_LEADER
                case InDoubt(detail=detail):
                    # The proposal may still be applied, so a later one that
                    # was not proposed does not reset the verdict.
                    reason = RefusalReason.UNKNOWN_OUTCOME
                    verdict = Verdict.MAY_HAVE_RUN
            delay = RETRY_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
            if self._clock.monotonic() + delay >= deadline:
                return Refusal(reason, detail, verdict, retry_after_seconds=1.0)
            await asyncio.sleep(delay)
