"""Simulation of stragglers: time until all samples of a step are complete.

One of five engines is slow and another one dies during the step (section 2 of
docs/measures.md).
"""

import asyncio
import unittest.mock
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from bench.policies_simulation import (
    MODEL,
    SAMPLE_MAX_TOKENS,
    ArrivalOrderScheduler,
    ConnectionLostError,
    SimulatedClient,
    SimulatedEngine,
    Simulation,
    now,
    run_paused,
)
from goldcrestyard.core.ids import (
    BodyDigest,
    CorrelationId,
    GroupId,
    OrganisationId,
    SampleId,
    StepNumber,
)
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.trainers import running
from goldcrestyard.plugins.trainers.chunks import ChunkWriter
from goldcrestyard.plugins.trainers.commands import StepKey
from goldcrestyard.plugins.trainers.questions import (
    Prompt,
    Question,
    SampleTask,
    sample_tasks,
)
from goldcrestyard.plugins.trainers.samples import (
    AvoidedEngines,
    GenerationContext,
    VersionChecks,
)
from goldcrestyard.policy import stragglers
from goldcrestyard.policy.stragglers import RunningSample, StreamPace
from goldcrestyard.storage.bodies import compute_digest

GROUP_COUNT = 64
SAMPLES_PER_GROUP = 8
CONCURRENT_SAMPLES = 128
"""The product's default limit of one entry."""

TOKENS_PER_SECOND = 1600.0
ENGINE_SLOTS = 32
KILL_AT_SECONDS = 15.0
DEAD_ENGINE_LISTED_SECONDS = 5.0
"""How long a dead engine stays in the list of targets."""

TRAINER = OrganisationId("trainer")


@dataclass(frozen=True)
class Variant:
    """How samples are routed, and whether they are resumed and hedged."""

    product_routing: bool = True
    round_robin: bool = False
    resume: bool = True
    hedge: bool = True


VARIANTS = {
    "round robin, begun anew": Variant(False, round_robin=True),
    "least in flight, begun anew": Variant(False, resume=False, hedge=False),
    "product without hedges": Variant(hedge=False),
    "product": Variant(),
}


@dataclass
class FakeBodyClient:
    """A body store in memory."""

    bodies: list[bytes] = field(default_factory=list)

    async def put(self, body: bytes, keep_seconds: float) -> BodyDigest:
        """Store a body and return its digest."""
        self.bodies.append(body)
        return compute_digest(body)


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    return run_paused(lambda: _run(VARIANTS[name], seed), seed)


def make_question(groups: int, samples: int, resume: bool) -> Question:
    """Return a step's question.

    Without ``resume`` it has a penalty, which keeps the product from resuming
    a sample on another engine.
    """
    prompts = [Prompt(GroupId(f"g{n}"), prompt=f"g{n}|") for n in range(groups)]
    penalty = None if resume else 0.1
    return Question(
        MODEL, prompts, samples, SAMPLE_MAX_TOKENS, presence_penalty=penalty
    )


def make_context(
    simulation: Simulation,
    scheduler: Any,
    question: Question,
    organisation: OrganisationId,
) -> GenerationContext:
    """Return a generation context whose engines are simulated."""
    clock = Clock()
    return GenerationContext(
        question,
        organisation,
        simulation.dispatcher(scheduler),
        lambda: {target.id for target in simulation.targets.serving(MODEL)},
        VersionChecks(lambda _: (), lambda _: ()),
        AvoidedEngines(clock),
        clock,
        CorrelationId("c"),
    )


async def _kill(simulation: Simulation, engine: SimulatedEngine) -> None:
    await asyncio.sleep(KILL_AT_SECONDS)
    engine.kill()
    await asyncio.sleep(DEAD_ENGINE_LISTED_SECONDS)
    del simulation.targets.homed_by_id[engine.record.id]


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    simulation = Simulation(SimulatedClient(seed=seed))
    engines = [
        simulation.add_engine(
            f"engine-{n}",
            TOKENS_PER_SECOND / 4 if n == 2 else TOKENS_PER_SECOND,
            ENGINE_SLOTS,
        )
        for n in range(5)
    ]
    simulation.tasks.append(asyncio.create_task(_kill(simulation, engines[4])))
    question = make_question(GROUP_COUNT, SAMPLES_PER_GROUP, variant.resume)
    tasks = list(sample_tasks(StepKey(TRAINER, MODEL, StepNumber(1)), question))
    useful = 0.0
    if variant.round_robin:
        useful = await _round_robin(simulation, engines, tasks)
        hedges = 0.0
    else:
        useful, hedges = await _product(simulation, variant, question, tasks)
    seconds = now()
    simulation.stop()
    made = sum(engine.tokens_made for engine in engines)
    return {
        "step s": seconds,
        "share of tokens thrown away": 1 - useful / made,
        "samples begun anew": (simulation.client.samples_started - len(tasks))
        / len(tasks),
        "hedges": hedges,
    }


async def _product(
    simulation: Simulation,
    variant: Variant,
    question: Question,
    tasks: list[SampleTask],
) -> tuple[float, float]:
    scheduler = (
        simulation.scheduler()
        if variant.product_routing
        else ArrivalOrderScheduler(simulation.targets)
    )
    context = make_context(simulation, scheduler, question, TRAINER)
    store = FakeBodyClient()
    writer = ChunkWriter(cast(BodyClient, store))
    hedges = 0

    def choose(
        samples: Sequence[RunningSample], pace: StreamPace, **counts: int
    ) -> list[SampleId]:
        nonlocal hedges
        if not variant.hedge:
            return []
        chosen = stragglers.choose_hedges(samples, pace, **counts)
        hedges += len(chosen)
        return chosen

    with unittest.mock.patch.object(running, "choose_hedges", choose):
        refusal = await running.generate_all(
            deque(tasks), context, writer, CONCURRENT_SAMPLES
        )
    assert refusal is None, refusal
    assert len(writer.placed_by_id) == len(tasks)
    return _useful_tokens(store), float(hedges)


def _useful_tokens(store: FakeBodyClient) -> float:
    """Return the sum of the lengths that the stored samples' texts state."""
    tokens = 0.0
    for body in store.bodies:
        for part in body.split(b'"text":"')[1:]:
            tokens += int(part.split(b";", 1)[0])
    return tokens


async def _round_robin(
    simulation: Simulation, engines: list[SimulatedEngine], tasks: list[SampleTask]
) -> float:
    """Send samples to engines in turn; restart those that break."""
    sample_slots = asyncio.Semaphore(CONCURRENT_SAMPLES)
    engine_slots = {
        engine.record.id: asyncio.Semaphore(ENGINE_SLOTS) for engine in engines
    }
    next_engine = 0
    useful = 0.0

    async def generate_sample(task: SampleTask) -> None:
        nonlocal next_engine, useful
        async with sample_slots:
            while True:
                listed = [
                    e for e in engines if e.record.id in simulation.targets.homed_by_id
                ]
                engine = listed[next_engine % len(listed)]
                next_engine += 1
                async with engine_slots[engine.record.id]:
                    if not engine.alive:
                        await asyncio.sleep(0.1)
                        continue
                    length = simulation.client.new_length(str(task.prompt.group))
                    try:
                        for start in range(0, length, 16):
                            await engine.generate(min(16, length - start))
                    except ConnectionLostError:
                        continue
                useful += length
                return

    await asyncio.gather(*(generate_sample(task) for task in tasks))
    return useful
