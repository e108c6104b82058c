"""Simulation of priorities: interactive latency while rollouts fill engines.

The results are in section 5 of docs/measures.md.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
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
from goldcrestyard.core.states import Priority

ARRIVAL_SECONDS = 180.0
WARM_UP_SECONDS = 30.0
MAX_TOKENS = 512
OPEN_ROLLOUTS = 200
"""Rollout requests open at any time, for 80 slots of the engines."""

ROLLOUT_MEAN_TOKENS = 400.0
ROLLOUT_MAX_TOKENS = 2048


@dataclass(frozen=True)
class Variant:
    """Which scheduler routes, and the interactive and rollout load."""

    product: bool
    interactive_rate: float = 3.0
    rollouts: int = OPEN_ROLLOUTS


VARIANTS = {
    "product, no rollouts": Variant(True, rollouts=0),
    "arrival order, least in flight": Variant(False),
    "product": Variant(True),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    return run_paused(lambda: _run(VARIANTS[name], seed), seed)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    simulation = Simulation(SimulatedClient())
    for number in range(5):
        simulation.add_engine(f"engine-{number}", 800.0, 16)
    scheduler = (
        simulation.scheduler()
        if variant.product
        else ArrivalOrderScheduler(simulation.targets)
    )
    dispatcher = simulation.dispatcher(scheduler)

    def sender(
        name: str, priority: Priority, mean: float, most: int
    ) -> Callable[[], Awaitable[None]]:
        rng = random.Random(f"{seed}/{name}")

        async def send() -> None:
            length = min(most, draw_length(rng, mean))
            await simulation.send(
                dispatcher, name, make_request(length, most), priority
            )

        return send

    rollout = sender(
        "trainer", Priority.ROLLOUT, ROLLOUT_MEAN_TOKENS, ROLLOUT_MAX_TOKENS
    )

    async def repeat_rollout() -> None:
        while now() < ARRIVAL_SECONDS:
            before = now()
            await rollout()
            if now() == before:
                # Refused without delay; the product's samples also pause then.
                await asyncio.sleep(1.0)

    interactive = sender("tejo", Priority.INTERACTIVE, 150.0, MAX_TOKENS)
    async with asyncio.TaskGroup() as group:
        for _ in range(variant.rollouts):
            group.create_task(repeat_rollout())
        rng = random.Random(seed)
        rate = variant.interactive_rate
        group.create_task(run_arrivals(rng, rate, ARRIVAL_SECONDS, interactive, group))
    simulation.stop()
    timed = [r for r in simulation.results if r.arrived >= WARM_UP_SECONDS]
    asked = [r for r in timed if r.priority is Priority.INTERACTIVE]
    seconds = [r.seconds if r.answered else 60.0 for r in asked]
    done = [r for r in simulation.results if r.arrived + r.seconds <= ARRIVAL_SECONDS]
    rollouts = sum(r.answered for r in done if r.priority is Priority.ROLLOUT)
    return {
        "interactive p50 s": percentile(seconds, 0.5),
        "interactive p95 s": percentile(seconds, 0.95),
        "interactive refused share": sum(not r.answered for r in asked) / len(asked),
        "rollouts/s": rollouts / ARRIVAL_SECONDS,
        "rollouts refused": float(
            sum(not r.answered for r in done if r.priority is Priority.ROLLOUT)
        ),
    }
