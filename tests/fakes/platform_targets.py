"""Test doubles of the platform's targets, served over HTTP on loopback."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

HEARTBEAT_SECONDS = 0.4
WEIGHT_LOAD_SECONDS = 0.2
REQUEST_ID_HEADER = "X-Goldcrestyard-Attempt-Id"
LEAVING_HEADER = "Server-Leaving"
MAX_BODY_BYTES = 32 * 1024 * 1024
"""Largest body that a target takes, as the platform allows it."""

SOFTWARE = "v1"
"""Software version of a target that is given none."""


def whole_text(events: int, software: str = SOFTWARE) -> str:
    """Return the text that an engine of a software version generates."""
    return "\n".join(_piece(number, software) for number in range(1, events + 1))


def software_of(text: str) -> set[str]:
    """Return the software versions that generated a part of a text."""
    return {line.rpartition(" ")[2] for line in text.split("\n")}


def _piece(number: int, software: str) -> str:
    return f"piece {number} by {software}"


@dataclass
class Run:
    """A request that a target has started to run."""

    id: str
    path: str
    organisation: str | None
    resumed_after: int
    started_at: float
    """Unix time in seconds."""
    said_leaving: bool = False
    """Whether the answer says that the target leaves."""


@dataclass
class StandInTarget:
    """An engine, or a plain service if it has no models.

    It sends the platform's heartbeats, streams numbered events and records
    the requests that it ran.
    """

    id: str
    service: str
    host: str
    zone: str
    control: list[str]
    models: dict[str, int] = field(default_factory=dict)
    events: int = 20
    event_seconds: float = 0.02
    software: str = SOFTWARE
    """Version of its software; each event names it."""
    breaks_after: int | None = None
    """Number of events after which each of its streams breaks off."""
    failing: bool = False
    """Whether every request is answered with status 500."""
    answer_seconds: float = 0.0
    """Time that a plain service works on a request."""
    answers_allowed: asyncio.Event | None = None
    """Event until which a plain service withholds its answers."""
    request_limit: float | None = None
    """Requests a second that it names in its answers; None names no limit."""
    deadly_path: str | None = None
    """Path of the requests that crash it as they begin to run."""
    down_seconds: float = 1.0
    """Time after a crash until it is back at its address, as another run."""
    leaving: tuple[str, ...] = ()
    """Values of the header by which its answers say that it leaves; each makes
    one header."""
    runs: list[Run] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    in_progress: Counter[str] = field(default_factory=Counter)
    """The number of requests in progress, by request id."""
    events_sent: Counter[str] = field(default_factory=Counter)
    """The number of events sent in all runs of a request, by its id."""
    draining: bool = False
    cold_left_seconds: float = 0.0
    """Time for which its heartbeats say that it is cold."""

    def __post_init__(self) -> None:
        self.address = ""
        """The address in heartbeats: its own or that of a proxy in front."""
        self.own_address = ""
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_address: str | None = None
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._restart: asyncio.Task[None] | None = None

    async def listen(self, port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/v1/report", self._report)
        app.router.add_post("/v1/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._serve)
        # Like a crash, a stop does not wait for requests in progress.  A body
        # is not decompressed: a small one may take 200 MB.
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0.01,
            auto_decompress=False,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, port, reuse_address=True)
        await site.start()
        assert site._server is not None
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        self.own_address = f"{self.host}:{port}"
        self.address = self.address or self.own_address

    def announce(self) -> None:
        """Start to send heartbeats in the background."""
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def crash(self) -> None:
        """End without notice, and come back later under another id."""
        await self._end()
        await asyncio.sleep(self.down_seconds)
        self.id = f"{self.id}-again"
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_address = None
        await self.listen(int(self.own_address.rpartition(":")[2]))
        self.announce()

    async def stop(self) -> None:
        """Stop heartbeats and close connections, as a crash does."""
        if self._restart is not None:
            self._restart.cancel()
        await self._end()

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self) -> None:
        """Report ``draining`` until a control member acknowledges it."""
        self.draining = True
        async with aiohttp.ClientSession() as session:
            while not await self._send_heartbeat(session):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def _send_heartbeats(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._send_heartbeat(session)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, session: aiohttp.ClientSession) -> bool:
        self._sequence += 1
        body = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": int(self.cold_left_seconds * 1000),
            "models": [{"name": n, "version": v} for n, v in self.models.items()],
            "seq": self._sequence,
            "born": self._started_at_ms,
        }
        known = [self._heartbeat_address] if self._heartbeat_address else []
        for address in [*known, *self.control]:
            try:
                async with session.put(
                    f"http://{address}/v1/instances/{self.id}",
                    json=body,
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as response:
                    if response.status == 200:
                        self._heartbeat_address = (await response.json()).get(
                            "beat_addr"
                        )
                        return True
            except (aiohttp.ClientError, TimeoutError):
                pass
            self._heartbeat_address = None
        return False

    async def _report(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "models": [{"name": n, "version": v} for n, v in self.models.items()],
                "seq": len(self.orders),
                "in_flight": False,
                "born": self._started_at_ms,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order.get("expect") != len(self.orders):
            return web.Response(status=409)
        if self.models[order["model"]] >= order["version"]:
            return web.Response(status=200)
        self.orders.append(order)
        self._tasks.append(asyncio.create_task(self._load(order)))
        return web.Response(status=202)

    async def _load(self, order: dict[str, Any]) -> None:
        await asyncio.sleep(WEIGHT_LOAD_SECONDS)
        self.models[order["model"]] = order["version"]

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if request.headers.get("X-Goldcrestyard-Expect-Instance") != self.id:
            return web.Response(status=421)
        await request.read()
        last = int(request.headers.get("Last-Event-Id", "0"))
        tenant = request.headers.get("X-Goldcrestyard-Tenant")
        self.runs.append(
            Run(request_id, request.path, tenant, last, time.time(), bool(self.leaving))
        )
        if request.path == self.deadly_path:
            if self._restart is None or self._restart.done():
                self._restart = asyncio.create_task(self.crash())
            await asyncio.get_running_loop().create_future()
        headers = CIMultiDict(
            {
                REQUEST_ID_HEADER: request_id,
                "X-Goldcrestyard-Server-Stamp": f"stamp-{request_id}",
            }
        )
        for value in self.leaving:
            headers.add(LEAVING_HEADER, value)
        if self.request_limit is not None:
            headers["Server-Limit"] = str(self.request_limit)
        if self.failing:
            return web.Response(status=500, headers=headers)
        self.in_progress[request_id] += 1
        try:
            if self.models:
                return await self._stream(request, headers, last)
            await asyncio.sleep(self.answer_seconds)
            if self.answers_allowed is not None:
                await self.answers_allowed.wait()
            return web.Response(
                body=f"{self.id} {request.path}".encode(), headers=headers
            )
        finally:
            self.in_progress[request_id] -= 1

    async def _stream(
        self, request: web.Request, headers: CIMultiDict[str], last: int
    ) -> web.StreamResponse:
        model = request.headers["X-Goldcrestyard-Model"]
        headers["X-Goldcrestyard-Weight-Versions"] = str(self.models[model])
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            if self.breaks_after is not None and number > last + self.breaks_after:
                assert request.transport is not None
                request.transport.abort()
                return response
            data = _piece(number, self.software)
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
            self.events_sent[request.headers.get(REQUEST_ID_HEADER, "")] += 1
        await response.write_eof()
        return response
