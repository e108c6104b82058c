"""A target leaves while its status reports are late."""

import asyncio
import time
from pathlib import Path
from typing import Any

from review.harness import BOUNDS, HEARTBEAT_MS, Record, ReviewSite, main, trouble
from tests.fakes.platform_targets import StandInTarget

CUT_SECONDS = 5.0
"""Time for which the target is cut off from control, but not from fronts."""

LATE_SECONDS = 1.5
"""Time after the acknowledged departure at which the late report arrives."""

SERVED_SECONDS = 8.0
"""Time for which the target goes on serving after its departure."""


async def case(record: Record) -> bool:
    """Return whether a target that has left still gets requests."""
    site = ReviewSite()
    try:
        await site.start(engines=1, services=2)
        record("the site serves")
        target = site.services[0]
        requests = asyncio.create_task(_send_requests(site))
        await asyncio.sleep(2.0)
        report = _next_report(target)
        if trouble():
            _stop_reports(target)
            record(f"{target.id} is cut off from control for {CUT_SECONDS} s")
            await asyncio.sleep(CUT_SECONDS)
            record(f"the cut has healed; a report of {target.id} is still on its way")
        else:
            _stop_reports(target)
        left_at = await _leave(site, target, record)
        await asyncio.sleep(LATE_SECONDS)
        if trouble():
            status = await _send_report(site, target, report)
            record(f"the report sent before the departure arrives: {status}")
        await asyncio.sleep(SERVED_SECONDS - LATE_SECONDS)
        requests.cancel()
        late = [
            run.started_at - left_at
            for run in target.runs
            if run.started_at - left_at > BOUNDS["drain_ms"] / 1000
        ]
        after = sum(run.started_at > left_at for run in target.runs)
        record(f"{after} requests ran at {target.id} after its departure")
        record(
            f"{len(late)} of them later than drain_ms: "
            f"{[f'{seconds:.2f} s' for seconds in late[:10]]}"
        )
        return bool(late)
    finally:
        await site.close()


def _next_report(target: StandInTarget) -> dict[str, Any]:
    target._sequence += 1
    return {
        "service": target.service,
        "addr": target.address,
        "zone": target.zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "models": [],
        "seq": target._sequence,
        "born": target._started_at_ms,
    }


def _stop_reports(target: StandInTarget) -> None:
    for task in target._tasks:
        task.cancel()


async def _leave(site: ReviewSite, target: StandInTarget, record: Record) -> float:
    """Send the departure until it is acknowledged; return the Unix time."""
    while True:
        for control in site.controls:
            url = f"http://{control.address('ctl')}/v1/instances/{target.id}"
            status, _, _ = await site.call("DELETE", url)
            record(f"DELETE /v1/instances/{target.id} at {control.name}: {status}")
            if status == 200:
                return time.time()
        await asyncio.sleep(HEARTBEAT_MS / 1000)


async def _send_report(
    site: ReviewSite, target: StandInTarget, report: dict[str, Any]
) -> int:
    leader = await site.leader()
    url = f"http://{leader.address('ctl')}/v1/instances/{target.id}"
    status, _, _ = await site.call("PUT", url, json=report)
    return status


async def _send_requests(site: ReviewSite) -> None:
    while True:
        await site.ask("/quotes/x")
        await asyncio.sleep(0.03)


if __name__ == "__main__":
    main(Path(__file__).parent, case, 60.0)
