"""Crowds of clients that send bodies of legal size, at real processes.

They guard against a process that runs out of memory or descriptors through
request bodies, and against a crowd that keeps ordinary large bodies out for
as long as it likes.  The limits are lowered, so that a small crowd is enough.
``tests.__main__`` runs this module alone.
"""

import asyncio
import base64
import contextlib
import functools
import json
import os
import socket
import unittest
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

import aiohttp
from parameterized import parameterized

from demo.deployment import Deployment
from tests.fakes.deployments import two_regions
from tests.fakes.platform_site import (
    HOST,
    KEY,
    MODEL,
    Process,
    Site,
    configuration,
)

RAM_MB_BY_ROLE = {"control": 100, "front": 100}
DAEMON_RAM_MB = 110
MAX_FDS = 500
MAX_BODY_BYTES = 4_000_000
"""Lowered limits of the processes, stated in their settings."""

MEGABYTE = 1_000_000
LARGE_BYTES_BY_LISTENER = {"ctl": 700_000}
LARGE_BYTES = 3_100_000
"""Size of a large body of a crowd: two at ``ctl`` and three elsewhere leave
hardly any of the room for large ones.  Every second body of a crowd has
``FILLING_BYTES``, so that none is left."""

PIECE_BYTES = 65_536
"""How much of a body a client writes at once."""

FILLING_BYTES = 100_000
SMALL_BYTES = 63_000
ORDINARY_BYTES = 200_000
DRIP_SECONDS = 0.5
COMES_AGAIN_SECONDS = 1.0
"""Pause of a client of a crowd that was refused or closed."""

HOLD_SECONDS = 3.0
"""How long each crowd holds its connections before the requests are sent."""

ANSWER_SECONDS = 40.0
"""Longest wait for an answer.  The limits of the processes after which a
body is given up are well below it."""

GROWN_BYTES = 200 * MEGABYTE


class Kind(Enum):
    """What a client of a crowd sends."""

    STOPS_SHORT = auto()
    """A body of known length without its last byte."""
    DRIPS = auto()
    """The same, but for the last bytes that come singly."""
    SMALL_DRIPS = auto()
    """The same, small enough for the share of the room for small bodies."""
    CHUNKS_OF_1 = auto()
    CHUNKS_OF_10 = auto()
    CHUNKS_OF_64K = auto()
    """A body in chunks, without its end."""
    WHOLE = auto()
    """A whole body that means nothing."""
    MANY_VALUES = auto()
    """A whole document of many small values, which take several times their
    bytes once decoded."""
    MANY_VALUES_STOP = auto()
    """The same without its last byte."""
    LARGE_JOB = auto()
    """A whole document of few large values."""
    COMPRESSED = auto()
    """A small body that is large once decompressed."""


@dataclass(frozen=True)
class Crowd:
    """Clients that come at once; each comes again after it was refused."""

    name: str
    kinds: tuple[Kind, ...]
    connections: int = 30
    crowds: int = 1
    """Number of crowds that come one after another."""


CASES = [
    Crowd("stops_short", (Kind.STOPS_SHORT,)),
    Crowd("drips", (Kind.DRIPS,)),
    Crowd("small_drips", (Kind.SMALL_DRIPS,), connections=180),
    Crowd("chunks_of_1", (Kind.CHUNKS_OF_1,)),
    Crowd("chunks_of_10", (Kind.CHUNKS_OF_10,)),
    Crowd("chunks_of_64k", (Kind.CHUNKS_OF_64K,)),
    Crowd("whole", (Kind.WHOLE,)),
    Crowd("many_values", (Kind.MANY_VALUES,), connections=8),
    Crowd("many_values_stop", (Kind.MANY_VALUES_STOP,)),
    Crowd("large_jobs", (Kind.LARGE_JOB,), connections=8),
    Crowd("compressed", (Kind.COMPRESSED,), connections=100),
    Crowd("several_kinds", tuple(Kind)),
    Crowd("again_and_again", (Kind.STOPS_SHORT, Kind.CHUNKS_OF_64K), crowds=6),
]
NAMES_BY_LISTENER = {
    "front": [case.name for case in CASES],
    "ctl": [case.name for case in CASES],
    "public": [
        "stops_short",
        "drips",
        "chunks_of_10",
        "whole",
        "many_values",
        "compressed",
        "several_kinds",
        "again_and_again",
    ],
    "admin": ["drips", "whole", "compressed"],
    "ready": ["drips", "chunks_of_1", "several_kinds"],
    "dir": ["drips", "chunks_of_1", "several_kinds"],
}
"""Cases at each listener.  ``ready`` and ``dir`` read no body, and ``admin``
reads them as ``public`` does."""


def table(listener: str) -> list[tuple[str, Crowd]]:
    """Return the cases of a listener."""
    names = NAMES_BY_LISTENER[listener]
    return [(case.name, case) for case in CASES if case.name in names]


