"""One run of the soak: load, faults, and checks of the guarantees.

Trainers submit jobs and callers send calls while faults are injected.  Every
answer is checked at once; what targets ran and what the platform was told is
checked at the end.  All tasks draw from one random source with the given
seed, so that the timing decides which task gets which number.
"""

import asyncio
import collections
import contextlib
import random
import shutil
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.fakes.platform_site import ORGANISATION, Site
from tests.fakes.platform_targets import (
    SOFTWARE,
    StandInTarget,
    software_of,
    whole_text,
)
from tests.fakes.proxy import FaultProxy
from tests.soak.faults import Injector
from tests.soak.losses import Losses

ITEMS_PER_JOB = 6
EVENTS_PER_RUN = 20
SOFTWARE_VERSIONS = (SOFTWARE, "v2", "v3")
WHOLE_TEXTS = {whole_text(EVENTS_PER_RUN, version) for version in SOFTWARE_VERSIONS}
FAULT_PAUSE_RANGE_SECONDS = (0.3, 2.5)
CONCURRENT_FAULTS = 2
"""Number of faults that may overlap."""

SECONDS_AFTER_LOSSES = 5.0
"""Time for which work goes on after the last loss of a member was due."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses of refusals that guarantee that the call has not run."""


LEAVING_SECONDS = 1.0
"""Time in seconds after a front has passed on an answer in which a target says
that it leaves, from which that front sends it no more calls."""


@dataclass(frozen=True)
class SentCall:
    """A call of a caller; times are Unix times in seconds."""

    id: str
    front: str
    target: str
    """The target that answered it; empty without a success."""
    sent_at: float
    answered_at: float


class GuaranteeViolationError(AssertionError):
    """A caller or a target observed a violation of a guarantee."""


