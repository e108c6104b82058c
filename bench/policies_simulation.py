"""Simulated engines and entries on a paused clock, for the policy measures.

The entries run the product's ``Scheduler`` and ``Dispatcher``; only the
engine client is replaced.
"""

import asyncio
import heapq
import itertools
import random
import unittest.mock
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar, cast

from goldcrestyard.core.attempts import (
    Answered,
    AttemptFailure,
    AttemptOutcome,
    Broken,
    TurnedAway,
    Unreached,
)
from goldcrestyard.core.ids import (
    AttemptId,
    CorrelationId,
    DataCentre,
    InstanceId,
    ModelName,
    OrganisationId,
    Region,
    TargetId,
)
from goldcrestyard.core.records import Organisation, Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority, Rental, TargetKind
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import InferenceFields, InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import EngineClient, Finished, StreamStep
from goldcrestyard.plugins.scheduling import scheduler as scheduler_module
from goldcrestyard.plugins.scheduling.scheduler import Grant, Scheduler, WorkRequest
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.targets.commands import HomedTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.fairness import FairQueue, WaitingRequest
from goldcrestyard.policy.retries import RetryBudget
from goldcrestyard.policy.routing import TargetStatistics, prefix_blocks
from tests.fakes.paused_clock import EPOCH, PausedClockLoop

MODEL = ModelName("inspect-lm")
REGION = Region("lisboa")
PIECE_TOKENS = 16
PREFILL_TOKENS_PER_BLOCK = 12.8
"""Work of a prompt block that is not cached: 512 characters are 128 tokens,
each at a tenth of a generated one, as the product estimates."""

T = TypeVar("T")


