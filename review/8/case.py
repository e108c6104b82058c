"""A manifest without tenants, taken back after some seconds."""

import asyncio
import time

from review.small_site import BROKEN, HELD, TROUBLE, Record, SmallSite, main
from tests.fakes.platform_site import configuration

ITEMS = 24
APPLY_SECONDS = 2.5
SETTLE_SECONDS = 1.0
READS = 5


def _manifest(version: int, *, with_tenants: bool) -> dict:
    document = configuration(version)
    if not with_tenants:
        del document["tenants"]
    return document


async def _read(site: SmallSite, record: Record, job: str, accepted_at: float) -> int:
    """Read a batch submission at each front; count the answers 404."""
    unknown = 0
    for number in range(READS):
        for front in site.fronts:
            status, _, _ = await site.call(
                "GET",
                f"http://{front.address('front')}/v1/lots/{job}?after=0",
                headers=site._headers(job),
            )
            seconds = time.monotonic() - accepted_at
            record.note(
                "read",
                id=job,
                front=front.name,
                status=status,
                seconds_since_202=round(seconds, 1),
            )
            unknown += status in (404, 410) and seconds > SETTLE_SECONDS
        await asyncio.sleep(0.5 if number < READS - 1 else 0.0)
    return unknown


async def case(record: Record) -> int:
    """Run the case and return its result."""
    site = SmallSite()
    try:
        await site.start()
        for engine in site.engines:
            engine.events, engine.event_seconds = 30, 0.1
        await site.put_configuration(_manifest(2, with_tenants=True))
        record.note("manifest acknowledged", version=2, tenants=True)
        await asyncio.sleep(2 * APPLY_SECONDS)
        first = site.marker()
        await site.submit(first, ITEMS)
        first_at = time.monotonic()
        record.note("batch submission accepted", id=first, items=ITEMS)
        await asyncio.sleep(1.5)
        if TROUBLE:
            await site.put_configuration(_manifest(3, with_tenants=False))
            record.note("manifest acknowledged", version=3, tenants=False)
        await asyncio.sleep(2 * APPLY_SECONDS)
        unknown = await _read(site, record, first, first_at)
        second = site.marker()
        await site.submit(second, ITEMS)
        second_at = time.monotonic()
        record.note("batch submission accepted", id=second, items=ITEMS)
        await asyncio.sleep(1.5)
        if TROUBLE:
            await site.put_configuration(_manifest(4, with_tenants=True))
            record.note("manifest acknowledged", version=4, tenants=True)
        await asyncio.sleep(2 * APPLY_SECONDS)
        unknown += await _read(site, record, first, first_at)
        at_the_end = await _read(site, record, second, second_at)
        record.note(
            "answers 404 for accepted batch submissions",
            count=unknown + at_the_end,
            of_the_second_one_at_the_end=at_the_end,
        )
        return BROKEN if unknown + at_the_end else HELD
    finally:
        await site.close()


if __name__ == "__main__":
    main(case, __file__)
