"""Measure 2: how long a trainer waits for the whole samples of a step."""

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
    LostError,
    SimulatedClient,
    SimulatedEngine,
    World,
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

GROUPS = 64
SAMPLES_OF_A_GROUP = 8
CONCURRENT_SAMPLES = 128
"""The product's default for one entry."""

SPEED = 1600.0
SLOTS = 32
KILL_AT_SECONDS = 15.0
NOTICED_AFTER_SECONDS = 5.0
"""How long a dead engine is still listed."""

TRAINER = OrganisationId("trainer")


@dataclass(frozen=True)
class Variant:
    """How samples are given to engines, and what is done about late ones."""

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
class Bodies:
    """A body store in memory."""

    bodies: list[bytes] = field(default_factory=list)

    async def put(self, body: bytes, keep_seconds: float) -> BodyDigest:
        """Store a body."""
        self.bodies.append(body)
        return compute_digest(body)


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    return run_paused(lambda: _run(VARIANTS[name], seed), seed)


def question_of(groups: int, samples: int, resume: bool) -> Question:
    """Return a step's question.

    A penalty forbids the product to continue a sample elsewhere.
    """
    prompts = [Prompt(GroupId(f"g{n}"), prompt=f"g{n}|") for n in range(groups)]
    penalty = None if resume else 0.1
    return Question(
        MODEL, prompts, samples, SAMPLE_MAX_TOKENS, presence_penalty=penalty
    )


def context_of(
    world: World, scheduler: Any, question: Question, organisation: OrganisationId
) -> GenerationContext:
    """Return the product's context of a generation, on simulated engines."""
    clock = Clock()
    return GenerationContext(
        question,
        organisation,
        world.dispatcher(scheduler),
        lambda: {target.id for target in world.targets.serving(MODEL)},
        VersionChecks(lambda _: (), lambda _: ()),
        AvoidedEngines(clock),
        clock,
        CorrelationId("c"),
    )


async def _kill(world: World, engine: SimulatedEngine) -> None:
    await asyncio.sleep(KILL_AT_SECONDS)
    engine.kill()
    await asyncio.sleep(NOTICED_AFTER_SECONDS)
    del world.targets.homed_by_id[engine.record.id]


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    world = World(SimulatedClient(seed=seed))
    engines = [
        world.add_engine(f"engine-{n}", SPEED / 4 if n == 2 else SPEED, SLOTS)
        for n in range(5)
    ]
    world.tasks.append(asyncio.create_task(_kill(world, engines[4])))
    question = question_of(GROUPS, SAMPLES_OF_A_GROUP, variant.resume)
    tasks = list(sample_tasks(StepKey(TRAINER, MODEL, StepNumber(1)), question))
    useful = 0.0
    if variant.round_robin:
        useful = await _round_robin(world, engines, tasks)
        hedges = 0.0
    else:
        useful, hedges = await _product(world, variant, question, tasks)
    seconds = now()
    world.stop()
    made = sum(engine.tokens_made for engine in engines)
    return {
        "step s": seconds,
        "share of tokens thrown away": 1 - useful / made,
        "samples begun anew": (world.client.begun - len(tasks)) / len(tasks),
        "hedges": hedges,
    }


async def _product(
    world: World, variant: Variant, question: Question, tasks: list[SampleTask]
) -> tuple[float, float]:
    scheduler = (
        world.scheduler()
        if variant.product_routing
        else ArrivalOrderScheduler(world.targets)
    )
    context = context_of(world, scheduler, question, TRAINER)
    store = Bodies()
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


def _useful_tokens(store: Bodies) -> float:
    """Add up the lengths that the texts of the stored samples name."""
    tokens = 0.0
    for body in store.bodies:
        for part in body.split(b'"text":"')[1:]:
            tokens += int(part.split(b";", 1)[0])
    return tokens


async def _round_robin(
    world: World, engines: list[SimulatedEngine], tasks: list[SampleTask]
) -> float:
    """Give samples to engines in turn; one that breaks is begun anew."""
    places = asyncio.Semaphore(CONCURRENT_SAMPLES)
    slots = {engine.record.id: asyncio.Semaphore(SLOTS) for engine in engines}
    turn = 0
    useful = 0.0

    async def one(task: SampleTask) -> None:
        nonlocal turn, useful
        async with places:
            while True:
                listed = [
                    e for e in engines if e.record.id in world.targets.homed_by_id
                ]
                engine = listed[turn % len(listed)]
                turn += 1
                async with slots[engine.record.id]:
                    if not engine.alive:
                        await asyncio.sleep(0.1)
                        continue
                    length = world.client.new_length(str(task.prompt.group))
                    try:
                        for start in range(0, length, 16):
                            await engine.generate(min(16, length - start))
                    except LostError:
                        continue
                useful += length
                return

    await asyncio.gather(*(one(task) for task in tasks))
    return useful
