"""A trainer submits batches of several MB, far below the largest body."""

import asyncio
import base64
import json
import os
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

from review.harness import STORE_LIMITS, Record, ReviewSite, main, trouble
from tests.fakes.platform_site import HOST, KEY, MODEL, Process

BATCHES = 14
LAST_SUBMISSION_SECONDS = 65.0
BATCH_SECONDS = 4.0
ITEMS = 20
LARGE_BATCH_BYTES = 10 * 1024 * 1024
SMALL_BATCH_BYTES = ITEMS * 600
"""Bodies of a batch, before they are encoded in base64."""

STEP_SECONDS = 12.0
RESTART_SECONDS = 0.5
MEMORY_CHECK_SECONDS = 0.1
FINISH_SECONDS = 10.0
READ_SECONDS = 10.0
"""Time after the last submission, and then the longest time for reading the
accepted batches again from the start, again after each failure."""

ENDS_OF_A_FAULT = 3
"""Number of times that a process ends by itself from which its machine counts,
with or without traffic."""


class Platform:
    """Ends processes that use more than ``ram_mb``, and starts them again."""

    def __init__(self, site: ReviewSite, record: Record) -> None:
        self._site = site
        self._record = record
        self.ends: Counter[str] = Counter()
        self.peak_mb: Counter[str] = Counter()

    def half_of_core_fails(self) -> bool:
        """Return whether enough machines have processes that end again."""
        often = [n for n in self.ends.values() if n >= ENDS_OF_A_FAULT]
        return 2 * len(often) >= len(self._site.controls)

    async def watch(self, process: Process) -> None:
        """Watch one process until cancelled."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            used = memory_mb(process)
            self.peak_mb[process.name] = max(self.peak_mb[process.name], used)
            if used <= STORE_LIMITS["ram_mb"]:
                continue
            self.ends[process.name] += 1
            self._record(
                f"{process.name} uses {used} MB of {STORE_LIMITS['ram_mb']} MB and is "
                f"ended, for the {self.ends[process.name]}. time"
            )
            await process.kill()
            await asyncio.sleep(RESTART_SECONDS)
            await process.start()


def memory_mb(process: Process) -> int:
    """Return the resident memory of a process, 0 if it does not run."""
    assert process.running is not None
    try:
        status = Path(f"/proc/{process.running.pid}/status").read_text()
    except OSError:
        return 0
    lines = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(lines[0].split()[1]) // 1024 if lines else 0


def batch(job: str, step: int, size: int) -> bytes:
    """Return the body of a submission whose items hold ``size`` bytes."""
    requests: list[dict[str, Any]] = [
        {
            "id": f"{job}-{number}",
            "path": f"/jobs/{number}",
            "headers": {"X-Goldcrestyard-Model": MODEL},
            "body": base64.b64encode(os.urandom(size // ITEMS)).decode(),
            "tokens": 100,
            "group": "g",
            "scorer": {
                "id": f"r-{job}-{number}",
                "host": HOST,
                "path": "/score/x",
                "body": "",
            },
        }
        for number in range(ITEMS)
    ]
    return json.dumps(
        {
            "step": step,
            "model": MODEL,
            "least_required": 1,
            "group_count": 1,
            "requests": requests,
        }
    ).encode()


async def case(record: Record) -> bool:
    """Return whether processes on half of the core end three times each."""
    site = ReviewSite()
    watchers: list[asyncio.Task[None]] = []
    try:
        await site.start(engines=3)
        record("the site serves; manifest 1 acknowledged")
        platform = Platform(site, record)
        watchers = [
            asyncio.create_task(platform.watch(process)) for process in site.controls
        ]
        listed: Counter[str] = Counter()
        accepted: list[str] = []
        for step in range(BATCHES):
            began = time.monotonic()
            job = f"batch-{step}"
            await _train(site, record, job, step, accepted, listed)
            await asyncio.sleep(max(0.0, BATCH_SECONDS - time.monotonic() + began))
            if (
                time.monotonic() - record.began > LAST_SUBMISSION_SECONDS
                or platform.half_of_core_fails()
            ):
                break
        record("no more submissions")
        await asyncio.sleep(FINISH_SECONDS)
        readable = await asyncio.gather(*(_is_readable(site, j) for j in accepted))
        for name, peak in sorted(platform.peak_mb.items()):
            record(f"{name}: at most {peak} MB, ended {platform.ends[name]} times")
        record(
            f"{len(accepted)} batches accepted, {sum(readable)} of them readable "
            f"within {READ_SECONDS} s at the end"
        )
        return platform.half_of_core_fails()
    finally:
        for watcher in watchers:
            watcher.cancel()
        await site.close()


async def _is_readable(site: ReviewSite, job: str) -> bool:
    """Read a batch from the start, again after each failure."""
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        page = await site.page(job)
        if page is not None:
            return True
        await asyncio.sleep(0.2)
    return False


async def _train(
    site: ReviewSite,
    record: Record,
    job: str,
    step: int,
    accepted: list[str],
    listed: Counter[str],
) -> None:
    """Submit a batch, read its results, and end it."""
    body = batch(job, step, LARGE_BATCH_BYTES if trouble() else SMALL_BATCH_BYTES)
    until = time.monotonic() + STEP_SECONDS
    headers = {
        "Host": HOST,
        "X-Goldcrestyard-Attempt-Id": job,
        "Authorization": f"Bearer {KEY}",
    }
    statuses: list[int] = []
    while time.monotonic() < until and (not statuses or statuses[-1] != 202):
        front = random.choice(site.fronts).address("front")
        url = f"http://{front}/jobs/{job}"
        status, _, _ = await site.call("POST", url, data=body, headers=headers)
        statuses.append(status)
        await asyncio.sleep(0.3)
    record(f"{job}: {len(body) / 1e6:.2f} MB submitted, answers {statuses}")
    if statuses[-1] != 202:
        return
    accepted.append(job)
    while time.monotonic() < until and listed[job] < ITEMS:
        page = await site.page(job)
        if page is not None:
            listed[job] = len(page["results"])
        await asyncio.sleep(0.3)
    front = random.choice(site.fronts).address("front")
    url = f"http://{front}/v1/lots/{job}"
    status, _, _ = await site.call("DELETE", url, headers=headers)
    record(f"{job}: {listed[job]} of {ITEMS} results read, end answered {status}")


if __name__ == "__main__":
    main(Path(__file__).parent, case, 110.0)
