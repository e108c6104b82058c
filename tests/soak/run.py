"""One run of the soak: work, faults, and the promises checked meanwhile."""

import asyncio
import collections
import contextlib
import random
import shutil
import time
from pathlib import Path
from typing import Any

from tests.fakes.platform_site import ORGANISATION, Site
from tests.fakes.proxy import FaultProxy
from tests.soak.faults import Injector

ITEMS = 6
EVENTS = 20
TEXT = "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))
FAULT_PAUSE_SECONDS = (0.3, 2.5)
LANES = 2
"""Faults that overlap."""

NOT_RUN_STATUSES = (408, 421, 429, 503)


class BrokenPromiseError(AssertionError):
    """What a caller or a target saw against a promise."""


class Soak:
    """A site, its callers and trainers, and what they have seen."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        *,
        verbose: bool = False,
        keep: Path | None = None,
    ) -> None:
        self.seed = seed
        self._seconds = seconds
        self._random = random.Random(seed)
        self._site = Site()
        self._proxies: list[FaultProxy] = []
        self._verbose = verbose
        self._keep = keep
        self._began = time.monotonic()
        self.events: list[str] = []
        self.statuses: collections.Counter[int] = collections.Counter()
        self.jobs = 0
        self._refused: set[str] = set()

    async def run(self) -> None:
        """Run; raise ``BrokenPromiseError`` with the course of events."""
        try:
            await self._site.start(engines=0, services=0)
            await self._start_targets()
            await self._site.wait(self._site.all_serve, "fronts with targets")
            injector = Injector(self._site, self._proxies, self._random, self._log)
            deadline = asyncio.get_running_loop().time() + self._seconds
            async with asyncio.TaskGroup() as group:
                for _ in range(LANES):
                    group.create_task(self._inject(injector, deadline))
                for number in range(2):
                    group.create_task(self._train(f"t{number}", deadline))
                for _ in range(3):
                    group.create_task(self._call(deadline))
            await self._check_ends(injector)
        except* Exception as failures:
            course = "\n".join(self.events[-60:])
            raise BrokenPromiseError(
                f"seed {self.seed}: {failures.exceptions}\n{course}"
            ) from failures
        finally:
            if self._keep is not None:
                self._keep_logs(self._keep)
            for proxy in self._proxies:
                await proxy.stop()
            await self._site.close()

    def _keep_logs(self, folder: Path) -> None:
        """Copy the logs of all processes, for tracing a failure."""
        folder = folder / f"seed-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for process in [*self._site.controls, *self._site.fronts]:
            shutil.copy(process.folder / "log", folder / f"{process.name}.log")
        (folder / "course").write_text("\n".join(self.events))

    async def _start_targets(self) -> None:
        site = self._site
        for number in range(4):
            target = site.new_target(number, engine=number < 2, events=EVENTS)
            await target.listen()
            proxy = FaultProxy(target.own_address)
            await proxy.start()
            target.address = proxy.address
            target.event_seconds = 0.05
            self._proxies.append(proxy)
            site.targets.append(target)
            target.announce()

    def _log(self, text: str) -> None:
        line = f"{time.monotonic() - self._began:7.2f} {text}"
        self.events.append(line)
        if self._verbose:
            print(line, flush=True)

    async def _inject(self, injector: Injector, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSE_SECONDS))
            await injector.inject(injector.draw())

    async def _train(self, name: str, deadline: float) -> None:
        """Submit one job after another and read each to its end."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < deadline:
            number += 1
            job = f"{name}-{self.seed}-{number}"
            await self._site.submit(job, ITEMS)
            results = await self._site.results(job, ITEMS)
            self._check_results(job, results)
            self.jobs += 1
            self._log(f"{job} read")

    def _check_results(self, job: str, results: list[dict[str, Any]]) -> None:
        expected = {f"{job}-{number}" for number in range(ITEMS)}
        found = [result["id"] for result in results]
        if sorted(found) != sorted(expected):
            raise BrokenPromiseError(f"{job} lists {found}")
        for result in results:
            whole = result["text"] == TEXT and result["versions"] == [1]
            scored = result["score"] == f"stamp-r-{result['id']}"
            if result["state"] != "complete" or not whole or not scored:
                raise BrokenPromiseError(f"{job}: {result}")

    async def _call(self, deadline: float) -> None:
        """Send calls that may run once, and others."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            path = self._random.choice(("/once/", "/quotes/"))
            front = self._random.choice(self._site.fronts)
            request_id = self._site.marker()
            status, body, headers = await self._site.ask(
                f"{path}{request_id}", front, request_id=request_id
            )
            self.statuses[status] += 1
            if status in NOT_RUN_STATUSES:
                self._refused.add(request_id)
            if status == 200 and (
                not body.endswith(request_id.encode())
                or headers["X-Goldcrestyard-Server-Stamp"] != f"stamp-{request_id}"
            ):
                raise BrokenPromiseError(f"{request_id} got {body!r}")
            if status in (401, 403, 404):
                raise BrokenPromiseError(f"{request_id} was denied: {status}")
            await asyncio.sleep(self._random.uniform(0.02, 0.2))

    async def _check_ends(self, injector: Injector) -> None:
        """Check what targets ran and the platform was told, at the end."""
        await asyncio.sleep(1.0)
        runs = [run for target in self._site.targets for run in target.runs]
        once = collections.Counter(
            run.id for run in runs if run.path.startswith("/once/")
        )
        twice = [request for request, count in once.items() if count > 1]
        if twice:
            raise BrokenPromiseError(f"ran more than once: {twice}")
        ran = {run.id for run in runs}
        false = sorted(self._refused & ran)
        if false:
            raise BrokenPromiseError(f"refused as not run, but ran: {false}")
        strangers = {run.organisation for run in runs} - {ORGANISATION, None}
        if strangers:
            raise BrokenPromiseError(f"ran for {strangers}")
        by_window: dict[int, set[str]] = {}
        for _, window, counts in self._site.reports:
            by_window.setdefault(window, set()).add(str(sorted(counts.items())))
        double = {window for window, sums in by_window.items() if len(sums) > 1}
        if double:
            raise BrokenPromiseError(f"windows reported with two sums: {double}")
        await self._check_configuration(injector)

    async def _check_configuration(self, injector: Injector) -> None:
        leader = await self._site.leader()
        url = f"http://{leader.address('ctl')}/v1/config"
        status, body, _ = await self._site.call("GET", url)
        marker = f'"version": {injector.version},'.encode()
        if status == 200 and marker not in body:
            raise BrokenPromiseError(f"configuration is older than {injector.version}")


async def run_seed(
    seed: int, seconds: float, *, verbose: bool = False, keep: Path | None = None
) -> Soak:
    """Run the soak with a seed and return what was done."""
    soak = Soak(seed, seconds, verbose=verbose, keep=keep)
    with contextlib.suppress(asyncio.CancelledError):
        await soak.run()
    return soak
