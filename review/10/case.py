"""Routes whose split gives a service the weight 0."""

import asyncio
import copy
import time

from review.small_site import BROKEN, HELD, TROUBLE, Record, SmallSite, main
from tests.fakes.platform_site import MODEL, configuration

APPLY_SECONDS = 2.5
ITEMS = 8


def _manifest(version: int, *, moved: bool) -> dict:
    document = configuration(version)
    for name in ("plain", "engines"):
        service = next(s for s in document["services"] if s["name"] == name)
        other = copy.deepcopy(service)
        other["name"] = f"{name}-new"
        document["services"].append(other)
    if moved:
        for route in document["routes"]:
            if route["name"] in ("jobs", "score", "quotes"):
                old = route.pop("service")
                route["split"] = [
                    {"service": old, "weight": 0},
                    {"service": f"{old}-new", "weight": 100},
                ]
    return document


async def case(record: Record) -> int:
    """Run the case and return its result."""
    site = SmallSite()
    try:
        await site.start()
        for number, (service, models) in enumerate(
            (
                ("engines-new", {MODEL: 1}),
                ("engines-new", {MODEL: 1}),
                ("plain-new", {}),
                ("plain-new", {}),
            )
        ):
            await site.add(site.target_of(service, 10 + number, models=models))
        await site.put_configuration(_manifest(2, moved=False))
        record.note("manifest acknowledged", version=2)
        await asyncio.sleep(3.0)
        if TROUBLE:
            await site.put_configuration(_manifest(3, moved=True))
            record.note("manifest acknowledged", version=3)
        acknowledged_at = time.time()
        await asyncio.sleep(2 * APPLY_SECONDS)
        job = site.marker()
        record.note("batch submission sent", id=job, items=ITEMS)
        await site.submit(job, ITEMS)
        record.note("batch submission answered", status=202)
        results = await site.results(job, ITEMS)
        record.note("results", states=sorted(r["state"] for r in results))
        for number in range(10):
            status, _, _ = await site.ask(f"/quotes/{number}")
            record.note("request answered", path=f"/quotes/{number}", status=status)
        wrong = 0
        for target in site.targets:
            for run in target.runs:
                if run.started_at < acknowledged_at + APPLY_SECONDS:
                    continue
                old = target.service in ("plain", "engines")
                wrong += old and TROUBLE
                record.note("run", id=run.id, path=run.path, service=target.service)
        record.note("requests run by a service with weight 0", count=wrong)
        return BROKEN if wrong else HELD
    finally:
        await site.close()


if __name__ == "__main__":
    main(case, __file__)
