"""The steps that this entry is working on."""

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
from goldcrestyard.plugins.trainers.generation import Generation
from goldcrestyard.plugins.trainers.questions import Question
from goldcrestyard.plugins.trainers.tools import Tools
from goldcrestyard.state.commands import Accepted, Command, Outcome
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

OPEN_SECONDS = 10.0
"""Longest wait for the commit that opens a step; an election fits in."""

JOIN_SECONDS = 5.0
"""How much longer than asked an entry may take to answer that it waits."""

MAX_ENTRIES_TRIED = 3
"""Entries that were to generate a step and do not, before this one does."""

ENTRY_REASONS = frozenset(
    {
        RefusalReason.DRAINING,
        RefusalReason.ENTRY_LEASE,
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.NO_LEADER,
    }
)
"""Refusals that concern the generating entry, or the key by which it was
asked, and not the question."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """The samples are being generated; ask again."""

    done: int
    total: int


@dataclass(frozen=True, slots=True)
class RunningGeneration:
    """A generation and the task that runs it."""

    generation: Generation
    question: BodyDigest
    task: asyncio.Task[Batch | Refusal]


@dataclass(frozen=True, slots=True)
class JoinStep:
    """Asks the entry that generates a step to wait for its end."""

    key: StepKey
    attempt: int
    question: BodyDigest
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class StepProgress:
    """The samples are still being generated."""

    done: int
    total: int


@dataclass(frozen=True, slots=True)
class NotGenerating:
    """No such generation runs here; it may have ended."""


JOIN_MESSAGES = (JoinStep, StepProgress, NotGenerating)


class Steps:
    """Opens steps and runs at most one generation for each attempt.

    The log names the entry that generates an attempt, and the others join
    it, so that a trainer that asks again elsewhere does not start anew.
    """

    def __init__(self, tools: Tools, authenticator: Authenticator) -> None:
        self._tools = tools
        self._authenticator = authenticator
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
        running = self._find(key, question)
        if running is not None:
            # Joined without a log entry, however often the trainer asks.
            return await self._wait(running, question.wait_seconds)
        instead_of: InstanceId | None = None
        for _ in range(MAX_ENTRIES_TRIED):
            opening = OpenStep(
                key,
                question.attempt,
                question.digest,
                self._tools.instance,
                instead_of,
            )
            outcome = await self._commit(opening, principal, correlation_id)
            match outcome:
                case BatchReady(batch=batch):
                    return batch
                case Refusal():
                    return outcome
                case StepOpen(entry=self._tools.instance):
                    break
                case StepOpen(entry=entry):
                    joined = await self._join(entry, key, question)
                    if joined is not None:
                        return joined
                    instead_of = entry
                case _:
                    return _unexpected(outcome)
        return await self._generate(key, question, principal, correlation_id)

    async def _generate(
        self,
        key: StepKey,
        question: Question,
        principal: Principal,
        correlation_id: CorrelationId,
    ) -> Batch | InProgress | Refusal:
        """Generate on this entry, or join the generation that runs here."""
        running = self._find(key, question)
        if running is None:
            if self._draining:
                return Refusal(
                    RefusalReason.DRAINING,
                    "this entry is stopping; ask /addresses of another",
                )
            running = self._start(key, question, principal, correlation_id)
        return await self._wait(running, question.wait_seconds)

    def _find(self, key: StepKey, question: Question) -> RunningGeneration | None:
        running = self._running_by_attempt.get((key, question.attempt))
        if running is None or running.question != question.digest:
            return None
        return running

    async def _join(
        self, entry: InstanceId, key: StepKey, question: Question
    ) -> Batch | InProgress | Refusal | None:
        """Wait for the generation on another entry.

        Returns None if the entry is not generating or cannot be reached.
        """
        known = self._tools.entries.entries_by_id.get(entry)
        if known is None or not known.peer_address:
            return None
        message = JoinStep(
            key, question.attempt, question.digest, question.wait_seconds
        )
        try:
            async with self._tools.dialer.connect(
                PeerAddress.parse(known.peer_address)
            ) as connection:
                reply = await connection.request(
                    message, question.wait_seconds + JOIN_SECONDS
                )
        except PeerUnavailableError as error:
            logger.info("generating entry unavailable", entry=entry, error=str(error))
            return None
        match reply:
            case BatchReady(batch=batch):
                return batch
            case StepProgress(done=done, total=total):
                return InProgress(done, total)
            case Failure(reason=reason, detail=detail, verdict=verdict) if (
                reason not in ENTRY_REASONS
            ):
                return Refusal(reason, detail, verdict)
            case _:
                return None

    def register(self, handlers: Handlers) -> None:
        """Let other entries join the generations that run here."""
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
        running = RunningGeneration(generation, question.digest, task)
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
            f"the samples were not complete within {self._tools.step_seconds} s",
            Verdict.MAY_HAVE_RUN,
        )
        async with self._authenticator.guard(principal) as guard:
            try:
                async with asyncio.timeout(self._tools.step_seconds):
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
