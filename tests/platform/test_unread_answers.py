"""Crowds of clients that send requests and do not read the answers.

They guard against a process that runs out of memory or descriptors through
answers that wait for their clients, and against clients that keep its memory
from all others.  The limits are lowered, so that a small crowd is enough.
``tests.__main__`` runs this module alone.
"""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from parameterized import parameterized

from demo.deployment import Deployment
from tests.fakes.deployments import two_regions
from tests.fakes.platform_site import HOST, KEY, Process, Site, configuration
from tests.fakes.platform_targets import StandInTarget
from tests.platform.test_untrusted_clients import MEGABYTE, Peak

RAM_MB = 110
MAX_FDS = 700
"""Lowered limits of each process, stated in its settings."""

CROWD = 200
CROWD_SECONDS = 8.0
"""How long a crowd sends before the process is checked."""

ANSWER_SECONDS = 60.0
"""Deadline for the answer to an ordinary request."""

HOLD_SECONDS = 600.0
"""How long a client that has sent all keeps its connection."""

RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of a client, so that little waits in the kernel."""

SENT_BYTES = 400_000
"""Largest number of bytes that one client sends."""

ITEMS = 4
EVENTS = 20
EVENT_BYTES = 10_000
"""A job has one page of results of 800 kB."""

STREAMED_EVENTS = 200
STREAMED_BYTES = 100_000
STREAMS = 4
SMALL_ANSWER_BYTES = 60_000
LARGE_ANSWER_BYTES = 2_000_000
ROUTES = 1_000
"""Number of routes in the configuration, which then has 180 kB."""

JOB = "job"

SERVICE = "desk"
SERVICE_ROUTES = [
    {"prefix": "/public", "open": True, "idempotent": True},
    {"prefix": "/book", "idempotent": False},
]
SERVICE_ANSWER_BYTES = 900_000
SERVICE_REQUESTS = 4
"""Number of requests of a client for an answer of a plain service."""


class Kind(Enum):
    """What each client of a crowd asks for, again and again."""

    UNKNOWN_PATH = auto()
    LATE_ANSWER = auto()
    SMALL_ANSWER = auto()
    LARGE_ANSWER = auto()
    STREAM = auto()
    PAGE = auto()
    CONFIGURATION = auto()
    ADDRESSES = auto()
    METRICS = auto()
    SERVICE_ANSWER = auto()
    CLAIMED_ANSWER = auto()


@dataclass(frozen=True)
class Crowd:
    """A crowd at a listener; its clients take the kinds in turn."""

    listener: str
    kinds: tuple[Kind, ...]
    crowds: int = 1
    """How many such crowds come one after another."""

    @property
    def name(self) -> str:
        kinds = self.kinds[0].name.lower() if len(self.kinds) == 1 else "mixed"
        return f"{self.listener}_{kinds}"


MIXED = (Kind.LARGE_ANSWER, Kind.STREAM, Kind.PAGE, Kind.UNKNOWN_PATH)
PLATFORM_CROWDS = [
    Crowd("front", (Kind.UNKNOWN_PATH,)),
    Crowd("front", (Kind.LATE_ANSWER,)),
    Crowd("front", (Kind.SMALL_ANSWER,)),
    Crowd("front", (Kind.LARGE_ANSWER,)),
    Crowd("front", (Kind.STREAM,)),
    Crowd("front", (Kind.PAGE,)),
    Crowd("front", MIXED, crowds=3),
    Crowd("ready", (Kind.UNKNOWN_PATH,)),
    Crowd("ctl", (Kind.UNKNOWN_PATH,)),
    Crowd("ctl", (Kind.CONFIGURATION,)),
    Crowd("dir", (Kind.ADDRESSES,)),
]
DAEMON_CROWDS = [
    Crowd("public", (Kind.UNKNOWN_PATH,)),
    Crowd("admin", (Kind.METRICS,)),
    Crowd("public", (Kind.SERVICE_ANSWER,)),
    Crowd("public", (Kind.CLAIMED_ANSWER,)),
]


class LargeTarget(StandInTarget):
    """A target with answers and events of the sizes above."""

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        match request.path:
            case "/quotes/small":
                return self._answer(request, SMALL_ANSWER_BYTES)
            case "/quotes/large":
                return self._answer(request, LARGE_ANSWER_BYTES)
            case "/quotes/late":
                await asyncio.sleep(ANSWER_SECONDS)
        return await super()._serve(request)

    def _answer(self, request: web.Request, size: int) -> web.Response:
        request_id = request.headers["X-Goldcrestyard-Attempt-Id"]
        headers = {
            "X-Goldcrestyard-Attempt-Id": request_id,
            "X-Goldcrestyard-Server-Stamp": f"stamp-{request_id}",
        }
        return web.Response(body=b"a" * size, headers=headers)

    async def _stream(
        self, request: web.Request, headers: CIMultiDict[str], last: int
    ) -> web.StreamResponse:
        headers["X-Goldcrestyard-Weight-Versions"] = "1"
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        streamed = request.path.startswith("/streams/")
        count = STREAMED_EVENTS if streamed else EVENTS
        data = b"a" * (STREAMED_BYTES if streamed else EVENT_BYTES)
        for number in range(last + 1, count + 1):
            await response.write(b"id: %d\ndata: %b\n\n" % (number, data))
        await response.write_eof()
        return response


class UnreadAnswerTests(unittest.IsolatedAsyncioTestCase):
    """The listeners of the platform's processes and of the daemon."""

    @parameterized.expand([(case.name, case) for case in PLATFORM_CROWDS])
    async def test_platform(self, _: str, case: Crowd) -> None:
        site = Site(fronts=1)
        self.addAsyncCleanup(site.close)
        site.limits_by_role = {
            role: {"ram_mb": RAM_MB, "max_fds": MAX_FDS} for role in site.limits_by_role
        }
        await site.start(engines=0, services=1)
        await _add_large_targets(site)
        process = site.fronts[0]
        if case.listener in ("ctl", "dir"):
            process = await site.leader()
        assert process.running is not None
        await self._withstand(
            process.running,
            process.address(case.listener),
            case,
            lambda: _status(site, process, case.listener),
        )

    async def test_engine_does_not_work_for_unread_streams(self) -> None:
        """Guards against unread streams that keep an engine's slots."""
        site = Site(fronts=1)
        self.addAsyncCleanup(site.close)
        await site.start(engines=0, services=1)
        await _add_large_targets(site)
        (engine,) = site.engines
        clients = [
            asyncio.create_task(
                _client(site.fronts[0].address("front"), Kind.STREAM, again=False)
            )
            for _ in range(STREAMS)
        ]

        async def all_run() -> bool:
            return engine.in_progress.total() >= STREAMS

        async def none_runs() -> bool:
            return engine.in_progress.total() == 0

        await site.wait(all_run, "streams that are not read")
        await site.wait(none_runs, "the end of streams that are not read")
        self.assertFalse(any(client.done() for client in clients))
        for client in clients:
            client.cancel()

    @parameterized.expand([(case.name, case) for case in DAEMON_CROWDS])
    async def test_daemon(self, _: str, case: Crowd) -> None:
        deployment = Deployment(two_regions()[:1])
        self.addAsyncCleanup(deployment.stop)
        deployment.overrides_by_section["memory"] = {
            "process_bytes": RAM_MB * MEGABYTE,
            "descriptors": MAX_FDS,
        }
        await deployment.start()
        instance = deployment.instances[0]
        assert instance.process is not None
        address = instance.public if case.listener == "public" else instance.admin
        key, path = KEY, "/healthz"
        if case.kinds[0] in (Kind.SERVICE_ANSWER, Kind.CLAIMED_ANSWER):
            key = await deployment.add_organisation("tejo")
            await deployment.put_service(SERVICE, SERVICE_ROUTES)
            await deployment.start_service("desk-0", SERVICE, instance)
            path = f"/services/{SERVICE}/public/hours"

        async def ask() -> int:
            url = f"http://{address}{path}"
            async with aiohttp.ClientSession() as session, session.get(url) as got:
                return got.status

        await self._withstand(instance.process, address, case, ask, key)

    async def _withstand(
        self,
        process: asyncio.subprocess.Process,
        address: str,
        case: Crowd,
        ask: Callable[[], Awaitable[int]],
        key: str = KEY,
    ) -> None:
        """Send the crowds; ask an ordinary request beside and after them."""
        peak = Peak(process)
        rest_bytes = peak.resident_bytes
        watch = asyncio.create_task(peak.watch())
        statuses = []
        for _ in range(case.crowds):
            clients = [
                asyncio.create_task(
                    _client(address, case.kinds[n % len(case.kinds)], key=key)
                )
                for n in range(CROWD)
            ]
            await asyncio.sleep(CROWD_SECONDS)
            statuses.append(await _answer(ask))
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
        statuses.append(await _answer(ask))
        watch.cancel()
        self.assertIsNone(process.returncode)
        figures = (
            f"{rest_bytes / MEGABYTE:.0f} MB at rest, "
            f"{peak.resident_bytes / MEGABYTE:.0f} MB, {peak.descriptors} fds, "
            f"answers {statuses}"
        )
        print(f"{self.id().rpartition('.')[2]} {address}: {figures}", flush=True)
        self.assertLess(peak.resident_bytes, RAM_MB * MEGABYTE, figures)
        self.assertLess(peak.descriptors, MAX_FDS, figures)
        self.assertEqual(set(statuses), {200}, figures)


