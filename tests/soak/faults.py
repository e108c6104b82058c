"""Faults that the soak injects from outside the processes.

``Injector.draw`` chooses a fault from the seeded random source, and
``Injector.inject`` carries it out, undoes it and waits for the recovery where
the next fault requires that.
"""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import partial
from typing import Any

from tests.fakes.platform_site import (
    VOTE_STEPS,
    Process,
    Site,
    configuration,
    gives_vote,
)
from tests.fakes.proxy import FaultProxy

Log = Callable[[str], None]

LOG_TIME = "%Y-%m-%dT%H:%M:%S.%fZ"
"""Format of the timestamps in the logs of the processes."""


@dataclass(frozen=True)
class Kill:
    """Kills a process and restarts it, with an empty disk if ``wipe``."""

    process: Process
    wipe: bool
    down_seconds: float


@dataclass(frozen=True)
class Pause:
    """Suspends a process and resumes it."""

    process: Process
    seconds: float


@dataclass(frozen=True)
class Stop:
    """Stops a front by SIGTERM, as in a planned stop, and restarts it."""

    process: Process


@dataclass(frozen=True)
class NetworkFault:
    """Disturbs the connections to a target by means of its proxy.

    ``mode`` is one of ``NETWORK_FAULT_MODES``.
    """

    proxy: FaultProxy
    mode: str
    seconds: float


@dataclass(frozen=True)
class Reconfigure:
    """Publishes the next version of the configuration, as an operator."""


Fault = Kill | Pause | Stop | NetworkFault | Reconfigure

NETWORK_FAULT_MODES = ("delay", "reset", "one_way", "silent", "silent_open")


class Injector:
    """Draws faults at random and carries them out.

    Control members have one fault at a time, since the site survives the loss
    of only one disk; fronts have one at a time, too.
    """

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
        self._control_lock = asyncio.Lock()
        self._fronts_lock = asyncio.Lock()
        self.version = 1
        self.disturbed: list[tuple[str, float]] = []
        """Names of disturbed processes with the Unix time in seconds at the
        end of the disturbance."""

    def draw(self) -> Fault:
        """Return the next fault from the random source."""
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
                return NetworkFault(
                    proxy, random_source.choice(NETWORK_FAULT_MODES), seconds
                )
            case _:
                return Reconfigure()

    async def inject(self, fault: Fault) -> None:
        """Carry a fault out, undo it and wait until the members recover."""
        match fault:
            case Kill(process=process) | Pause(process=process) | Stop(process=process):
                is_control = process.role == "control"
                lock = self._control_lock if is_control else self._fronts_lock
                async with lock:
                    self._log(str(_describe(fault)))
                    since = datetime.now(UTC).strftime(LOG_TIME)
                    await self._inject_process_fault(fault)
                    self.disturbed.append((process.name, time.time()))
                    if is_control:
                        await self._wait_for_recovery(fault, since)
            case NetworkFault():
                self._log(str(_describe(fault)))
                await self._inject_network_fault(fault)
            case Reconfigure():
                self.version += 1
                self._log(f"configuration {self.version}")
                await self._site.put_configuration(configuration(self.version))

    async def _inject_process_fault(self, fault: Kill | Pause | Stop) -> None:
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

    async def _wait_for_recovery(self, fault: Fault, since: str) -> None:
        """Wait until all control members are back, before the next fault.

        The site survives the loss of only one disk.  A wiped member may take
        seconds to start on a busy machine, so wait for its vote first.
        """
        if isinstance(fault, Kill) and fault.wipe:
            await self._site.wait(
                partial(self._got_its_vote, fault.process, since),
                "the repair of the log",
            )
        await self._site.leader()
        # A member that was removed asks to join again within a second.
        await asyncio.sleep(2.0)
        await self._site.wait(self._is_settled, "the repair of the log")

    async def _got_its_vote(self, process: Process, since: str) -> bool:
        return any(
            gives_vote(entry["step"], process.host)
            and entry["result"].startswith("Applied")
            and entry["timestamp"] > since
            for entry in self._member_changes()
        )

    async def _is_settled(self) -> bool:
        changes = self._member_changes()
        last = max(changes, key=lambda entry: entry["timestamp"], default=None)
        return last is None or last["step"].startswith(VOTE_STEPS)

    def _member_changes(self) -> list[dict[str, Any]]:
        return [
            entry
            for control in self._site.controls
            for entry in control.log_lines()
            if entry.get("event") == "membership change finished"
        ]

    async def _inject_network_fault(self, fault: NetworkFault) -> None:
        proxy = fault.proxy
        actions: dict[str, Callable[[], None]] = {
            "delay": lambda: proxy.delay(0.3),
            "reset": proxy.cut,
            "one_way": proxy.lose_answers,
            "silent": proxy.silence,
            "silent_open": proxy.silence_open,
        }
        actions[fault.mode]()
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
        case NetworkFault(mode=mode, seconds=seconds):
            return f"network fault at a target: {mode} {seconds:.1f} s"
        case Reconfigure():
            return "reconfigure"
