"""The steps that this entry is working on."""

import asyncio
from dataclasses import dataclass

import structlog

from goldcrestyard.core.ids import CorrelationId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.organisations.authentication import (
    Authenticator,
    Principal,
)
from goldcrestyard.plugins.trainers.commands import (
    AcknowledgeBatch,
    Batch,
    BatchReady,
    OpenStep,
    StepKey,
    StepOpen,
)
from goldcrestyard.plugins.trainers.generation import Generation, Tools
from goldcrestyard.plugins.trainers.questions import Question
from goldcrestyard.state.commands import Accepted, Command, Outcome

logger = structlog.get_logger(__name__)

OPEN_SECONDS = 10.0
"""Longest wait for the commit that opens a step; an election fits in."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """The samples are being generated; ask again."""

    done: int
    total: int


@dataclass(frozen=True, slots=True)
class RunningGeneration:
    """A generation and the task that runs it."""

    generation: Generation
    task: asyncio.Task[Batch | Refusal]


class Steps:
    """Opens steps and runs at most one generation for each attempt."""

    def __init__(
        self, tools: Tools, authenticator: Authenticator, step_seconds: float
    ) -> None:
        self._tools = tools
        self._authenticator = authenticator
        self._step_seconds = step_seconds
        self._running_by_attempt: dict[tuple[StepKey, int], RunningGeneration] = {}
        self._draining = False

    async def ask(
        self,
        key: StepKey,
        question: Question,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> Batch | InProgress | Refusal:
        """Return a step's batch, once its samples are there."""
        opening = OpenStep(key, question.attempt, question.digest)
        outcome = await self._commit(opening, principal, correlation_id)
        match outcome:
            case BatchReady(batch=batch):
                return batch
            case Refusal():
                return outcome
            case StepOpen():
                pass
            case _:
                return _unexpected(outcome)
        running = self._running_by_attempt.get((key, question.attempt))
        if running is None:
            if self._draining:
                return Refusal(
                    RefusalReason.DRAINING,
                    "this entry is stopping; ask /addresses of another",
                )
            running = self._start(key, question, principal, correlation_id)
        return await self._wait(running, question.wait_seconds)

    async def acknowledge(
        self,
        command: AcknowledgeBatch,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> Accepted | Refusal:
        """Note that the trainer has a batch."""
        outcome = await self._commit(command, principal, correlation_id)
        if isinstance(outcome, Accepted | Refusal):
            return outcome
        return _unexpected(outcome)

    async def drain(self) -> None:
        """Start no generation any more and wait for the running ones."""
        self._draining = True
        tasks = [running.task for running in self._running_by_attempt.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Cancel the running generations."""
        tasks = [running.task for running in self._running_by_attempt.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _commit(
        self, command: Command, principal: Principal, correlation_id: CorrelationId
    ) -> Outcome | Refusal:
        return await self._tools.committer.commit(
            command, principal.organisation, correlation_id, OPEN_SECONDS
        )

    def _start(
        self,
        key: StepKey,
        question: Question,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> RunningGeneration:
        for other_key, other_attempt in list(self._running_by_attempt):
            if other_key == key and other_attempt < question.attempt:
                # Its batch can no longer be fixed.
                self._running_by_attempt[other_key, other_attempt].task.cancel()
        generation = Generation(
            key, question, self._tools, principal.organisation, correlation_id
        )
        task = asyncio.create_task(
            self._run(generation, principal),
            name=f"generate step {key.number} of {key.model}",
        )
        running = RunningGeneration(generation, task)
        attempt = (key, question.attempt)
        self._running_by_attempt[attempt] = running
        task.add_done_callback(lambda _: self._running_by_attempt.pop(attempt, None))
        return running

    async def _run(
        self, generation: Generation, principal: Principal
    ) -> Batch | Refusal:
        """Generate within the deadline and while the trainer's key counts."""
        result: Batch | Refusal = Refusal(
            RefusalReason.DEADLINE,
            f"the samples were not complete within {self._step_seconds} s",
            Verdict.MAY_HAVE_RUN,
        )
        async with self._authenticator.guard(principal) as guard:
            try:
                async with asyncio.timeout(self._step_seconds):
                    result = await generation.run()
            except TimeoutError:
                pass
        result = guard.refusal or result
        if isinstance(result, Refusal):
            logger.warning(
                "generation ended without a batch",
                reason=result.reason.value,
                detail=result.detail,
            )
        return result

    @staticmethod
    async def _wait(
        running: RunningGeneration, wait_seconds: float
    ) -> Batch | InProgress | Refusal:
        await asyncio.wait([running.task], timeout=wait_seconds)
        if not running.task.done():
            return InProgress(running.generation.done, running.generation.total)
        if running.task.cancelled():
            return Refusal(
                RefusalReason.CONFLICT,
                "the generation was cancelled; ask again",
                Verdict.MAY_HAVE_RUN,
            )
        return running.task.result()


def _unexpected(outcome: object) -> Refusal:
    return Refusal(
        RefusalReason.UNKNOWN_OUTCOME,
        f"unexpected outcome {type(outcome).__name__}",
        Verdict.MAY_HAVE_RUN,
    )
