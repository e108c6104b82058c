"""Measures how soon a control member on an empty disk gets its vote.

``python -m tests.soak.replacements --losses N`` runs a site with real
processes under load, lets one control member after the other lose its disk,
and prints the times.  It returns 1 if one of them exceeds the bound, or if the
configuration cannot be read at the end.
"""

import argparse
import asyncio
import contextlib
import json
import random
import sys
from datetime import datetime
from typing import Any

from tests.fakes.platform_site import Process, Site, configuration, gives_vote

BOUND_SECONDS = 4.8
"""Time after its start from which a lost machine no longer counts, so that
another disk may be lost."""

DOWN_SECONDS = 1.0
CONFIGURATION_INTERVAL_SECONDS = 0.3
JOB_INTERVAL_SECONDS = 1.0
ITEMS_PER_JOB = 12
BODY_BYTES = 8_000

BUSY_LOOP = "while True: pass"


class LogReader:
    """Reads the lines that a process adds to its log."""

    def __init__(self, process: Process) -> None:
        self._path = process.folder / "log"
        self._position = self._path.stat().st_size if self._path.exists() else 0

    def new_lines(self) -> list[dict[str, Any]]:
        """Return the new structured lines."""
        with self._path.open("rb") as file:
            file.seek(self._position)
            whole, _, _ = file.read().rpartition(b"\n")
        self._position += len(whole)
        return [
            json.loads(line) for line in whole.split(b"\n") if line.startswith(b"{")
        ]


def seconds_of(line: dict[str, Any]) -> float:
    """Return the time of a log line in Unix seconds."""
    return datetime.fromisoformat(line["timestamp"]).timestamp()


async def lose_disk(site: Site, lost: Process) -> float:
    """Let a member lose its disk; return the seconds from start to vote."""
    await lost.kill(wipe=True)
    await asyncio.sleep(DOWN_SECONDS)
    readers = {process.name: LogReader(process) for process in site.controls}
    await lost.start()
    started_at: float | None = None
    while True:
        await asyncio.sleep(0.05)
        for name, reader in readers.items():
            for line in reader.new_lines():
                match line["event"]:
                    case "control member started" if name == lost.name:
                        started_at = seconds_of(line)
                    case "membership change finished" if (
                        started_at is not None
                        and "Applied" in line["result"]
                        and gives_vote(line["step"], lost.host)
                    ):
                        return seconds_of(line) - started_at


async def change_configuration(site: Site) -> None:
    """Put one configuration after the other."""
    version = 1
    while True:
        version += 1
        with contextlib.suppress(AssertionError):
            await site.put_configuration(configuration(version))
        await asyncio.sleep(CONFIGURATION_INTERVAL_SECONDS)


async def submit_jobs(site: Site, source: random.Random) -> None:
    """Submit jobs whose bodies make up a large state."""
    while True:
        with contextlib.suppress(AssertionError):
            body = source.randbytes(BODY_BYTES)
            await site.submit(site.marker(), ITEMS_PER_JOB, body=body)
        await asyncio.sleep(JOB_INTERVAL_SECONDS)


async def measure(losses: int, seed: int, busy: int) -> list[float]:
    """Return the time of each loss; infinity if there was no vote in time."""
    source = random.Random(seed)
    site = Site()
    load = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", BUSY_LOOP)
        for _ in range(busy)
    ]
    try:
        await site.start()
        tasks = [
            asyncio.create_task(change_configuration(site)),
            asyncio.create_task(submit_jobs(site, random.Random(seed))),
        ]
        times: list[float] = []
        for number in range(losses):
            await asyncio.sleep(BOUND_SECONDS * source.uniform(1.0, 1.3))
            lost = source.choice(site.controls)
            try:
                async with asyncio.timeout(6 * BOUND_SECONDS):
                    times.append(await lose_disk(site, lost))
            except TimeoutError:
                times.append(float("inf"))
            print(f"{number} {lost.name} {times[-1]:.2f} s", flush=True)
        for task in tasks:
            task.cancel()
        await site.leader()
    finally:
        for process in load:
            process.kill()
            await process.wait()
        await site.close()
    return times


def main() -> int:
    """Measure, and print the distribution."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--losses", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--busy", type=int, default=0, help="number of busy processes")
    options = parser.parse_args()
    times = sorted(asyncio.run(measure(options.losses, options.seed, options.busy)))
    late = sum(time > BOUND_SECONDS for time in times)
    print(
        f"{len(times)} losses: median {times[len(times) // 2]:.2f} s, "
        f"nine tenths {times[len(times) * 9 // 10]:.2f} s, "
        f"largest {times[-1]:.2f} s, {late} over {BOUND_SECONDS} s"
    )
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
