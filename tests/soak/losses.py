"""Losses of control members as often as the fault budget allows, at a site.

Unlike the faults of ``tests.soak.faults``, the next loss does not wait for the
cluster's repair: it comes when the machine before has had its time to catch
up.  A final fault follows, as at the end of the users' days.
"""

import asyncio
import random
import signal
from dataclasses import dataclass
from enum import Enum, auto

from tests.fakes.platform_site import Process, Site
from tests.soak.faults import Kill, Log, Pause

CATCH_UP_SECONDS = 4.8
"""Time after its start from which a machine no longer counts as lost."""


class Extent(Enum):
    """Which other processes are killed as the last disk is lost."""

    NONE = auto()
    CONTROL = auto()
    ALL = auto()


@dataclass(frozen=True)
class FinalFault:
    """Loses the disk of a control member while other processes are killed."""

    wiped: Process
    extent: Extent
    down_seconds: float


class Losses:
    """Loses control members one after another, then carries the end out."""

    def __init__(self, site: Site, random_source: random.Random, log: Log) -> None:
        self._site = site
        self._random = random_source
        self._log = log

    async def run(self, deadline: float) -> None:
        """Lose one member after another until the deadline."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await self._lose(await self._draw())
            await asyncio.sleep(CATCH_UP_SECONDS + self._random.uniform(0.0, 1.0))

    async def end(self) -> None:
        """Carry out the final fault, while the fronts are in use."""
        fault = FinalFault(
            await self._choose(),
            self._random.choice(list(Extent)),
            self._random.uniform(0.2, 1.5),
        )
        self._log(f"final fault: {fault.wiped.name} wiped, {fault.extent.name} killed")
        others = [p for p in self._site.controls if p is not fault.wiped]
        match fault.extent:
            case Extent.NONE:
                killed = []
            case Extent.CONTROL:
                killed = others
            case Extent.ALL:
                killed = [*others, *self._site.fronts]
        await asyncio.gather(
            fault.wiped.kill(wipe=True), *(process.kill() for process in killed)
        )
        await asyncio.sleep(fault.down_seconds)
        await asyncio.gather(*(process.start() for process in (fault.wiped, *killed)))

    async def _draw(self) -> Kill | Pause:
        process = await self._choose()
        seconds = self._random.uniform(0.2, 3.0)
        match self._random.choice(("wipe", "kill", "pause")):
            case "wipe":
                return Kill(process, True, seconds / 3)
            case "kill":
                return Kill(process, False, seconds)
            case _:
                return Pause(process, seconds)

    async def _choose(self) -> Process:
        """Return the leader half of the time, else any control member."""
        if self._random.random() < 0.5:
            return await self._site.leader()
        return self._random.choice(self._site.controls)

    async def _lose(self, fault: Kill | Pause) -> None:
        process = fault.process
        match fault:
            case Kill(wipe=wipe, down_seconds=seconds):
                self._log(f"kill {process.name} wipe={wipe} down {seconds:.1f} s")
                await process.kill(wipe=wipe)
                await asyncio.sleep(seconds)
                await process.start()
            case Pause(seconds=seconds):
                self._log(f"pause {process.name} {seconds:.1f} s")
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                process.signal(signal.SIGCONT)
