"""Status reports of another writer name addresses of sound engines."""

import asyncio
import time
from pathlib import Path

from review.harness import HEARTBEAT_MS, Record, ReviewSite, main, trouble
from tests.fakes.platform_site import HOST, KEY
from tests.fakes.platform_targets import StandInTarget

ITEMS = 64
EVENTS = 25
EVENT_SECONDS = 0.04
"""Each item takes a second, and two engines run sixteen items at a time."""

ODD_REPORTS_AFTER_SECONDS = 1.0
TIME_BUDGET_SECONDS = 12.0
"""Time after which the trainer gives the step up, as on the sheet."""

IDLE_SECONDS = 5.0
"""Time at no engine after which a waiting item counts."""

SLOTS = 8


async def case(record: Record) -> bool:
    """Return whether items of the step wait beside idle, sound engines."""
    site = ReviewSite()
    odd: list[asyncio.Task[None]] = []
    try:
        await site.start(engines=2, services=1)
        for engine in site.engines:
            engine.events, engine.event_seconds = EVENTS, EVENT_SECONDS
        record("the site serves; two engines, each reports that it is ready")
        began = time.monotonic()
        await site.submit("step-0", ITEMS)
        record(f"step-0: {ITEMS} items accepted")
        await asyncio.sleep(ODD_REPORTS_AFTER_SECONDS)
        if trouble():
            odd = [
                asyncio.create_task(_send_odd_reports(site, engine, number, record))
                for number, engine in enumerate(site.engines)
            ]
        idle_since: float | None = None
        longest_idle = 0.0
        listed = 0
        while time.monotonic() - began < TIME_BUDGET_SECONDS and listed < ITEMS:
            page = await site.page("step-0")
            listed = max(listed, len(page["results"]) if page is not None else 0)
            busy = sum(sum(engine.in_progress.values()) for engine in site.engines)
            if busy == 0 and listed < ITEMS:
                idle_since = idle_since or time.monotonic()
                longest_idle = max(longest_idle, time.monotonic() - idle_since)
            else:
                idle_since = None
            record(f"step-0: {listed} results listed, {busy} items at engines")
            await asyncio.sleep(0.3)
        begun = {run.id for engine in site.engines for run in engine.runs}
        waiting = ITEMS - len(begun)
        record(
            f"at the end of the time budget: {len(begun)} items begun, {waiting} at "
            f"no engine, engines idle for {longest_idle:.1f} s"
        )
        for engine in site.engines:
            record(
                f"{engine.id}: reports sent: {engine._sequence}, runs: "
                f"{len(engine.runs)}"
            )
        url = f"http://{site.fronts[0].address('front')}/v1/lots/step-0"
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        await site.call("DELETE", url, headers=headers)
        return bool(begun) and waiting > 0 and longest_idle > IDLE_SECONDS
    finally:
        for task in odd:
            task.cancel()
        await site.close()


async def _send_odd_reports(
    site: ReviewSite, engine: StandInTarget, number: int, record: Record
) -> None:
    """Report, as another writer, a service that no manifest names."""
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        report = {
            "service": "billing",
            "addr": engine.address,
            "zone": engine.zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": sequence,
            "born": born,
        }
        leader = await site.leader()
        url = f"http://{leader.address('ctl')}/v1/instances/other-{number}"
        status, _, _ = await site.call("PUT", url, json=report)
        record(
            f"report of other-{number}, service billing, at {engine.id}'s address: "
            f"{status}"
        )
        await asyncio.sleep(HEARTBEAT_MS / 1000)


if __name__ == "__main__":
    main(Path(__file__).parent, case, 60.0)
