"""One of three engines leaves as planned, and three models are trained."""

import asyncio
import time

from review.small_site import BROKEN, HELD, TROUBLE, Record, SmallSite, main
from tests.fakes.platform_site import MODEL, configuration

MODELS = (MODEL, "m2", "m3")
ITEMS = 16
DRAIN_SECONDS = 2.5
GIVEN_UP_SECONDS = 30.0
"""Several times the time budget of a step, 12 s."""


def _manifest(version: int) -> dict:
    document = configuration(version)
    for service in document["services"]:
        if service["name"] == "engines":
            service["engine"]["models"] = [{"name": name} for name in MODELS]
    return document


async def case(record: Record) -> int:
    """Run the case and return its result."""
    site = SmallSite()
    try:
        await site.start(engines=0)
        await site.put_configuration(_manifest(2))
        for number in range(3):
            engine = site.target_of(
                "engines",
                10 + number,
                models=dict.fromkeys(MODELS, 1),
                events=30,
                event_seconds=0.1,
            )
            await site.add(engine)
        await asyncio.sleep(4.0)
        leader = await site.leader()
        status, _, _ = await site.call(
            "POST",
            f"http://{leader.address('ctl')}/v1/version-put",
            json={"model": MODEL, "version": 2},
        )
        record.note("version named", model=MODEL, version=2, status=status)
        await asyncio.sleep(10.0)
        for engine in site.engines:
            record.note("engine", id=engine.id, versions=engine.models)
        job = site.marker()
        await site.submit(job, ITEMS, least_required=2)
        submitted_at = time.monotonic()
        record.note("batch submission accepted", id=job, items=ITEMS)
        await asyncio.sleep(1.0)
        begun = {run.id for engine in site.engines for run in engine.runs}
        record.note("items begun", count=len(begun))
        if TROUBLE:
            lost = max(site.engines, key=lambda engine: len(engine.runs))
            await lost.drain()
            record.note("draining acknowledged", id=lost.id)
            await asyncio.sleep(DRAIN_SECONDS + 0.5)
            status, _, _ = await site.call(
                "DELETE", f"http://{leader.address('ctl')}/v1/instances/{lost.id}"
            )
            record.note("DELETE answered", id=lost.id, status=status)
            await lost.stop()
        listed = 0
        while time.monotonic() < submitted_at + GIVEN_UP_SECONDS and listed < ITEMS:
            page = await site.page(job)
            if page is not None:
                listed = len(page["results"])
            await asyncio.sleep(0.5)
        running = 0
        for engine in site.engines:
            for run in engine.runs:
                record.note("run", id=run.id, engine=engine.id)
            if not TROUBLE or engine is not lost:
                running += sum(engine.in_progress.values())
            record.note(
                "engine", id=engine.id, versions=engine.models, orders=engine.orders
            )
        record.note(
            "step",
            listed=listed,
            seconds=round(time.monotonic() - submitted_at, 1),
            running_at_the_others=running,
        )
        broken = listed < ITEMS and len(begun) > 0 and running == 0
        return BROKEN if broken else HELD
    finally:
        await site.close()


if __name__ == "__main__":
    main(case, __file__)