@dataclass(frozen=True)
class Door:
    """A listener and how its clients address it."""

    listener: str
    process: asyncio.subprocess.Process
    address: str
    ram_mb: int
    heads: tuple[str, ...]
    """Request line and headers; the clients of a crowd take them in turn."""
    ask: Callable[[int], Awaitable[int]]
    """Sends one ordinary request with a body of about so many bytes, or none,
    and returns the status."""
    served: int = 200
    """Status of an ordinary request with a body that was read."""

    @property
    def large_bytes(self) -> int:
        return LARGE_BYTES_BY_LISTENER.get(self.listener, LARGE_BYTES)


class UntrustedBodyTests(unittest.IsolatedAsyncioTestCase):
    """One listener and one crowd each."""

    async def _test_platform(self, listener: str, case: Crowd) -> None:
        site = Site(fronts=1)
        self.addAsyncCleanup(site.close)
        site.limits_by_role = {
            role: {"ram_mb": ram_mb, "max_fds": MAX_FDS}
            for role, ram_mb in RAM_MB_BY_ROLE.items()
        }
        await site.start(engines=0, services=1)
        await site.put_configuration(
            {**configuration(2), "limits": {"max_body_bytes": MAX_BODY_BYTES}}
        )
        leader = await site.leader()
        process = site.fronts[0] if listener in ("front", "ready") else leader
        assert process.running is not None
        await self._withstand(
            Door(
                listener,
                process.running,
                process.address(listener),
                RAM_MB_BY_ROLE[process.role],
                _HEADS_BY_LISTENER[listener],
                lambda size: _ask_platform(site, process, listener, size),
            ),
            case,
        )

    @parameterized.expand(table("front"))
    async def test_front(self, _: str, case: Crowd) -> None:
        await self._test_platform("front", case)

    @parameterized.expand(table("ready"))
    async def test_ready(self, _: str, case: Crowd) -> None:
        await self._test_platform("ready", case)

    @parameterized.expand(table("ctl"))
    async def test_ctl(self, _: str, case: Crowd) -> None:
        await self._test_platform("ctl", case)

    @parameterized.expand(table("dir"))
    async def test_dir(self, _: str, case: Crowd) -> None:
        await self._test_platform("dir", case)

    @parameterized.expand(table("public"))
    async def test_daemon_public(self, _: str, case: Crowd) -> None:
        deployment = await self._deployment()
        instance = deployment.instances[0]
        assert instance.process is not None
        token = f"authorization: Bearer {deployment.target_token}"
        url = f"http://{instance.public}"

        async def ask(size: int) -> int:
            if size == 0:
                return await _status("GET", f"{url}/healthz", b"", {})
            return await _status(
                "POST",
                f"{url}/targets/announce",
                b" " * size,
                {"authorization": f"Bearer {deployment.target_token}"},
            )

        await self._withstand(
            Door(
                "public",
                instance.process,
                instance.public,
                DAEMON_RAM_MB,
                (f"POST /targets/announce HTTP/1.1\r\nhost: a\r\n{token}\r\n",),
                ask,
                served=400,
            ),
            case,
        )

    @parameterized.expand(table("admin"))
    async def test_daemon_admin(self, _: str, case: Crowd) -> None:
        deployment = await self._deployment()
        instance = deployment.instances[0]
        assert instance.process is not None
        key = f"authorization: Bearer {deployment.operator_key}"
        url = f"http://{instance.admin}"

        async def ask(size: int) -> int:
            if size == 0:
                return await _status("GET", f"{url}/healthz", b"", {})
            return await _status(
                "POST",
                f"{url}/operator/v1/plans",
                b" " * size,
                {"authorization": f"Bearer {deployment.operator_key}"},
            )

        await self._withstand(
            Door(
                "admin",
                instance.process,
                instance.admin,
                DAEMON_RAM_MB,
                (f"POST /operator/v1/plans HTTP/1.1\r\nhost: a\r\n{key}\r\n",),
                ask,
                served=400,
            ),
            case,
        )

    async def _deployment(self) -> Deployment:
        deployment = Deployment(two_regions()[:1])
        self.addAsyncCleanup(deployment.stop)
        deployment.overrides_by_section["memory"] = {
            "process_bytes": DAEMON_RAM_MB * MEGABYTE,
            "descriptors": MAX_FDS,
        }
        deployment.overrides_by_section["listeners"] = {
            "max_body_bytes": MAX_BODY_BYTES
        }
        await deployment.start()
        return deployment

    async def _withstand(self, door: Door, case: Crowd) -> None:
        """Send the crowds, and ordinary requests while they are there."""
        at_rest = _status_mb(door.process, "VmRSS")
        self.assertEqual(await _answer(door, ORDINARY_BYTES), door.served)
        async with _watched(door.process) as descriptors:
            for number in range(case.crowds):
                last = number == case.crowds - 1
                async with _crowd(door, case):
                    await asyncio.sleep(HOLD_SECONDS)
                    meanwhile = await _answer(door, ORDINARY_BYTES) if last else None
        figures = (
            f"{at_rest:.0f} MB at rest, at most {_status_mb(door.process, 'VmHWM'):.0f}"
            f" of {door.ram_mb} MB and {max(descriptors)} descriptors; "
            f"{meanwhile} meanwhile"
        )
        print(f"{self.id().rpartition('.')[2]}: {figures}", flush=True)
        self.assertIsNone(door.process.returncode, figures)
        self.assertLess(_status_mb(door.process, "VmHWM"), door.ram_mb, figures)
        self.assertLess(max(descriptors), MAX_FDS, figures)
        self.assertEqual(meanwhile, door.served, figures)
        self.assertEqual(await _answer(door, 0), 200, figures)
        self.assertEqual(await _answer(door, door.large_bytes), door.served, figures)


