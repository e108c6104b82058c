"""Measure 6: a data centre of cheap targets is reclaimed in mid-run."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, replace
from typing import cast

from bench.policies_simulation import (
    MODEL,
    SAMPLE_MAX_TOKENS,
    ArrivalOrderScheduler,
    SimulatedClient,
    SimulatedEngine,
    World,
    arrivals,
    now,
    percentile,
    request_of,
    run_paused,
    tokens_of_a_request,
)
from bench.policies_stragglers import Bodies, context_of, question_of
from goldcrestyard.core.attempts import Answered
from goldcrestyard.core.ids import CorrelationId, OrganisationId, StepNumber
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Priority, Rental, TargetState
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.engines.upstream import Finished
from goldcrestyard.plugins.trainers.chunks import ChunkWriter
from goldcrestyard.plugins.trainers.commands import StepKey
from goldcrestyard.plugins.trainers.questions import sample_tasks
from goldcrestyard.plugins.trainers.running import generate_all

RECLAIM_AT_SECONDS = 30.0
NOTICE_SECONDS = 3.0
SECONDS = 60.0
RATE = 5.0
MAX_TOKENS = 512
TRAINER = OrganisationId("trainer")


@dataclass(frozen=True)
class Variant:
    """Whether the product routes and resumes."""

    product: bool


VARIANTS = {
    "rental ignored, least in flight": Variant(False),
    "product": Variant(True),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    return run_paused(lambda: _run(VARIANTS[name], seed), seed)


async def _reclaim(world: World, engines: list[SimulatedEngine]) -> None:
    await asyncio.sleep(RECLAIM_AT_SECONDS)
    for engine in engines:
        homed = world.targets.homed_by_id[engine.record.id]
        draining = replace(homed.target, state=TargetState.DRAINING)
        world.targets.homed_by_id[engine.record.id] = replace(homed, target=draining)
    await asyncio.sleep(NOTICE_SECONDS)
    for engine in engines:
        engine.kill()
        del world.targets.homed_by_id[engine.record.id]


@dataclass
class Interactive:
    """What came of the interactive streams."""

    seconds: list[float]
    lost: int = 0
    refused: int = 0


async def _stream(dispatcher: Dispatcher, length: int, noted: Interactive) -> None:
    """Read one stream as a caller does; a break after its start loses it."""
    began = now()
    request = request_of(length, MAX_TOKENS)
    prompt = replace(request.fields, prompt=f"interactive|{length};")
    call = dispatcher.start(
        replace(request, fields=replace(prompt, max_tokens=SAMPLE_MAX_TOKENS)),
        OrganisationId("tejo"),
        Priority.INTERACTIVE,
        CorrelationId("c"),
    )
    async with dispatcher.stream(call) as opened:
        match opened:
            case Refusal() | Answered():
                noted.refused += 1
            case _:
                last: object = None
                async for step in opened.rest:
                    last = step
                noted.lost += not isinstance(last, Finished)
    noted.seconds.append(now() - began)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    world = World(SimulatedClient(seed=seed))
    for number in range(4):
        world.add_engine(f"firm-{number}", 1600.0, 32)
    cheap = [
        world.add_engine(f"cheap-{n}", 1600.0, 32, Rental.RECLAIMABLE, "lisboa-b")
        for n in range(4)
    ]
    world.tasks.append(asyncio.create_task(_reclaim(world, cheap)))
    scheduler = (
        world.scheduler() if variant.product else ArrivalOrderScheduler(world.targets)
    )
    dispatcher = world.dispatcher(scheduler)
    question = question_of(128, 8, resume=variant.product)
    tasks = list(sample_tasks(StepKey(TRAINER, MODEL, StepNumber(1)), question))
    context = context_of(world, scheduler, question, TRAINER)
    writer = ChunkWriter(cast(BodyClient, Bodies()))
    noted = Interactive([])
    rng = random.Random(seed)
    step_seconds = 0.0

    async def send() -> None:
        length = min(MAX_TOKENS, tokens_of_a_request(rng, 200.0))
        await _stream(dispatcher, length, noted)

    async def step() -> None:
        nonlocal step_seconds
        refusal = await generate_all(deque(tasks), context, writer, 128)
        assert refusal is None, refusal
        step_seconds = now()

    async with asyncio.TaskGroup() as group:
        group.create_task(arrivals(rng, RATE, SECONDS, send, group))
        group.create_task(step())
    world.stop()
    return {
        "interactive lost": float(noted.lost),
        "interactive refused": float(noted.refused),
        "interactive p95 s": percentile(noted.seconds, 0.95),
        "samples begun anew": float(world.client.begun - len(tasks)),
        "step s": step_seconds,
    }
