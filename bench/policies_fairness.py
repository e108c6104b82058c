"""Simulation of fairness: latency of the worst-served organisation.

One organisation floods the engines while others send at steady rates
(section 1 of docs/measures.md).
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
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.scheduling.use_digests import (
    TokenUseChannel,
    TokenUseDigest,
    TokenUseMerger,
)
from goldcrestyard.wire.codec import Codec

ARRIVAL_SECONDS = 180.0
WARM_UP_SECONDS = 30.0
MEAN_TOKENS = 200.0
MAX_TOKENS = 512
FLOOD = "flood"
RATES_BY_ORGANISATION = {
    FLOOD: 40.0,
    "large-a": 3.0,
    "large-b": 3.0,
    **{f"small-{number}": 0.4 for number in range(5)},
}
"""Requests a second; the five engines can serve 20."""

UNEVEN_RATES_BY_ORGANISATION = {**RATES_BY_ORGANISATION, "large-a": 12.0}
"""The rates of the uneven variants: ``large-a`` sends more than its share, to
one entry only, while the flood reaches all entries evenly."""

REFUSED_SECONDS = 60.0
"""The latency counted for a refused request: twice the longest queue wait."""

DIGEST_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True)
class Variant:
    """How requests are ordered, by how many entries, and under which load."""

    fair: bool
    entries: int = 1
    digests: bool = False
    uneven: bool = False
    flooded: bool = True

    @property
    def rates_by_organisation(self) -> dict[str, float]:
        """Requests a second of each organisation."""
        rates = UNEVEN_RATES_BY_ORGANISATION if self.uneven else RATES_BY_ORGANISATION
        return {
            name: rate for name, rate in rates.items() if self.flooded or name != FLOOD
        }

    def home_share(self, name: str) -> float:
        """Return the share of an organisation's requests at its home entry."""
        if not self.uneven:
            return 0.7
        return 0.0 if name == FLOOD else 1.0


VARIANTS = {
    "1 entry, no flood": Variant(True, flooded=False),
    "1 entry, arrival order": Variant(False),
    "1 entry, fair": Variant(True),
    "3 entries, arrival order": Variant(False, 3),
    "3 entries, fair, no digests": Variant(True, 3),
    "3 entries, fair, digests": Variant(True, 3, True),
    "3 entries, uneven, arrival order": Variant(False, 3, uneven=True),
    "3 entries, uneven, no digests": Variant(True, 3, uneven=True),
    "3 entries, uneven, digests": Variant(True, 3, True, uneven=True),
}


def measure(name: str, seed: int) -> dict[str, float]:
    """Run one variant; return its figures."""
    return run_paused(lambda: _run(VARIANTS[name], seed), seed)


async def _exchange(schedulers: list[Scheduler]) -> None:
    clock, codec = Clock(), Codec()
    codec.register(TokenUseDigest)
    merger = TokenUseMerger(codec, clock)
    channels = [
        TokenUseChannel(scheduler.use, codec, clock) for scheduler in schedulers
    ]
    while True:
        for number, channel in enumerate(channels):
            entry = InstanceId(f"entry-{number}")
            merger.merge(entry, channel.collect())
            channel.receive(merger.summary(entry))
        await asyncio.sleep(DIGEST_INTERVAL_SECONDS)


async def _run(variant: Variant, seed: int) -> dict[str, float]:
    simulation = Simulation(SimulatedClient())
    for number in range(5):
        simulation.add_engine(f"engine-{number}", 800.0, 16)
    schedulers = [
        simulation.scheduler()
        if variant.fair
        else ArrivalOrderScheduler(simulation.targets)
        for _ in range(variant.entries)
    ]
    if variant.digests:
        fair = [
            scheduler for scheduler in schedulers if isinstance(scheduler, Scheduler)
        ]
        simulation.tasks.append(asyncio.create_task(_exchange(fair)))
    dispatchers = [simulation.dispatcher(scheduler) for scheduler in schedulers]

    def sender(name: str, rng: random.Random) -> Callable[[], Awaitable[None]]:
        # Callers cache an address, so most requests of an organisation reach
        # the same entry.
        home = rng.randrange(variant.entries)
        home_share = variant.home_share(name)

        async def send() -> None:
            length = min(MAX_TOKENS, draw_length(rng, MEAN_TOKENS))
            entry = (
                home if rng.random() < home_share else rng.randrange(variant.entries)
            )
            await simulation.send(
                dispatchers[entry], name, make_request(length, MAX_TOKENS)
            )

        return send

    async with asyncio.TaskGroup() as group:
        for name, rate in variant.rates_by_organisation.items():
            rng = random.Random(f"{seed}/{name}")
            send = sender(name, rng)
            group.create_task(run_arrivals(rng, rate, ARRIVAL_SECONDS, send, group))
    elapsed = now()
    simulation.stop()
    return _figures(simulation, elapsed)


def _figures(simulation: Simulation, elapsed: float) -> dict[str, float]:
    worst, refused, count = 0.0, 0, 0
    small: list[float] = []
    for name in RATES_BY_ORGANISATION:
        seconds = [
            result.seconds if result.answered else REFUSED_SECONDS
            for result in simulation.results
            if result.organisation == name and result.arrived >= WARM_UP_SECONDS
        ]
        if name == FLOOD:
            continue
        refused += seconds.count(REFUSED_SECONDS)
        count += len(seconds)
        worst = max(worst, percentile(seconds, 0.95))
        small += seconds if name.startswith("small") else []
    answered = sum(
        result.answered and result.arrived >= WARM_UP_SECONDS
        for result in simulation.results
        if result.organisation == "large-a"
    )
    tokens = sum(
        engine.tokens_made for engine in simulation.client.engines_by_id.values()
    )
    return {
        "worst p95 s": worst,
        "small p95 s": percentile(small, 0.95),
        "large-a answered/s": answered / (ARRIVAL_SECONDS - WARM_UP_SECONDS),
        "refused share": refused / count,
        "tokens/s": tokens / elapsed,
    }
