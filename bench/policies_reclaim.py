"""Simulation of a reclaimed data centre of cheap targets.

In the middle of a run its engines are drained at short notice and then killed
(section 6 of docs/measures.md).
"""

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
    Simulation,
    draw_length,
    make_request,
    now,
    percentile,
    run_arrivals,
    run_paused,
)
from bench.policies_stragglers import FakeBodyClient, make_context, make_question
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
ARRIVAL_SECONDS = 60.0
REQUESTS_PER_SECOND = 5.0
MAX_TOKENS = 512
TRAINER = OrganisationId("trainer")


@dataclass(frozen=True)
class Variant:
    """Whether the product's routing and resumption of samples are used."""

    product: bool


VARIANTS = {
    "rental ignored, least in flight": Variant(False),
    "product": Variant(True),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    return run_paused(lambda: _run(VARIANTS[name], seed), seed)


async def _reclaim(simulation: Simulation, engines: list[SimulatedEngine]) -> None:
    await asyncio.sleep(RECLAIM_AT_SECONDS)
    for engine in engines:
        homed = simulation.targets.homed_by_id[engine.record.id]
        draining = replace(homed.target, state=TargetState.DRAINING)
        simulation.targets.homed_by_id[engine.record.id] = replace(
            homed, target=draining
        )
    await asyncio.sleep(NOTICE_SECONDS)
    for engine in engines:
        engine.kill()
        del simulation.targets.homed_by_id[engine.record.id]


@dataclass
class InteractiveResults:
    """Latencies and failures of the interactive streams."""

    seconds: list[float]
    lost: int = 0
    refused: int = 0


async def _stream(
    dispatcher: Dispatcher, length: int, results: InteractiveResults
) -> None:
    """Read one stream as a caller; a break after its start counts as lost."""
    began = now()
    request = make_request(length, MAX_TOKENS)
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
                results.refused += 1
            case _:
                last: object = None
                async for step in opened.rest:
                    last = step
                results.lost += not isinstance(last, Finished)
    results.seconds.append(now() - began)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    simulation = Simulation(SimulatedClient(seed=seed))
    for number in range(4):
        simulation.add_engine(f"firm-{number}", 1600.0, 32)
    cheap = [
        simulation.add_engine(f"cheap-{n}", 1600.0, 32, Rental.RECLAIMABLE, "lisboa-b")
        for n in range(4)
    ]
    simulation.tasks.append(asyncio.create_task(_reclaim(simulation, cheap)))
    scheduler = (
        simulation.scheduler()
        if variant.product
        else ArrivalOrderScheduler(simulation.targets)
    )
    dispatcher = simulation.dispatcher(scheduler)
    question = make_question(128, 8, resume=variant.product)
    tasks = list(sample_tasks(StepKey(TRAINER, MODEL, StepNumber(1)), question))
    context = make_context(simulation, scheduler, question, TRAINER)
    writer = ChunkWriter(cast(BodyClient, FakeBodyClient()))
    results = InteractiveResults([])
    rng = random.Random(seed)
    step_seconds = 0.0

    async def send() -> None:
        length = min(MAX_TOKENS, draw_length(rng, 200.0))
        await _stream(dispatcher, length, results)

    async def step() -> None:
        nonlocal step_seconds
        refusal = await generate_all(deque(tasks), context, writer, 128)
        assert refusal is None, refusal
        step_seconds = now()

    async with asyncio.TaskGroup() as group:
        group.create_task(
            run_arrivals(rng, REQUESTS_PER_SECOND, ARRIVAL_SECONDS, send, group)
        )
        group.create_task(step())
    simulation.stop()
    return {
        "interactive lost": float(results.lost),
        "interactive refused": float(results.refused),
        "interactive p95 s": percentile(results.seconds, 0.95),
        "samples begun anew": float(simulation.client.samples_started - len(tasks)),
        "step s": step_seconds,
    }
