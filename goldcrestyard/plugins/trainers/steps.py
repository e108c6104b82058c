"""Training steps requested from this entry, and their running generations.

A step is opened by a command in the log, which names the entry that generates
its samples.  A request that reaches another entry joins that generation over a
peer connection; if the generating entry cannot be reached, the entry that was
asked takes the step over.
"""

import asyncio
from dataclasses import dataclass

import structlog

from goldcrestyard.core.ids import BodyDigest, CorrelationId, InstanceId
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
from goldcrestyard.plugins.trainers.dependencies import GenerationDependencies
from goldcrestyard.plugins.trainers.generation import Generation
from goldcrestyard.plugins.trainers.questions import Question
from goldcrestyard.state.commands import Accepted, Command, Outcome
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

COMMIT_TIMEOUT_SECONDS = 10.0
"""Time limit for committing a step's command; long enough for an election."""

JOIN_TIMEOUT_MARGIN_SECONDS = 5.0
"""Time allowed for the response to ``JoinStep`` beyond its waiting time."""

MAX_ENTRIES_TRIED = 3
"""Number of other entries tried as the generating entry of a step.  If none of
them generates it, this entry does."""

ENTRY_SPECIFIC_REASONS = frozenset(
    {
        RefusalReason.DRAINING,
        RefusalReason.ENTRY_LEASE,
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.NO_LEADER,
    }
)
"""Reasons for which the generating entry refuses because of its own state or
of the key that started the generation, not because of the question.  The step
is then taken over instead of refused."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """The samples are still being generated; the trainer asks again.

    ``done`` and ``total`` count samples.
    """

    done: int
    total: int


@dataclass(frozen=True, slots=True)
class RunningGeneration:
    """A generation on this entry, the digest of its question and its task."""

    generation: Generation
    question: BodyDigest
    task: asyncio.Task[Batch | Refusal]


@dataclass(frozen=True, slots=True)
class JoinStep:
    """Request to the generating entry for the batch of a step.

    It waits up to ``wait_seconds`` for the generation to end.
    """

    key: StepKey
    attempt: int
    question: BodyDigest
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Response to ``JoinStep``: the samples are still being generated."""

    done: int
    total: int


@dataclass(frozen=True, slots=True)
class NotGenerating:
    """Response to ``JoinStep``: this entry does not run the generation.

    It may have ended.
    """


JOIN_MESSAGES = (JoinStep, StepProgress, NotGenerating)