_HEADS_BY_LISTENER = {
    "front": tuple(
        f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n"
        for path in ("/quotes/0", "/jobs/crowd")
    ),
    "ready": (f"POST /v1/readyz HTTP/1.1\r\nhost: {HOST}\r\n",),
    "ctl": ("PUT /v1/config HTTP/1.1\r\nhost: a\r\n",),
    "dir": (f"POST /v1/resolve?name={HOST} HTTP/1.1\r\nhost: a\r\n",),
}


async def _ask_platform(site: Site, process: Process, listener: str, size: int) -> int:
    url = f"http://{process.address(listener)}"
    match listener:
        case "front":
            headers = site._headers(site.marker())
            headers["X-Goldcrestyard-Deadline-Ms"] = "2500"
            return await _status("POST", f"{url}/quotes/0", b" " * size, headers)
        case "ready":
            return await _status("POST", f"{url}/v1/readyz", b" " * size, {})
        case "ctl" if size:
            # A version that is not higher is acknowledged and changes nothing.
            document = json.dumps(configuration(1)).encode()
            return await _status("PUT", f"{url}/v1/config", document.ljust(size), {})
        case "ctl":
            return await _status("GET", f"{url}/v1/config", b"", {})
        case _:
            path = f"/v1/resolve?name={HOST}"
            return await _status("POST", f"{url}{path}", b" " * size, {})


async def _status(method: str, url: str, body: bytes, headers: dict[str, str]) -> int:
    """Send one request; return the status, or 0 if there is no answer."""
    timeout = aiohttp.ClientTimeout(total=10.0)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=body, headers=headers) as answer,
        ):
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def _answer(door: Door, size: int) -> int:
    """Ask until the request is served; return the last status."""
    status = 0
    expected = door.served if size else 200
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_SECONDS):
            while (status := await door.ask(size)) != expected:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
    return status


