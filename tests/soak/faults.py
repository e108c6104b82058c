"""Faults that are injected from outside the processes."""

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import partial
from typing import Any

from tests.fakes.platform_site import Process, Site, configuration
from tests.fakes.proxy import FaultProxy

Log = Callable[[str], None]

LOG_TIME = "%Y-%m-%dT%H:%M:%S.%fZ"
"""How the processes write times into their logs."""


@dataclass(frozen=True)
class Kill:
    """A process is killed and started again, perhaps with an empty disk."""

    process: Process
    wipe: bool
    down_seconds: float


@dataclass(frozen=True)
class Pause:
    """A process stands still."""

    process: Process
    seconds: float


@dataclass(frozen=True)
class Stop:
    """A front is stopped as planned and started again."""

    process: Process


@dataclass(frozen=True)
class Disturb:
    """The way to a target is disturbed by its proxy."""

    proxy: FaultProxy
    how: str
    seconds: float


@dataclass(frozen=True)
class Reconfigure:
    """The operator puts the next version."""


Fault = Kill | Pause | Stop | Disturb | Reconfigure

WAYS = ("delay", "reset", "one_way", "silent", "silent_open")


class Injector:
    """Draws faults and carries them out; only one disk is lost at a time."""

    def __init__(
        self,
        site: Site,
        proxies: list[FaultProxy],
        random_source: random.Random,
        log: Log,
    ) -> None:
        self._site = site
        self._proxies = proxies
        self._random = random_source
        self._log = log
        self._control = asyncio.Lock()
        self._fronts = asyncio.Lock()
        self.version = 1

    def draw(self) -> Fault:
        """Return the next fault."""
        random_source, site = self._random, self._site
        seconds = random_source.uniform(0.2, 3.0)
        match random_source.choice(
            ("kill", "wipe", "pause", "stop", "target", "config")
        ):
            case "kill":
                return Kill(
                    random_source.choice([*site.controls, *site.fronts]), False, seconds
                )
            case "wipe":
                return Kill(random_source.choice(site.controls), True, seconds / 3)
            case "pause":
                return Pause(
                    random_source.choice([*site.controls, *site.fronts]), seconds
                )
            case "stop":
                return Stop(random_source.choice(site.fronts))
            case "target":
                proxy = random_source.choice(self._proxies)
                return Disturb(proxy, random_source.choice(WAYS), seconds)
            case _:
                return Reconfigure()

    async def inject(self, fault: Fault) -> None:
        """Carry a fault out and undo it."""
        match fault:
            case Kill(process=process) | Pause(process=process) | Stop(process=process):
                is_control = process.role == "control"
                lock = self._control if is_control else self._fronts
                async with lock:
                    self._log(str(_describe(fault)))
                    since = datetime.now(UTC).strftime(LOG_TIME)
                    await self._trouble(fault)
                    if is_control:
                        await self._all_members_back(fault, since)
            case Disturb():
                self._log(str(_describe(fault)))
                await self._disturb(fault)
            case Reconfigure():
                self.version += 1
                self._log(f"configuration {self.version}")
                await self._site.put_configuration(configuration(self.version))

    async def _trouble(self, fault: Kill | Pause | Stop) -> None:
        process = fault.process
        match fault:
            case Kill(wipe=wipe, down_seconds=seconds):
                await process.kill(wipe=wipe)
                await asyncio.sleep(seconds)
                await process.start()
            case Pause(seconds=seconds):
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                process.signal(signal.SIGCONT)
            case Stop():
                process.signal(signal.SIGTERM)
                assert process.running is not None
                await process.running.wait()
                await process.start()

    async def _all_members_back(self, fault: Fault, since: str) -> None:
        """Wait until the loss is repaired, before the next one.

        The site bears the loss of one disk.  A process may take seconds to
        start on a busy machine, so a wiped one has to be heard of first.
        """
        if isinstance(fault, Kill) and fault.wipe:
            await self._site.wait(
                partial(self._has_vote, fault.process, since), "the repair of the log"
            )
        await self._site.leader()
        # A member that was counted out asks to join within a second.
        await asyncio.sleep(2.0)
        await self._site.wait(self._is_settled, "the repair of the log")

    async def _has_vote(self, process: Process, since: str) -> bool:
        step = f"Promote(instance='{process.host}:"
        return any(
            entry["step"].startswith(step)
            and entry["result"].startswith("Applied")
            and entry["timestamp"] > since
            for entry in self._member_changes()
        )

    async def _is_settled(self) -> bool:
        changes = self._member_changes()
        last = max(changes, key=lambda entry: entry["timestamp"], default=None)
        return last is None or "Promote" in last["step"]

    def _member_changes(self) -> list[dict[str, Any]]:
        return [
            entry
            for control in self._site.controls
            for entry in control.log_lines()
            if entry.get("event") == "membership change finished"
        ]

    async def _disturb(self, fault: Disturb) -> None:
        proxy = fault.proxy
        actions: dict[str, Callable[[], None]] = {
            "delay": lambda: proxy.delay(0.3),
            "reset": proxy.cut,
            "one_way": proxy.lose_answers,
            "silent": proxy.silence,
            "silent_open": proxy.silence_open,
        }
        actions[fault.how]()
        await asyncio.sleep(fault.seconds)
        proxy.heal()


def _describe(fault: Fault) -> str:
    match fault:
        case Kill(process=process, wipe=wipe, down_seconds=seconds):
            return f"kill {process.name} wipe={wipe} down {seconds:.1f} s"
        case Pause(process=process, seconds=seconds):
            return f"pause {process.name} {seconds:.1f} s"
        case Stop(process=process):
            return f"stop {process.name}"
        case Disturb(how=how, seconds=seconds):
            return f"disturb a target: {how} {seconds:.1f} s"
        case Reconfigure():
            return "reconfigure"
