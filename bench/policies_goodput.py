"""Measure 3: goodput and true "not run" refusals under overload."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from bench.policies_simulation import (
    SimulatedClient,
    World,
    arrivals,
    percentile,
    request_of,
    run_paused,
    tokens_of_a_request,
    without_early_refusal,
)
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.verdicts import Verdict

SECONDS = 120.0
WARM_UP_SECONDS = 30.0
MEAN_TOKENS = 200.0
MAX_TOKENS = 512
CAPACITY = 20.0
"""Requests a second that the five engines can serve."""

PATIENCE_SECONDS = 45.0
"""An answer that takes longer does not count as goodput: the longest wait in
the queue is 30 s, and the longest answer takes 10 s; 5 s are a margin."""

SHORT_PATIENCE_SECONDS = 30.0

BURST = 300
"""Requests of one organisation at once: 15 s of work for the engines."""

ENTRIES = 2
FAULT_SHARE = 0.3
"""Share of the requests that one of the five engines breaks off."""


@dataclass(frozen=True)
class Variant:
    """Load as a multiple of the capacity, and the policy."""

    load: float
    product: bool
    burst: int = 0
    """Requests that arrive at once, after a quiet time."""


VARIANTS = {
    f"{load:g}x, {policy}": Variant(load, policy == "product")
    for load in (0.5, 1.0, 2.0, 4.0)
    for policy in ("no early refusal, no budget", "product")
} | {
    "burst, no early refusal, no budget": Variant(0.05, False, BURST),
    "burst, product": Variant(0.05, True, BURST),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    variant = VARIANTS[name]
    context = contextlib.nullcontext() if variant.product else without_early_refusal()
    with context:
        return run_paused(lambda: _run(variant, seed), seed)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    world = World(SimulatedClient())
    for number in range(5):
        engine = world.add_engine(f"engine-{number}", 800.0, 16)
    engine.fault_share, engine.faults = FAULT_SHARE, random.Random(seed)
    dispatchers = [
        world.dispatcher(world.scheduler(), budget=variant.product)
        for _ in range(ENTRIES)
    ]
    rng = random.Random(seed)

    async def send() -> None:
        await send_for(f"organisation-{rng.randrange(8)}")

    async def send_for(name: str) -> None:
        length = min(MAX_TOKENS, tokens_of_a_request(rng, MEAN_TOKENS))
        dispatcher = dispatchers[rng.randrange(ENTRIES)]
        await world.send(dispatcher, name, request_of(length, MAX_TOKENS))

    async with asyncio.TaskGroup() as group:
        rate = variant.load * CAPACITY
        group.create_task(arrivals(rng, rate, SECONDS, send, group))
        if variant.burst:
            await asyncio.sleep(SECONDS / 2)
            for _ in range(variant.burst):
                group.create_task(send_for("organisation-0"))
    world.stop()
    return _figures(world)


def _figures(world: World) -> dict[str, float]:
    results = [r for r in world.results if r.arrived >= WARM_UP_SECONDS]
    answered = [r.seconds for r in results if r.answered]
    measured = SECONDS - WARM_UP_SECONDS
    refused = [r for r in results if isinstance(r.outcome, Refusal)]
    not_run = [
        r
        for r in refused
        if isinstance(r.outcome, Refusal) and r.outcome.verdict is Verdict.NOT_RUN
    ]
    return {
        "goodput/s": sum(s <= PATIENCE_SECONDS for s in answered) / measured,
        "within 30 s/s": sum(s <= SHORT_PATIENCE_SECONDS for s in answered) / measured,
        "p95 s answered": percentile(answered, 0.95),
        "median s to refusal": percentile([r.seconds for r in refused], 0.5),
        "refused share": len(refused) / len(results),
        "share of refusals 'not run'": len(not_run) / max(1, len(refused)),
        "false 'not run'": float(sum(r.started for r in not_run)),
        "attempts/request": world.client.attempts / len(world.results),
    }