class Soak:
    """A site under load and faults, with the answers that were seen."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        *,
        verbose: bool = False,
        keep: Path | None = None,
        limits: bool = False,
        leaving: bool = False,
        versions: bool = False,
        losses: bool = False,
    ) -> None:
        self._losses = losses
        self._versions = versions
        self._limits = limits
        self._leaving = leaving
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
        self._results_by_job: dict[str, list[dict[str, Any]]] = {}
        self.mixed_texts = 0
        """Texts that engines of several software versions have generated."""
        self._refused_ids: set[str] = set()
        self._calls: list[SentCall] = []
        self.notices = 0
        """Fronts and targets where the front passed on that it leaves."""

    async def run(self) -> None:
        """Run the soak.

        Raises ``GuaranteeViolationError`` with the last events on a failure.
        """
        try:
            await self._site.start(engines=0, services=0)
            await self._start_targets()
            await self._site.wait(self._site.all_serve, "fronts with targets")
            injector = Injector(self._site, self._proxies, self._random, self._log)
            deadline = asyncio.get_running_loop().time() + self._seconds
            async with asyncio.TaskGroup() as group:
                if self._losses:
                    group.create_task(self._lose_members(deadline))
                    deadline += SECONDS_AFTER_LOSSES
                else:
                    for _ in range(CONCURRENT_FAULTS):
                        group.create_task(self._inject(injector, deadline))
                for number in range(2):
                    group.create_task(self._train(f"t{number}", deadline))
                for _ in range(12 if self._leaving else 3):
                    group.create_task(self._call(deadline))
                if self._limits:
                    group.create_task(self._name_limits(deadline))
                if self._leaving:
                    group.create_task(self._replace_targets(deadline))
                if self._versions:
                    group.create_task(self._change_software(deadline))
            await self._check_final_state(injector)
        except* Exception as failures:
            course = "\n".join(self.events[-60:])
            raise GuaranteeViolationError(
                f"seed {self.seed}: {failures.exceptions}\n{course}"
            ) from failures
        finally:
            if self._keep is not None:
                self._keep_logs(self._keep)
            for proxy in self._proxies:
                await proxy.stop()
            await self._site.close()

    def _keep_logs(self, folder: Path) -> None:
        """Keep the logs of all processes and the events of the run."""
        folder = folder / f"seed-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for process in [*self._site.controls, *self._site.fronts]:
            shutil.copy(process.folder / "log", folder / f"{process.name}.log")
        (folder / "course").write_text("\n".join(self.events))

    async def _start_targets(self) -> None:
        site = self._site
        for number in range(4):
            target = site.new_target(number, engine=number < 2, events=EVENTS_PER_RUN)
            if self._versions:
                target.software = SOFTWARE_VERSIONS[number % 2]
            await self._add_target(target)

    async def _add_target(self, target: StandInTarget) -> None:
        """Start a target behind a proxy of its own."""
        await target.listen()
        proxy = FaultProxy(target.own_address)
        await proxy.start()
        target.address = proxy.address
        target.event_seconds = 0.05
        self._proxies.append(proxy)
        self._site.targets.append(target)
        target.announce()

    def _log(self, text: str) -> None:
        line = f"{time.monotonic() - self._began:7.2f} {text}"
        self.events.append(line)
        if self._verbose:
            print(line, flush=True)

    async def _inject(self, injector: Injector, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSE_RANGE_SECONDS))
            await injector.inject(injector.draw())

    async def _lose_members(self, deadline: float) -> None:
        losses = Losses(self._site, self._random, self._log)
        await losses.run(deadline)
        await losses.end()

    async def _name_limits(self, deadline: float) -> None:
        """Let services name request limits from time to time.

        A random source of its own leaves the faults of a seed as they are.
        """
        random_source = random.Random(f"limits {self.seed}")
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            for target in self._site.services:
                target.request_limit = random_source.choice((None, 1.0, 3.0, 10.0))
            self._log(f"limits {[t.request_limit for t in self._site.services]}")
            await asyncio.sleep(random_source.uniform(1.0, 4.0))
        for target in self._site.services:
            target.request_limit = None

    async def _replace_targets(self, deadline: float) -> None:
        """Let targets leave and others follow them at their addresses.

        Half of them report it to the leader as well.  Some of those that
        follow have the same id.  At times all services leave together.
        """
        random_source = random.Random(f"leaving {self.seed}")
        loop = asyncio.get_running_loop()
        present = list(self._site.targets)
        while loop.time() < deadline:
            await asyncio.sleep(random_source.uniform(0.2, 1.5))
            leaving = [random_source.choice(present)]
            if random_source.random() < 0.2:
                leaving = [target for target in present if not target.models]
            reports: list[asyncio.Task[None]] = []
            for target in leaving:
                target.leaving = ("1",)
                if random_source.random() < 0.5:
                    reports.append(asyncio.create_task(target.drain()))
                self._log(f"{target.id} leaves, reports it: {target.draining}")
            await asyncio.sleep(random_source.uniform(1.5, 4.0))
            for report in reports:
                report.cancel()
            for target in leaving:
                follower = await self._follow(
                    target, same_id=random_source.random() < 0.4
                )
                present[present.index(target)] = follower

    async def _change_software(self, deadline: float) -> None:
        """Replace engines by others of another software version.

        Most start beside the engine that they replace, which then drains or
        ends at once.  The others follow at its address, some under its id.
        All break off their streams from time to time.
        """
        random_source = random.Random(f"versions {self.seed}")
        loop = asyncio.get_running_loop()
        present = self._site.engines
        while loop.time() < deadline:
            await asyncio.sleep(random_source.uniform(0.3, 1.5))
            for engine in present:
                engine.breaks_after = random_source.choice((None, 4, 8, 15))
            old = random_source.choice(present)
            others = [v for v in SOFTWARE_VERSIONS if v != old.software]
            software = random_source.choice(others)
            match random_source.choice(("drain", "end", "follow", "restart")):
                case "drain" | "end" as way:
                    number = self._site.targets.index(old)
                    new = self._site.new_target(
                        number, engine=True, events=EVENTS_PER_RUN, software=software
                    )
                    await self._add_target(new)
                    self._log(f"{new.id} of {software} beside {old.id}, then {way}")
                    await asyncio.sleep(random_source.uniform(0.5, 2.0))
                    if way == "drain":
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(old.drain(), 3.0)
                        await asyncio.sleep(random_source.uniform(0.2, 2.0))
                    await old.stop()
                case way:
                    new = await self._follow(
                        old, same_id=way == "restart", software=software
                    )
            present[present.index(old)] = new

    async def _follow(
        self, target: StandInTarget, *, same_id: bool, software: str = SOFTWARE
    ) -> StandInTarget:
        """Stop a target and start another one at its address."""
        await target.stop()
        number = self._site.targets.index(target)
        follower = self._site.new_target(
            number,
            engine=bool(target.models),
            events=EVENTS_PER_RUN,
            software=software,
        )
        follower.host, follower.zone = target.host, target.zone
        if same_id:
            follower.id = target.id
        follower.address = target.address
        follower.event_seconds = target.event_seconds
        await follower.listen(int(target.own_address.rpartition(":")[2]))
        self._site.targets.append(follower)
        follower.announce()
        self._log(f"{follower.id} follows {target.id}")
        return follower

    async def _train(self, name: str, deadline: float) -> None:
        """Submit one job after another and read each to its end."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < deadline:
            number += 1
            job = f"{name}-{self.seed}-{number}"
            await self._site.submit(job, ITEMS_PER_JOB)
            results = await self._site.results(job, ITEMS_PER_JOB)
            self._check_results(job, results)
            self._results_by_job[job] = results
            self.jobs += 1
            self._log(f"{job} read")

    def _check_results(self, job: str, results: list[dict[str, Any]]) -> None:
        expected = {f"{job}-{number}" for number in range(ITEMS_PER_JOB)}
        found = [result["id"] for result in results]
        if sorted(found) != sorted(expected):
            raise GuaranteeViolationError(f"{job} lists {found}")
        mixed = [r for r in results if len(software_of(r["text"])) > 1]
        self.mixed_texts += len(mixed)
        if mixed:
            raise GuaranteeViolationError(f"{job}: texts of two versions: {mixed}")
        for result in results:
            whole = result["text"] in WHOLE_TEXTS and result["versions"] == [1]
            scored = result["score"] == f"stamp-r-{result['id']}"
            if result["state"] != "complete" or not whole or not scored:
                raise GuaranteeViolationError(f"{job}: {result}")

    async def _call(self, deadline: float) -> None:
        """Send random calls, half of them to a path that may run only once."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            path = self._random.choice(("/once/", "/quotes/"))
            front = self._random.choice(self._site.fronts)
            request_id = self._site.marker()
            sent_at = time.time()
            status, body, headers = await self._site.ask(
                f"{path}{request_id}", front, request_id=request_id
            )
            self.statuses[status] += 1
            if status in NOT_RUN_STATUSES:
                self._refused_ids.add(request_id)
            target = body.partition(b" ")[0].decode() if status == 200 else ""
            self._calls.append(
                SentCall(request_id, front.name, target, sent_at, time.time())
            )
            if status == 200 and (
                not body.endswith(request_id.encode())
                or headers["X-Goldcrestyard-Server-Stamp"] != f"stamp-{request_id}"
            ):
                raise GuaranteeViolationError(f"{request_id} got {body!r}")
            if status in (401, 403, 404):
                raise GuaranteeViolationError(f"{request_id} was denied: {status}")
            await asyncio.sleep(self._random.uniform(0.02, 0.2))

    async def _check_final_state(self, injector: Injector) -> None:
        """Check the runs of the targets and the usage reports, at the end."""
        await asyncio.sleep(1.0)
        runs = [run for target in self._site.targets for run in target.runs]
        once = collections.Counter(
            run.id for run in runs if run.path.startswith("/once/")
        )
        repeated = [request for request, count in once.items() if count > 1]
        if repeated:
            raise GuaranteeViolationError(f"ran more than once: {repeated}")
        ran = {run.id for run in runs}
        run_though_refused = sorted(self._refused_ids & ran)
        if run_though_refused:
            raise GuaranteeViolationError(
                f"refused as not run, but ran: {run_though_refused}"
            )
        foreign = {run.organisation for run in runs} - {ORGANISATION, None}
        if foreign:
            raise GuaranteeViolationError(f"ran for {foreign}")
        by_window: dict[int, set[str]] = {}
        for _, window, counts in self._site.reports:
            by_window.setdefault(window, set()).add(str(sorted(counts.items())))
        conflicting_windows = {
            window for window, sums in by_window.items() if len(sums) > 1
        }
        if conflicting_windows:
            raise GuaranteeViolationError(
                f"windows reported with two sums: {conflicting_windows}"
            )
        self._check_leaving(injector)
        await self._check_configuration(injector)
        for job, results in self._results_by_job.items():
            if await self._site.results(job, ITEMS_PER_JOB) != results:
                raise GuaranteeViolationError(f"{job} lists other results than before")

    def _check_leaving(self, injector: Injector) -> None:
        """Check that fronts avoid the targets whose notice they passed on.

        Calls after a restart or a freeze of the front do not count.
        """
        for target in self._site.targets:
            runs_by_id = {run.id: run for run in target.runs}
            heard_at_by_front: dict[str, float] = {}
            for call in sorted(self._calls, key=lambda call: call.answered_at):
                run = runs_by_id.get(call.id)
                if run is not None and run.said_leaving and call.target == target.id:
                    heard_at_by_front.setdefault(call.front, call.answered_at)
            self.notices += len(heard_at_by_front)
            for call in self._calls:
                heard_at = heard_at_by_front.get(call.front)
                if (
                    call.id in runs_by_id
                    and heard_at is not None
                    and call.sent_at > heard_at + LEAVING_SECONDS
                    and not any(
                        name == call.front and heard_at <= at <= call.sent_at
                        for name, at in injector.disturbed
                    )
                ):
                    raise GuaranteeViolationError(
                        f"{call} reached {target.id}, known to leave at {heard_at}"
                    )

    async def _check_configuration(self, injector: Injector) -> None:
        leader = await self._site.leader()
        url = f"http://{leader.address('ctl')}/v1/config"
        status, body, _ = await self._site.call("GET", url)
        marker = f'"version": {injector.version},'.encode()
        if status == 200 and marker not in body:
            raise GuaranteeViolationError(
                f"configuration is older than {injector.version}"
            )


async def run_seed(
    seed: int,
    seconds: float,
    *,
    verbose: bool = False,
    keep: Path | None = None,
    limits: bool = False,
    leaving: bool = False,
    versions: bool = False,
    losses: bool = False,
) -> Soak:
    """Run the soak with a seed and return it with its counts."""
    soak = Soak(
        seed,
        seconds,
        verbose=verbose,
        keep=keep,
        limits=limits,
        leaving=leaving,
        versions=versions,
        losses=losses,
    )
    with contextlib.suppress(asyncio.CancelledError):
        await soak.run()
    return soak
