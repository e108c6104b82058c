"""Simulation of overload: answers in time and correct refusals.

The load is a multiple of the engines' capacity or a burst, and one engine
breaks connections (section 3 of docs/measures.md).
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from bench.policies_simulation import (
    SimulatedClient,
    Simulation,
    draw_length,
    make_request,
    percentile,
    run_arrivals,
    run_paused,
    without_early_refusal,
)
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.verdicts import Verdict

ARRIVAL_SECONDS = 120.0
WARM_UP_SECONDS = 30.0
MEAN_TOKENS = 200.0
MAX_TOKENS = 512
CAPACITY_PER_SECOND = 20.0
"""Requests a second that the five engines can serve."""

LATENCY_LIMIT_SECONDS = 45.0
"""The longest latency that counts as goodput: 30 s for the longest queue
wait, 10 s for the longest answer and a margin of 5 s."""

SHORT_LATENCY_LIMIT_SECONDS = 30.0

BURST_REQUESTS = 300
"""Requests that one organisation sends at once: 15 s of work for the
engines."""

ENTRY_COUNT = 2
FAULT_SHARE = 0.3
"""Share of its requests whose connections one of the five engines breaks."""


@dataclass(frozen=True)
class Variant:
    """Load as a multiple of the capacity, with or without the policies."""

    load: float
    product: bool
    burst: int = 0
    """Requests that arrive at once, half-way through the run."""


VARIANTS = {
    f"{load:g}x, {policy}": Variant(load, policy == "product")
    for load in (0.5, 1.0, 2.0, 4.0)
    for policy in ("no early refusal, no budget", "product")
} | {
    "burst, no early refusal, no budget": Variant(0.05, False, BURST_REQUESTS),
    "burst, product": Variant(0.05, True, BURST_REQUESTS),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    variant = VARIANTS[name]
    context = contextlib.nullcontext() if variant.product else without_early_refusal()
    with context:
        return run_paused(lambda: _run(variant, seed), seed)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    simulation = Simulation(SimulatedClient())
    for number in range(5):
        engine = simulation.add_engine(f"engine-{number}", 800.0, 16)
    engine.fault_share, engine.faults = FAULT_SHARE, random.Random(seed)
    dispatchers = [
        simulation.dispatcher(simulation.scheduler(), budget=variant.product)
        for _ in range(ENTRY_COUNT)
    ]
    rng = random.Random(seed)

    async def send() -> None:
        await send_for(f"organisation-{rng.randrange(8)}")

    async def send_for(name: str) -> None:
        length = min(MAX_TOKENS, draw_length(rng, MEAN_TOKENS))
        dispatcher = dispatchers[rng.randrange(ENTRY_COUNT)]
        await simulation.send(dispatcher, name, make_request(length, MAX_TOKENS))

    async with asyncio.TaskGroup() as group:
        rate = variant.load * CAPACITY_PER_SECOND
        group.create_task(run_arrivals(rng, rate, ARRIVAL_SECONDS, send, group))
        if variant.burst:
            await asyncio.sleep(ARRIVAL_SECONDS / 2)
            for _ in range(variant.burst):
                group.create_task(send_for("organisation-0"))
    simulation.stop()
    return _figures(simulation)


def _figures(simulation: Simulation) -> dict[str, float]:
    results = [r for r in simulation.results if r.arrived >= WARM_UP_SECONDS]
    answered = [r.seconds for r in results if r.answered]
    measured = ARRIVAL_SECONDS - WARM_UP_SECONDS
    refused = [r for r in results if isinstance(r.outcome, Refusal)]
    not_run = [
        r
        for r in refused
        if isinstance(r.outcome, Refusal) and r.outcome.verdict is Verdict.NOT_RUN
    ]
    return {
        "goodput/s": sum(s <= LATENCY_LIMIT_SECONDS for s in answered) / measured,
        "within 30 s/s": sum(s <= SHORT_LATENCY_LIMIT_SECONDS for s in answered)
        / measured,
        "p95 s answered": percentile(answered, 0.95),
        "median s to refusal": percentile([r.seconds for r in refused], 0.5),
        "refused share": len(refused) / len(results),
        "share of refusals 'not run'": len(not_run) / max(1, len(refused)),
        "false 'not run'": float(sum(r.started for r in not_run)),
        "attempts/request": simulation.client.attempts / len(simulation.results),
    }
