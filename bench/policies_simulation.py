"""Simulation of entries and engines on a paused clock, for the policies.

Entries run the product's ``Scheduler`` and ``Dispatcher``; ``SimulatedClient``
takes the place of the engine client and ``ArrivalOrderScheduler`` is the
baseline of the scheduler.
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
"""The work of an uncached prompt block, in generated tokens: 512 characters
are 128 tokens, and the product counts each as a tenth of a generated one."""

T = TypeVar("T")


def run_paused(main: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run a simulation on a new loop, with the product's jitter seeded."""
    random.seed(seed)

    async def run() -> T:
        return await main()

    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(run())


def now() -> float:
    """Return the simulated time in seconds."""
    return asyncio.get_running_loop().time()


class ConnectionLostError(Exception):
    """An engine's connection broke while the engine ran a request."""


@dataclass
class SimulatedEngine:
    """Generates tokens at a speed that is shared by its running requests."""

    record: Target
    tokens_per_second: float
    max_tokens_per_second_per_request: float = 100.0
    cached_blocks: int = 0
    fault_share: float = 0.0
    """Share of requests whose connection breaks after half of the work."""
    faults: random.Random = field(default_factory=lambda: random.Random(0))
    tokens_made: float = 0.0
    alive: bool = True
    slots_in_use: int = 0
    blocks_seen: int = 0
    blocks_hit: int = 0
    _tokens_per_request: float = 0.0
    """Tokens that a request running since time 0 would have generated."""
    _updated_at: float = 0.0
    _running: list[tuple[float, int, "asyncio.Future[None]"]] = field(
        default_factory=list
    )
    _cache: dict[bytes, None] = field(default_factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _sequence: Iterator[int] = field(default_factory=itertools.count)

    def take_slot(self) -> TurnedAway | Unreached | None:
        """Admit a request, or return why the engine did not run it."""
        if not self.alive:
            return Unreached("connection refused")
        if self.slots_in_use >= self.record.max_concurrency:
            return TurnedAway(429, "full")
        self.slots_in_use += 1
        return None

    def prefill_tokens(self, text: str) -> float:
        """Look up a prompt in the prefix cache and add its blocks to it.

        Returns the work of the uncached blocks, in generated tokens.  The
        least recently used blocks are evicted.
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
        """Wait until the engine has generated a request's tokens."""
        if not self.alive:
            raise ConnectionLostError
        self._advance()
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._running,
            (self._tokens_per_request + tokens, next(self._sequence), done),
        )
        self._schedule_completion()
        try:
            await done
            self.tokens_made += tokens
        finally:
            if not done.done() or done.cancelled():
                self._advance()
                self._running = [
                    entry for entry in self._running if entry[2] is not done
                ]
                heapq.heapify(self._running)
                self._schedule_completion()

    def kill(self) -> None:
        """Break the connections of running requests and refuse new ones."""
        self.alive = False
        for _, _, done in self._running:
            if not done.done():
                done.set_exception(ConnectionLostError())
        self._running.clear()

    def _speed(self) -> float:
        share = self.tokens_per_second / max(1, len(self._running))
        return min(self.max_tokens_per_second_per_request, share)

    def _advance(self) -> None:
        self._tokens_per_request += (now() - self._updated_at) * self._speed()
        self._updated_at = now()

    def _schedule_completion(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._running:
            seconds = (
                max(0.0, self._running[0][0] - self._tokens_per_request) / self._speed()
            )
            self._timer = asyncio.get_running_loop().call_later(
                seconds, self._complete_finished
            )

    def _complete_finished(self) -> None:
        self._advance()
        while self._running and self._running[0][0] <= self._tokens_per_request + 1e-6:
            _, _, done = heapq.heappop(self._running)
            if not done.done():
                done.set_result(None)
        self._schedule_completion()


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
        self.samples_started = 0
        """The number of samples started from their first token."""

    async def call(
        self, target: Target, request: InferenceRequest, *_: object
    ) -> AttemptOutcome:
        """Run a request that generates the body's ``length`` in tokens."""
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
                raise ConnectionLostError
            await engine.generate(prefill + length)
        except ConnectionLostError:
            return Broken("connection reset")
        finally:
            engine.slots_in_use -= 1
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
        """Stream a sample whose text starts with its length.

        A continuation reads the length from the text.
        """
        engine = self.engines_by_id[target.id]
        refused = engine.take_slot()
        if refused is not None:
            yield refused
            return
        try:
            yield self._steps(engine, request)
        finally:
            engine.slots_in_use -= 1

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
            except ConnectionLostError:
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
        """Draw the output length, in tokens, of a sample that starts."""
        self.samples_started += 1
        lengths = self.lengths_by_group.setdefault(
            group, random.Random(f"{self.seed}/{group}")
        )
        return min(SAMPLE_MAX_TOKENS, draw_length(lengths, self.sample_mean))


SAMPLE_MAX_TOKENS = 4096


class ArrivalOrderScheduler:
    """The baseline scheduler.

    Serves one queue in order of arrival and chooses the target with the least
    requests in flight.
    """

    def __init__(
        self, targets: TargetsSlice, settings: SchedulingSettings | None = None
    ) -> None:
        self._targets = targets
        self._settings = settings or SchedulingSettings()
        self._queue: list[tuple[WorkRequest, asyncio.Future[Grant]]] = []
        self.statistics_by_id: dict[TargetId, TargetStatistics] = {}

    def report_retry(self) -> None:
        """Ignore retries, which the product's scheduler counts."""

    @asynccontextmanager
    async def acquire(self, work: WorkRequest) -> AsyncIterator[Grant | Refusal]:
        """Wait for a target in order of arrival."""
        granted: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._queue.append((work, granted))
        self._grant_waiting()
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
            self._grant_waiting()

    def _grant_waiting(self) -> None:
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


class NoEarlyRefusalQueue(FairQueue[Any]):
    """A fair queue without early refusal."""

    def refusal(self, request: WaitingRequest[Any], now: float) -> Refusal | None:
        """Return None: no request is refused when it arrives."""
        return None


@contextmanager
def without_early_refusal() -> Iterator[None]:
    """Disable the early refusal of the product's schedulers."""
    with unittest.mock.patch.object(scheduler_module, "FairQueue", NoEarlyRefusalQueue):
        yield


@dataclass
class Result:
    """The outcome and timing of one request."""

    organisation: str
    arrived: float
    seconds: float
    outcome: Answered | Refusal
    started: bool
    """Whether an engine started to run it, according to the engine."""
    priority: Priority = Priority.INTERACTIVE

    @property
    def answered(self) -> bool:
        """Whether the request was answered."""
        return isinstance(self.outcome, Answered)


@dataclass
class Simulation:
    """Engines, the entries that share them, and the requests' results."""

    client: SimulatedClient
    targets: TargetsSlice = field(default_factory=TargetsSlice)
    results: list[Result] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    organisations_by_id: dict[str, Organisation] = field(default_factory=dict)

    def add_engine(
        self,
        name: str,
        speed: float,
        slots: int,
        rental: Rental = Rental.ON_DEMAND,
        data_centre: str = "lisboa-a",
        cached_blocks: int = 0,
    ) -> SimulatedEngine:
        """Add an engine and announce it to the entries."""
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
        """Return a running scheduler of the product."""
        clock = Clock(lambda: EPOCH + now())
        scheduler = Scheduler(self.targets, clock, REGION, SchedulingSettings())
        self.tasks.append(asyncio.create_task(scheduler.run()))
        return scheduler

    def dispatcher(
        self, scheduler: Scheduler | ArrivalOrderScheduler, budget: bool = True
    ) -> Dispatcher:
        """Return a dispatcher of the product; ``budget`` limits retries."""
        return Dispatcher(
            cast(EngineClient, self.client),
            cast(Scheduler, scheduler),
            lambda name: self.organisations_by_id.setdefault(name, Organisation(name)),
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
        """Send one request and record its result."""
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
        """Cancel the background tasks."""
        for task in self.tasks:
            task.cancel()


def make_request(length: int, max_tokens: int, prompt: str = "q") -> InferenceRequest:
    """Return a request whose output length only the simulated engine reads."""
    fields = InferenceFields(MODEL, prompt=prompt, max_tokens=max_tokens)
    return InferenceRequest("/v1/completions", fields, {"length": length})


def draw_length(rng: random.Random, mean: float) -> int:
    """Draw an output length in tokens, log-normal with sigma 0.8."""
    sigma = 0.8
    return max(4, round(rng.lognormvariate(0.0, sigma) * mean / 1.377))


async def run_arrivals(
    rng: random.Random,
    rate: float,
    until: float,
    send: Callable[[], Awaitable[None]],
    group: asyncio.TaskGroup,
) -> None:
    """Start requests at the times of a Poisson process until a time."""
    while True:
        await asyncio.sleep(rng.expovariate(rate))
        if now() >= until:
            return
        group.create_task(cast(Any, send()))


def percentile(values: list[float], share: float) -> float:
    """Return the percentile at a share of 0..1; 0 for an empty list."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
