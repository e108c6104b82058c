"""A manifest without the route of the reward calls, taken back at once."""

import asyncio

from review.small_site import BROKEN, HELD, TROUBLE, Record, SmallSite, main
from tests.fakes.platform_site import configuration

ITEMS = 8
ITEM_TTL_SECONDS = 60
"""``item_ttl_s`` of the route of the batch submission."""


def _manifest(version: int, *, with_score: bool) -> dict:
    document = configuration(version)
    if not with_score:
        document["routes"] = [r for r in document["routes"] if r["name"] != "score"]
    return document


async def case(record: Record) -> int:
    """Run the case and return its result."""
    site = SmallSite()
    try:
        await site.start()
        for engine in site.engines:
            engine.events, engine.event_seconds = 20, 0.1
        await site.put_configuration(_manifest(2, with_score=True))
        record.note("manifest acknowledged", version=2)
        await asyncio.sleep(3.0)
        job = site.marker()
        await site.submit(job, ITEMS)
        record.note("batch submission accepted", id=job, items=ITEMS)
        began = asyncio.get_running_loop().time()
        if TROUBLE:
            await site.put_configuration(_manifest(3, with_score=False))
            record.note("manifest acknowledged", version=3, removed="score")
        await asyncio.sleep(4.0)
        if TROUBLE:
            await site.put_configuration(_manifest(4, with_score=True))
            record.note("manifest acknowledged", version=4, restored="score")
        results = await site.results(job, ITEMS)
        seconds = asyncio.get_running_loop().time() - began
        for result in results:
            record.note("result", id=result["id"], state=result["state"])
        for target in site.targets:
            for run in target.runs:
                record.note("run", id=run.id, path=run.path, service=target.service)
        errored = sum(result["state"] == "errored" for result in results)
        record.note("errored", count=errored, seconds=round(seconds, 1))
        return BROKEN if errored and seconds < ITEM_TTL_SECONDS else HELD
    finally:
        await site.close()


if __name__ == "__main__":
    main(case, __file__)