class Steps:
    """Opens steps and runs at most one generation for each attempt.

    The log names the entry that generates an attempt.  Other entries join
    it, so that a repeated request through another entry does not generate
    the samples a second time.
    """

    def __init__(
        self, dependencies: GenerationDependencies, authenticator: Authenticator
    ) -> None:
        self._dependencies = dependencies
        self._authenticator = authenticator
        self._running_by_attempt: dict[tuple[StepKey, int], RunningGeneration] = {}
        self._draining = False

    async def get_batch(
        self,
        key: StepKey,
        question: Question,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> Batch | InProgress | Refusal:
        """Return a step's batch, or its progress if it is not complete.

        Waits up to ``question.wait_seconds`` for the batch.
        """
        running = self._find_running(key, question)
        if running is not None:
            # A repeated request needs no further log entry.
            return await self._wait(running, question.wait_seconds)
        instead_of: InstanceId | None = None
        for _ in range(MAX_ENTRIES_TRIED):
            command = OpenStep(
                key,
                question.attempt,
                question.digest,
                self._dependencies.instance,
                instead_of,
            )
            outcome = await self._commit(command, principal, correlation_id)
            match outcome:
                case BatchReady(batch=batch):
                    return batch
                case Refusal():
                    return outcome
                case StepOpen(entry=self._dependencies.instance):
                    break
                case StepOpen(entry=entry):
                    joined = await self._join(entry, key, question)
                    if joined is not None:
                        return joined
                    instead_of = entry
                case _:
                    return _unexpected_outcome(outcome)
        return await self._generate(key, question, principal, correlation_id)

    async def _generate(
        self,
        key: StepKey,
        question: Question,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> Batch | InProgress | Refusal:
        """Generate on this entry, or join the generation that runs here."""
        running = self._find_running(key, question)
        if running is None:
            if self._draining:
                return Refusal(
                    RefusalReason.DRAINING,
                    "this entry is stopping; get another entry from /addresses",
                )
            running = self._start(key, question, principal, correlation_id)
        return await self._wait(running, question.wait_seconds)

    def _find_running(
        self, key: StepKey, question: Question
    ) -> RunningGeneration | None:
        running = self._running_by_attempt.get((key, question.attempt))
        if running is None or running.question != question.digest:
            return None
        return running

    async def _join(
        self, entry: InstanceId, key: StepKey, question: Question
    ) -> Batch | InProgress | Refusal | None:
        """Wait for the generation on another entry.

        Returns None if that entry does not generate the step, cannot be
        reached or refuses for a reason of its own.
        """
        entry_record = self._dependencies.entries.entries_by_id.get(entry)
        if entry_record is None or not entry_record.peer_address:
            return None
        message = JoinStep(
            key, question.attempt, question.digest, question.wait_seconds
        )
        try:
            async with self._dependencies.dialer.connect(
                PeerAddress.parse(entry_record.peer_address)
            ) as connection:
                reply = await connection.request(
                    message, question.wait_seconds + JOIN_TIMEOUT_MARGIN_SECONDS
                )
        except PeerUnavailableError as error:
            logger.info(
                "cannot reach the entry that generates the step",
                entry=entry,
                error=str(error),
            )
            return None
        match reply:
            case BatchReady(batch=batch):
                return batch
            case StepProgress(done=done, total=total):
                return InProgress(done, total)
            case Failure(reason=reason, detail=detail, verdict=verdict) if (
                reason not in ENTRY_SPECIFIC_REASONS
            ):
                return Refusal(reason, detail, verdict)
            case _:
                return None

    def register(self, handlers: Handlers) -> None:
        """Register the handler of ``JoinStep``."""
        handlers.add(JoinStep, self._on_join)

    async def _on_join(self, message: JoinStep, _: PeerConnection) -> object:
        running = self._running_by_attempt.get((message.key, message.attempt))
        if running is None or running.question != message.question:
            return NotGenerating()
        match await self._wait(running, message.wait_seconds):
            case Refusal(reason=reason, detail=detail, verdict=verdict):
                return Failure(reason, detail, verdict)
            case InProgress(done=done, total=total):
                return StepProgress(done, total)
            case Batch() as batch:
                return BatchReady(batch)

    async def acknowledge(
        self,
        command: AcknowledgeBatch,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> Accepted | Refusal:
        """Commit that the trainer has received a batch."""
        outcome = await self._commit(command, principal, correlation_id)
        if isinstance(outcome, Accepted | Refusal):
            return outcome
        return _unexpected_outcome(outcome)

    async def drain(self) -> None:
        """Refuse new generations and wait for the running ones to end."""
        self._draining = True
        tasks = [running.task for running in self._running_by_attempt.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Cancel the running generations and wait until they have ended."""
        tasks = [running.task for running in self._running_by_attempt.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _commit(
        self, command: Command, principal: Principal, correlation_id: CorrelationId
    ) -> Outcome | Refusal:
        return await self._dependencies.committer.commit(
            command, principal.organisation, correlation_id, COMMIT_TIMEOUT_SECONDS
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
                # A batch of an earlier attempt can no longer be fixed.
                self._running_by_attempt[other_key, other_attempt].task.cancel()
        generation = Generation(
            key, question, self._dependencies, principal.organisation, correlation_id
        )
        task = asyncio.create_task(
            self._run(generation, principal),
            name=f"generate step {key.number} of {key.model}",
        )
        running = RunningGeneration(generation, question.digest, task)
        attempt = (key, question.attempt)
        self._running_by_attempt[attempt] = running
        task.add_done_callback(lambda _: self._running_by_attempt.pop(attempt, None))
        return running

    async def _run(
        self, generation: Generation, principal: Principal
    ) -> Batch | Refusal:
        """Generate within the time limit and while the key stays valid."""
        result: Batch | Refusal = Refusal(
            RefusalReason.DEADLINE,
            f"the samples were not complete within {self._dependencies.step_seconds} s",
            Verdict.MAY_HAVE_RUN,
        )
        async with self._authenticator.guard(principal) as guard:
            try:
                async with asyncio.timeout(self._dependencies.step_seconds):
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


def _unexpected_outcome(outcome: object) -> Refusal:
    return Refusal(
        RefusalReason.UNKNOWN_OUTCOME,
        f"unexpected outcome {type(outcome).__name__}",
        Verdict.MAY_HAVE_RUN,
    )
