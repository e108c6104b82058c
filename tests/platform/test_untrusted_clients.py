"""Crowds of clients that nobody controls, at real processes.

They guard against a process that runs out of memory or descriptors through
what arrives before a request.  The limits are lowered, so that a small crowd
is enough.  ``tests.__main__`` runs this module alone.
"""

import asyncio
import contextlib
import os
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

import aiohttp
from parameterized import parameterized

from demo.deployment import Deployment
from tests.fakes.deployments import two_regions
from tests.fakes.platform_site import Process, Site

RAM_MB_BY_ROLE = {"control": 100, "front": 100}
DAEMON_RAM_MB = 110
MAX_FDS = 500
"""Lowered limits of the processes, stated in their settings."""

MEGABYTE = 1_000_000
CROWD = 150
CROWDS = 3
LARGE_HEAD = b"GET / HTTP/1.1\r\nx: " + b"a" * 270_000 + b"\r\n\r\n"
HEADER_LINES = b"a: b\r\n" * 2_000
EMPTY_LINES = b"\r\n" * 8_192
PART_OF_HEAD = b"GET / HTTP/1.1\r\nx: a"
MAX_SENT_BYTES = 2_000_000
"""How much of an endless head or of empty lines one connection sends."""

IDLE_CROWD = 600
IDLE_SECONDS = 1.0
CLIENT_SECONDS = 10.0
"""Time after which a client ends without having been answered."""


class Kind(Enum):
    """What each connection of a crowd sends."""

    LARGE_HEAD = auto()
    ENDLESS_HEAD = auto()
    EMPTY_LINES = auto()
    IDLE = auto()
    HALF_HEAD = auto()


@dataclass(frozen=True)
class Crowd:
    """Crowds of one kind that come one after another."""

    kind: Kind
    connections: int = CROWD
    crowds: int = 1


CASES = [
    Crowd(Kind.LARGE_HEAD, crowds=CROWDS),
    Crowd(Kind.ENDLESS_HEAD, crowds=CROWDS),
    Crowd(Kind.EMPTY_LINES),
    Crowd(Kind.IDLE, connections=IDLE_CROWD),
    Crowd(Kind.HALF_HEAD, connections=IDLE_CROWD),
]
TABLE = [(case.kind.name.lower(), case) for case in CASES]


@dataclass
class Peak:
    """The most that a process used, and whether it still runs."""

    process: asyncio.subprocess.Process
    descriptors: int = 0

    @property
    def resident_bytes(self) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    async def watch(self) -> None:
        """Count open descriptors until cancelled."""
        folder = f"/proc/{self.process.pid}/fd"
        while True:
            with contextlib.suppress(OSError):
                self.descriptors = max(self.descriptors, len(os.listdir(folder)))
            await asyncio.sleep(0.02)


class UntrustedClientTests(unittest.IsolatedAsyncioTestCase):
    """The four listeners of the platform's processes, one after another."""

    @parameterized.expand(TABLE)
    async def test_platform_stays_within_its_limits(self, _: str, case: Crowd) -> None:
        site = Site(fronts=1)
        self.addAsyncCleanup(site.close)
        site.limits_by_role = {
            role: {"ram_mb": ram_mb, "max_fds": MAX_FDS}
            for role, ram_mb in RAM_MB_BY_ROLE.items()
        }
        await site.start(engines=0, services=1)
        front, control = site.fronts[0], site.controls[0]
        for process, listener, ask in (
            (front, "front", lambda: _status(site, front, "front", "")),
            (front, "ready", lambda: _status(site, front, "ready", "/v1/readyz")),
            (control, "ctl", lambda: _status(site, control, "ctl", "/v1/config")),
            (
                control,
                "dir",
                lambda: _status(site, control, "dir", "/v1/resolve?name=h.example"),
            ),
        ):
            assert process.running is not None
            with self.subTest(listener=listener):
                await self._withstand(
                    process.running,
                    process.address(listener),
                    RAM_MB_BY_ROLE[process.role],
                    case,
                    ask,
                )

    async def test_daemon_stays_within_its_limits(self) -> None:
        deployment = Deployment(two_regions()[:1])
        self.addAsyncCleanup(deployment.stop)
        deployment.overrides_by_section["memory"] = {
            "process_bytes": DAEMON_RAM_MB * MEGABYTE
        }
        await deployment.start()
        instance = deployment.instances[0]
        assert instance.process is not None
        for name, address in (("public", instance.public), ("admin", instance.admin)):

            async def ask(url: str = f"http://{address}/healthz") -> int:
                async with aiohttp.ClientSession() as session, session.get(url) as got:
                    return got.status

            with self.subTest(listener=name):
                await self._withstand(
                    instance.process,
                    address,
                    DAEMON_RAM_MB,
                    Crowd(Kind.LARGE_HEAD, crowds=CROWDS),
                    ask,
                )

    async def _withstand(
        self,
        process: asyncio.subprocess.Process,
        address: str,
        ram_mb: int,
        case: Crowd,
        ask: Callable[[], Awaitable[int]],
    ) -> None:
        """Send the crowds, then check the process and one request."""
        peak = Peak(process)
        watch = asyncio.create_task(peak.watch())
        for _ in range(case.crowds):
            await asyncio.gather(
                *(_client(address, case.kind) for _ in range(case.connections))
            )
        watch.cancel()
        self.assertIsNone(process.returncode)
        figures = f"{peak.resident_bytes / MEGABYTE:.0f} MB, {peak.descriptors} fds"
        print(f"{self.id().rpartition('.')[2]} {address}: {figures}", flush=True)
        self.assertLess(peak.resident_bytes, ram_mb * MEGABYTE, figures)
        self.assertLess(peak.descriptors, MAX_FDS, figures)
        self.assertEqual(await _answer(ask), 200)


async def _status(site: Site, process: Process, listener: str, path: str) -> int:
    """Send one ordinary request to a listener and return the status."""
    if listener == "front":
        return (await site.ask("/quotes/0", process))[0]
    url = f"http://{process.address(listener)}{path}"
    return (await site.call("GET", url))[0]


async def _answer(ask: Callable[[], Awaitable[int]]) -> int:
    """Ask until the answer is 200; return the last status."""
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(30.0):
            while status != 200:
                with contextlib.suppress(aiohttp.ClientError):
                    status = await ask()
                await asyncio.sleep(0.1)
    return status


async def _client(address: str, kind: Kind) -> None:
    """Open one connection, send what the kind says, read until its end."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CLIENT_SECONDS):
            reader, writer = await asyncio.open_connection(
                host, int(port), family=socket.AF_INET
            )
            try:
                await _send(writer, kind)
                await reader.read()
            finally:
                writer.transport.abort()


async def _send(writer: asyncio.StreamWriter, kind: Kind) -> None:
    match kind:
        case Kind.LARGE_HEAD:
            writer.write(LARGE_HEAD)
        case Kind.ENDLESS_HEAD:
            writer.write(b"GET / HTTP/1.1\r\n")
            await _repeat(writer, HEADER_LINES)
        case Kind.EMPTY_LINES:
            await _repeat(writer, EMPTY_LINES)
        case Kind.IDLE:
            await asyncio.sleep(IDLE_SECONDS)
            writer.transport.abort()
        case Kind.HALF_HEAD:
            writer.write(PART_OF_HEAD)
            await asyncio.sleep(IDLE_SECONDS)
            writer.transport.abort()


async def _repeat(writer: asyncio.StreamWriter, data: bytes) -> None:
    for _ in range(MAX_SENT_BYTES // len(data)):
        writer.write(data)
        await writer.drain()
