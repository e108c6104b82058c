"""Simulation of prefix caching: cache hits of prompts with shared prefixes.

The results are in section 4 of docs/measures.md.
"""

import asyncio
import random
import unittest.mock
from dataclasses import dataclass

from bench.policies_simulation import (
    ArrivalOrderScheduler,
    SimulatedClient,
    Simulation,
    draw_length,
    make_request,
    now,
    percentile,
    run_arrivals,
    run_paused,
)
from goldcrestyard.plugins.engines import requests

ARRIVAL_SECONDS = 120.0
WARM_UP_SECONDS = 20.0
MEAN_TOKENS = 100.0
MAX_TOKENS = 256
PREFIX_COUNT = 60
PREFIX_CHARACTERS = 4096
CACHED_BLOCKS = 120
"""Prompt blocks in an engine's cache, enough for 15 of the 60 prefixes."""

REQUESTS_PER_SECOND = 15.0


@dataclass(frozen=True)
class Variant:
    """Which scheduler routes, and whether it knows the prompts' prefixes."""

    product: bool
    sees_prefixes: bool = True


VARIANTS = {
    "least in flight": Variant(False),
    "product, prefixes hidden": Variant(True, False),
    "product": Variant(True),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    variant = VARIANTS[name]
    if variant.sees_prefixes:
        return run_paused(lambda: _run(variant, seed), seed)
    with unittest.mock.patch.object(requests, "prefix_blocks", return_value=()):
        return run_paused(lambda: _run(variant, seed), seed)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    simulation = Simulation(SimulatedClient())
    engines = [
        simulation.add_engine(
            f"engine-{number}", 800.0, 16, cached_blocks=CACHED_BLOCKS
        )
        for number in range(5)
    ]
    scheduler = (
        simulation.scheduler()
        if variant.product
        else ArrivalOrderScheduler(simulation.targets)
    )
    dispatcher = simulation.dispatcher(scheduler)
    rng = random.Random(seed)
    weights = [1 / (rank + 1) for rank in range(PREFIX_COUNT)]

    async def send() -> None:
        (number,) = rng.choices(range(PREFIX_COUNT), weights)
        prefix = f"{number:08d}" * (PREFIX_CHARACTERS // 8)
        prompt = prefix + f"question {rng.random()}"
        length = min(MAX_TOKENS, draw_length(rng, MEAN_TOKENS))
        await simulation.send(
            dispatcher, "tejo", make_request(length, MAX_TOKENS, prompt)
        )

    async with asyncio.TaskGroup() as group:
        group.create_task(
            run_arrivals(rng, REQUESTS_PER_SECOND, ARRIVAL_SECONDS, send, group)
        )
    elapsed = now()
    simulation.stop()
    seconds = [
        r.seconds if r.answered else 60.0
        for r in simulation.results
        if r.arrived >= WARM_UP_SECONDS
    ]
    served = [engine.tokens_made for engine in engines]
    return {
        "hit rate": sum(e.blocks_hit for e in engines)
        / sum(e.blocks_seen for e in engines),
        "mean s": sum(seconds) / len(seconds),
        "p95 s": percentile(seconds, 0.95),
        "work/s": sum(served) / elapsed,
        "busiest/mean engine": max(served) * len(served) / sum(served),
    }