def _status_mb(process: asyncio.subprocess.Process, name: str) -> float:
    """Return a figure of the process's memory in MB; infinity if it ended."""
    try:
        status = Path(f"/proc/{process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith(name)]
    except (OSError, ValueError):
        return float("inf")
    return int(line.split()[1]) * 1024 / MEGABYTE


@contextlib.asynccontextmanager
async def _watched(process: asyncio.subprocess.Process) -> AsyncIterator[list[int]]:
    """Count the open descriptors of a process meanwhile."""
    counts = [0]

    async def watch() -> None:
        while True:
            with contextlib.suppress(OSError):
                counts.append(len(os.listdir(f"/proc/{process.pid}/fd")))
            await asyncio.sleep(0.05)

    task = asyncio.create_task(watch())
    try:
        yield counts
    finally:
        task.cancel()


@contextlib.asynccontextmanager
async def _crowd(door: Door, case: Crowd) -> AsyncIterator[None]:
    """Hold a crowd of clients at a listener."""
    # All clients share them, so that the crowd itself takes little memory.
    bodies_by_kind = {
        kind: _body(door.listener, door.large_bytes, kind) for kind in case.kinds
    }
    clients = [
        asyncio.create_task(
            _client(
                door,
                door.heads[number % len(door.heads)],
                kind := case.kinds[number // 2 % len(case.kinds)],
                bodies_by_kind[kind],
                number,
            )
        )
        for number in range(case.connections)
    ]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _client(door: Door, head: str, kind: Kind, body: bytes, number: int) -> None:
    """Send what the kind says, read until the end, and come again."""
    host, _, port = door.address.rpartition(":")
    attempt = 0
    while True:
        attempt += 1
        marked = f"{head}x-goldcrestyard-attempt-id: crowd-{number}-{attempt}\r\n"
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                host, int(port), family=socket.AF_INET
            )
            sending = asyncio.create_task(_send(writer, marked, kind, body, number))
            try:
                while await reader.read(65536):
                    pass
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
                writer.transport.abort()
        await asyncio.sleep(COMES_AGAIN_SECONDS)


async def _send(
    writer: asyncio.StreamWriter, head: str, kind: Kind, body: bytes, number: int
) -> None:
    size = FILLING_BYTES if number % 2 and len(body) > FILLING_BYTES else len(body)
    match kind:
        case Kind.STOPS_SHORT | Kind.MANY_VALUES_STOP:
            await _write(writer, _with_length(head, size))
            await _write(writer, memoryview(body)[: size - 1])
        case Kind.DRIPS | Kind.SMALL_DRIPS:
            await _write(writer, _with_length(head, size))
            await _write(writer, memoryview(body)[: size - 1000])
            for position in range(size - 1000, size - 1):
                await _write(writer, body[position : position + 1])
                await asyncio.sleep(DRIP_SECONDS)
        case Kind.CHUNKS_OF_1 | Kind.CHUNKS_OF_10 | Kind.CHUNKS_OF_64K:
            chunk_bytes = {Kind.CHUNKS_OF_1: 1, Kind.CHUNKS_OF_10: 10}.get(kind, 65536)
            await _write(writer, f"{head}transfer-encoding: chunked\r\n\r\n".encode())
            for piece in _chunked(body, size, chunk_bytes):
                await _write(writer, piece)
        case Kind.COMPRESSED:
            encoded = f"{head}content-encoding: deflate\r\n"
            await _write(writer, _with_length(encoded, len(body)))
            await _write(writer, body)
        case Kind.WHOLE | Kind.MANY_VALUES | Kind.LARGE_JOB:
            await _write(writer, _with_length(head, len(body)))
            await _write(writer, body)


async def _write(writer: asyncio.StreamWriter, data: bytes | memoryview) -> None:
    """Write in pieces: a transport copies what it cannot send at once."""
    for start in range(0, len(data), PIECE_BYTES):
        writer.write(data[start : start + PIECE_BYTES])
        await writer.drain()


def _with_length(head: str, size: int) -> bytes:
    return f"{head}content-length: {size}\r\n\r\n".encode()


@functools.cache
def _chunked(body: bytes, size: int, chunk_bytes: int) -> tuple[bytes, ...]:
    """Return the beginning of a body in chunks, some 64 kB in each piece.

    The last chunk is missing.  The pieces are shared like the bodies.
    """
    step = max(chunk_bytes, 65536 // chunk_bytes)
    pieces = []
    for start in range(0, size, step):
        part = body[start : min(start + step, size)]
        pieces.append(
            b"".join(
                b"%x\r\n%b\r\n" % (len(chunk := part[at : at + chunk_bytes]), chunk)
                for at in range(0, len(part), chunk_bytes)
            )
        )
    return tuple(pieces)


@functools.cache
def _body(listener: str, size: int, kind: Kind) -> bytes:
    match kind:
        case Kind.MANY_VALUES | Kind.MANY_VALUES_STOP:
            return _many_values(listener, size)
        case Kind.LARGE_JOB:
            return _large_job(size)
        case Kind.COMPRESSED:
            return _compressed_zeros(GROWN_BYTES)
        case Kind.CHUNKS_OF_1:
            return b"x" * (size // 10)
        case Kind.SMALL_DRIPS:
            return b"x" * SMALL_BYTES
        case _:
            return b"x" * size


def _compressed_zeros(size: int) -> bytes:
    """Return a deflated body without ever holding all that it holds."""
    compressor = zlib.compressobj()
    parts = [compressor.compress(bytes(MEGABYTE)) for _ in range(size // MEGABYTE)]
    return b"".join([*parts, compressor.flush()])


def _many_values(listener: str, size: int) -> bytes:
    """Return a document of about so many bytes with many small values."""
    match listener:
        case "ctl":
            # Its version is not higher, so that it changes nothing.
            keys = [f"{number:x}" for number in range(size // 9)]
            tenant = {"name": "t", "api_keys": keys}
            return json.dumps({**configuration(1), "tenants": [tenant]}).encode()
        case "front":
            items = [
                {"id": f"{number:x}", "path": "/jobs/"} for number in range(size // 34)
            ]
            return json.dumps({"model": MODEL, "requests": items}).encode()
        case _:
            values = {f"{number:x}": [] for number in range(size // 12)}
            return json.dumps({"declaration": "", **values}).encode()


def _large_job(size: int) -> bytes:
    count = 4
    body = base64.b64encode(os.urandom(size * 3 // 4 // count - 1000)).decode()
    items = [
        {"id": f"i{number}", "path": "/jobs/x", "body": body} for number in range(count)
    ]
    return json.dumps({"model": MODEL, "requests": items}).encode()