def run_paused(main: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run a simulation on its own loop; the product's jitter is seeded."""
    random.seed(seed)

    async def run() -> T:
        return await main()

    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(run())


def now() -> float:
    """Return the paused time."""
    return asyncio.get_running_loop().time()


class LostError(Exception):
    """The engine died while it worked on a request."""


@dataclass
class SimulatedEngine:
    """Serves tokens at a speed that its running requests share."""

    record: Target
    tokens_per_second: float
    tokens_per_second_of_one: float = 100.0
    cached_blocks: int = 0
    fault_share: float = 0.0
    """Share of the requests that break off half-way."""
    faults: random.Random = field(default_factory=lambda: random.Random(0))
    tokens_made: float = 0.0
    alive: bool = True
    held: int = 0
    blocks_seen: int = 0
    blocks_hit: int = 0
    _served: float = 0.0
    """Tokens that a request would have been given that ran all the time."""
    _as_of: float = 0.0
    _heap: list[tuple[float, int, "asyncio.Future[None]"]] = field(default_factory=list)
    _cache: dict[bytes, None] = field(default_factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _serial: Iterator[int] = field(default_factory=itertools.count)

    def take_slot(self) -> TurnedAway | Unreached | None:
        """Admit a request, or say that it has not run."""
        if not self.alive:
            return Unreached("connection refused")
        if self.held >= self.record.max_concurrency:
            return TurnedAway(429, "full")
        self.held += 1
        return None

    def prefill_tokens(self, text: str) -> float:
        """Look a prompt up in the bounded prefix cache and keep its blocks.

        Returns the work that is left, in generated tokens.
        """
        missing = 0
        for block in prefix_blocks(text):
            self.blocks_seen += 1
            if block in self._cache:
                self.blocks_hit += 1
                del self._cache[block]
            else:
                missing += 1
            self._cache[block] = None
        while len(self._cache) > self.cached_blocks:
            del self._cache[next(iter(self._cache))]
        return missing * PREFILL_TOKENS_PER_BLOCK

    async def generate(self, tokens: float) -> None:
        """Wait until a request has been given its tokens."""
        if not self.alive:
            raise LostError
        self._advance()
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._heap, (self._served + tokens, next(self._serial), done))
        self._arm()
        try:
            await done
            self.tokens_made += tokens
        finally:
            if not done.done() or done.cancelled():
                self._advance()
                self._heap = [entry for entry in self._heap if entry[2] is not done]
                heapq.heapify(self._heap)
                self._arm()

    def kill(self) -> None:
        """Break all running requests and refuse new connections."""
        self.alive = False
        for _, _, done in self._heap:
            if not done.done():
                done.set_exception(LostError())
        self._heap.clear()

    def _speed(self) -> float:
        share = self.tokens_per_second / max(1, len(self._heap))
        return min(self.tokens_per_second_of_one, share)

    def _advance(self) -> None:
        self._served += (now() - self._as_of) * self._speed()
        self._as_of = now()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._heap:
            seconds = max(0.0, self._heap[0][0] - self._served) / self._speed()
            self._timer = asyncio.get_running_loop().call_later(seconds, self._expire)

    def _expire(self) -> None:
        self._advance()
        while self._heap and self._heap[0][0] <= self._served + 1e-6:
            _, _, done = heapq.heappop(self._heap)
            if not done.done():
                done.set_result(None)
        self._arm()


class SimulatedClient:
    """Takes the place of ``EngineClient``, without sockets."""

    def __init__(
        self,
        engines_by_id: dict[TargetId, SimulatedEngine] | None = None,
        seed: int = 0,
        sample_mean: float = 400.0,
    ) -> None:
        self.engines_by_id = engines_by_id or {}
        self.seed = seed
        self.sample_mean = sample_mean
        self.lengths_by_group: dict[str, random.Random] = {}
        self.attempts = 0
        self.begun = 0
        """Samples that were begun from nothing."""

    async def call(
        self, target: Target, request: InferenceRequest, *_: object
    ) -> AttemptOutcome:
        """Run a whole request; its real length is part of the body."""
        self.attempts += 1
        engine = self.engines_by_id[target.id]
        refused = engine.take_slot()
        if refused is not None:
            return refused
        try:
            request.body["started"] = True
            prefill = engine.prefill_tokens(str(request.fields.prompt or ""))
            length = request.body["length"]
            if engine.faults.random() < engine.fault_share:
                await engine.generate((prefill + length) / 2)
                raise LostError
            await engine.generate(prefill + length)
        except LostError:
            return Broken("connection reset")
        finally:
            engine.held -= 1
        usage = b'{"usage":{"completion_tokens":%d}}' % request.body["length"]
        return Answered(200, "application/json", usage)

    @asynccontextmanager
    async def stream(
        self,
        target: Target,
        request: InferenceRequest,
        attempt: AttemptId,
        correlation_id: CorrelationId,
    ) -> AsyncIterator[AsyncIterator[StreamStep] | AttemptFailure]:
        """Stream a sample; its text names its length for a continuation."""
        engine = self.engines_by_id[target.id]
        refused = engine.take_slot()
        if refused is not None:
            yield refused
            return
        try:
            yield self._steps(engine, request)
        finally:
            engine.held -= 1

    async def _steps(
        self, engine: SimulatedEngine, request: InferenceRequest
    ) -> AsyncIterator[StreamStep]:
        prompt = str(request.fields.prompt)
        group, _, text = prompt.partition("|")
        if text:
            length = int(text.partition(";")[0])
            done = SAMPLE_MAX_TOKENS - (request.fields.max_tokens or 0)
        else:
            length, done = self.new_length(group), 0
        while done < length:
            tokens = min(PIECE_TOKENS, length - done)
            try:
                await engine.generate(tokens)
            except LostError:
                yield Broken("connection reset")
                return
            choice: dict[str, Any] = {
                "text": f"{length};" if done == 0 else ".",
                "token_ids": [0] * tokens,
                "finish_reason": "stop" if done + tokens == length else None,
            }
            done += tokens
            yield Piece({"choices": [choice], "weight_version": 1})
        yield Finished()

    def new_length(self, group: str) -> int:
        """Return the length of a sample that is begun."""
        self.begun += 1
        lengths = self.lengths_by_group.setdefault(
            group, random.Random(f"{self.seed}/{group}")
        )
        return min(SAMPLE_MAX_TOKENS, tokens_of_a_request(lengths, self.sample_mean))


SAMPLE_MAX_TOKENS = 4096


class ArrivalOrderScheduler:
    """The baseline: one queue in order of arrival, least in flight."""

    def __init__(
        self, targets: TargetsSlice, settings: SchedulingSettings | None = None
    ) -> None:
        self._targets = targets
        self._settings = settings or SchedulingSettings()
        self._queue: list[tuple[WorkRequest, asyncio.Future[Grant]]] = []
        self.statistics_by_id: dict[TargetId, TargetStatistics] = {}

    def report_retry(self) -> None:
        """Do nothing."""

    @asynccontextmanager
    async def acquire(self, work: WorkRequest) -> AsyncIterator[Grant | Refusal]:
        """Wait for a target in order of arrival."""
        granted: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._queue.append((work, granted))
        self._pump()
        longest = (
            self._settings.queue_seconds
            if work.needs.priority is Priority.INTERACTIVE
            else self._settings.rollout_queue_seconds
        )
        try:
            async with asyncio.timeout(min(longest, work.deadline - now())):
                grant = await granted
        except TimeoutError:
            self._queue = [entry for entry in self._queue if entry[1] is not granted]
            yield Refusal(RefusalReason.CAPACITY, "no target became free in time")
            return
        try:
            yield grant
        finally:
            grant.statistics.record_end(work.needs.tokens)
            match grant.outcome:
                case TurnedAway():
                    grant.statistics.record_overload()
                case Answered():
                    grant.statistics.record_success(
                        0.0, 0.0, grant.target.max_concurrency
                    )
            self._pump()

    def _pump(self) -> None:
        while self._queue:
            work, granted = self._queue[0]
            if granted.done():
                self._queue.pop(0)
                continue
            free: list[tuple[int, Target]] = []
            for target in self._targets.serving(work.name):
                limit = float(target.max_concurrency)
                statistics = self.statistics_by_id.setdefault(
                    target.id, TargetStatistics(limit)
                )
                if target.id not in work.tried and statistics.has_room(now()):
                    free.append((statistics.in_flight, target))
            if not free:
                return
            _, target = min(free, key=lambda entry: (entry[0], entry[1].id))
            self._queue.pop(0)
            statistics = self.statistics_by_id[target.id]
            statistics.record_start(work.needs.tokens, ())
            granted.set_result(Grant(target, statistics, work, now()))


class PatientQueue(FairQueue[Any]):
    """A fair queue that refuses nothing early."""

    def refusal(self, request: WaitingRequest[Any], now: float) -> Refusal | None:
        """Return None."""
        return None


@contextmanager
def without_early_refusal() -> Iterator[None]:
    """Let the product's schedulers queue every request."""
    with unittest.mock.patch.object(scheduler_module, "FairQueue", PatientQueue):
        yield


@dataclass
class Result:
    """What came of one request."""

    organisation: str
    arrived: float
    seconds: float
    outcome: Answered | Refusal
    started: bool
    """Whether an engine began to run it, as the engine knows."""
    priority: Priority = Priority.INTERACTIVE

    @property
    def answered(self) -> bool:
        """Whether the request was answered."""
        return isinstance(self.outcome, Answered)


@dataclass
class World:
    """Engines and the entries that share them."""

    client: SimulatedClient
    targets: TargetsSlice = field(default_factory=TargetsSlice)
    results: list[Result] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    terms_by_id: dict[str, Organisation] = field(default_factory=dict)

    def add_engine(
        self,
        name: str,
        speed: float,
        slots: int,
        rental: Rental = Rental.ON_DEMAND,
        data_centre: str = "lisboa-a",
        cached_blocks: int = 0,
    ) -> SimulatedEngine:
        """Announce an engine."""
        record = Target(
            TargetId(name),
            TargetKind.ENGINE,
            "simulated",
            DataCentre(data_centre),
            REGION,
            (MODEL,),
            rental=rental,
            max_concurrency=slots,
        )
        engine = SimulatedEngine(record, speed, cached_blocks=cached_blocks)
        self.client.engines_by_id[record.id] = engine
        self.targets.homed_by_id[record.id] = HomedTarget(record, InstanceId("e"))
        return engine

    def scheduler(self) -> Scheduler:
        """Return the product's scheduler, running."""
        clock = Clock(lambda: EPOCH + now())
        made = Scheduler(self.targets, clock, REGION, SchedulingSettings())
        self.tasks.append(asyncio.create_task(made.run()))
        return made

    def dispatcher(
        self, scheduler: Scheduler | ArrivalOrderScheduler, budget: bool = True
    ) -> Dispatcher:
        """Return the product's dispatcher on a scheduler."""
        return Dispatcher(
            cast(EngineClient, self.client),
            cast(Scheduler, scheduler),
            lambda name: self.terms_by_id.setdefault(name, Organisation(name)),
            Clock(lambda: EPOCH + now()),
            EngineSettings(),
            None if budget else RetryBudget(share=1e9, reserve=1e9),
        )

    async def send(
        self,
        dispatcher: Dispatcher,
        organisation: str,
        request: InferenceRequest,
        priority: Priority = Priority.INTERACTIVE,
    ) -> None:
        """Send one request and note what came of it."""
        arrived = now()
        call = dispatcher.start(
            request, OrganisationId(organisation), priority, CorrelationId("c")
        )
        outcome = await dispatcher.answer(call)
        self.results.append(
            Result(
                organisation,
                arrived,
                now() - arrived,
                outcome,
                "started" in request.body,
                priority,
            )
        )

    def stop(self) -> None:
        """End the background tasks."""
        for task in self.tasks:
            task.cancel()


def request_of(length: int, max_tokens: int, prompt: str = "q") -> InferenceRequest:
    """Return a request whose real length only the simulated engine reads."""
    fields = InferenceFields(MODEL, prompt=prompt, max_tokens=max_tokens)
    return InferenceRequest("/v1/completions", fields, {"length": length})


def tokens_of_a_request(rng: random.Random, mean: float) -> int:
    """Return a heavy-tailed length (log-normal, sigma 0.8)."""
    sigma = 0.8
    return max(4, round(rng.lognormvariate(0.0, sigma) * mean / 1.377))


async def arrivals(
    rng: random.Random,
    rate: float,
    until: float,
    send: Callable[[], Awaitable[None]],
    group: asyncio.TaskGroup,
) -> None:
    """Start requests at the times of a Poisson process."""
    while True:
        await asyncio.sleep(rng.expovariate(rate))
        if now() >= until:
            return
        group.create_task(cast(Any, send()))


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, 0 of an empty list."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