async def _add_large_targets(site: Site) -> None:
    """Replace the first target, add an engine, and run a job to its end."""
    first = site.targets.pop()
    await first.drain()
    await first.stop()
    for number, engine in ((10, False), (11, True)):
        plain = site.new_target(number, engine=engine)
        target = LargeTarget(
            plain.id, plain.service, plain.host, plain.zone, plain.control, plain.models
        )
        site.targets.append(target)
        await target.listen()
        target.announce()
    document = configuration(version=2)
    (quotes,) = [each for each in document["routes"] if each["name"] == "quotes"]
    document["routes"].append(
        {
            **quotes,
            "name": "streams",
            "path_prefix": "/streams/",
            "type": "streaming",
            "service": "engines",
            "timeout_ms": 600_000,
        }
    )
    document["routes"] += [
        {**quotes, "name": f"quotes-{number}", "path_prefix": f"/quotes-{number}/"}
        for number in range(ROUTES)
    ]
    await site.put_configuration(document)
    await site.wait(site.all_serve, "the large targets")
    await site.submit(JOB, ITEMS)
    listed = await site.results(JOB, ITEMS)
    text_bytes = sum(len(result["text"]) for result in listed)
    assert text_bytes >= ITEMS * EVENTS * EVENT_BYTES, listed


async def _status(site: Site, process: Process, listener: str) -> int:
    """Send one ordinary request to a listener and return the status."""
    if listener == "front":
        return (await site.ask("/quotes/0", process))[0]
    path = {
        "ready": "/v1/readyz",
        "ctl": "/v1/config",
        "dir": f"/v1/resolve?name={HOST}",
    }[listener]
    return (await site.call("GET", f"http://{process.address(listener)}{path}"))[0]


async def _answer(ask: Callable[[], Awaitable[int]]) -> int:
    """Ask until the answer is 200; return the last status."""
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_SECONDS):
            while status != 200:
                with contextlib.suppress(aiohttp.ClientError):
                    status = await ask()
                await asyncio.sleep(0.1)
    return status


async def _client(
    address: str, kind: Kind, *, again: bool = True, key: str = KEY
) -> None:
    """Send requests on one connection; once closed, on another."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    request = _request(kind, key)
    count = max(1, SENT_BYTES // len(request))
    if kind in (Kind.SERVICE_ANSWER, Kind.CLAIMED_ANSWER):
        count = SERVICE_REQUESTS
    sent = False
    while again or not sent:
        sent = True
        with (
            contextlib.suppress(OSError),
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection,
        ):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            connection.setblocking(False)
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, request * count)
            await asyncio.sleep(HOLD_SECONDS)
        await asyncio.sleep(0.5)


def _request(kind: Kind, key: str) -> bytes:
    match kind:
        case Kind.SERVICE_ANSWER:
            query = f"answer_bytes={SERVICE_ANSWER_BYTES}"
            return _call("GET", f"/services/{SERVICE}/public/x?{query}")
        case Kind.CLAIMED_ANSWER:
            query = f"answer_bytes={SERVICE_ANSWER_BYTES}"
            return _call("POST", f"/services/{SERVICE}/book?{query}", key)
        case Kind.LATE_ANSWER:
            return _call("POST", "/quotes/late")
        case Kind.SMALL_ANSWER:
            return _call("POST", "/quotes/small")
        case Kind.LARGE_ANSWER:
            return _call("POST", "/quotes/large")
        case Kind.STREAM:
            return _call("POST", "/streams/x")
        case Kind.PAGE:
            return _call("GET", f"/v1/lots/{JOB}")
        case Kind.CONFIGURATION:
            return _call("GET", "/v1/config")
        case Kind.ADDRESSES:
            return _call("GET", f"/v1/resolve?name={HOST}")
        case Kind.METRICS:
            return _call("GET", "/metrics")
        case Kind.UNKNOWN_PATH:
            return b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"


def _call(method: str, path: str, key: str = KEY) -> bytes:
    lines = (
        f"{method} {path} HTTP/1.1",
        f"host: {HOST}",
        f"authorization: Bearer {key}",
        "x-goldcrestyard-attempt-id: a",
        "x-goldcrestyard-model: m1",
        "content-length: 0\r\n\r\n",
    )
    return "\r\n".join(lines).encode()
