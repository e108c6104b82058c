"""A stand-in for a plain service.

It counts each run by the query parameter ``call``, with which the caller names
its call, and by attempt id.  Faults are chosen by the query parameter
``fault``, or for the next calls by ``POST /fake/faults``.
"""

import argparse
import asyncio
import signal
import uuid
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from aiohttp import web

from demo.fakes.announcer import Announcer


class Fault(Enum):
    """A fault of one call."""

    NONE = "none"
    CLOSE_BEFORE = "close_before"
    """Closes the connection without running the call."""
    CLOSE_AFTER_RUN = "close_after_run"
    """Runs the call and closes the connection without an answer."""
    TRUNCATE = "truncate"
    """Runs the call and closes the connection in the middle of the answer."""
    CLOSE_AFTER_ANSWER = "close_after_answer"
    """Closes the connection abruptly after a whole answer."""
    NOT_RUN = "not_run"
    """Answers 503 with ``x-not-run``."""
    UNAVAILABLE = "unavailable"
    """Answers 503 without saying that the call has not run."""
    OTHER_ANSWER = "other_answer"
    """Answers with another request's id."""


@dataclass
class PlainService:
    """State of the stand-in."""

    name: str
    folder: Path
    """Shared with other stand-ins, so that only one has ``first_fault``."""
    runs_by_call: Counter[str] = field(default_factory=Counter)
    runs_by_attempt: Counter[str] = field(default_factory=Counter)
    requests_by_call: Counter[str] = field(default_factory=Counter)
    seen: deque[dict[str, Any]] = field(default_factory=lambda: deque(maxlen=100))
    faults: deque[Fault] = field(default_factory=deque)
    delay_seconds: float = 0.0
    calls_released: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run a call and answer it, or inject its fault."""
        body = await request.read()
        call = request.query.get("call", "")
        attempt = request.headers.get("x-request-id", "")
        fault = self.faults.popleft() if self.faults else Fault.NONE
        fault = Fault(request.query.get("fault", fault.value))
        first_fault = request.query.get("first_fault")
        if first_fault is not None and self._is_first_to_see(request.query["call"]):
            fault = Fault(first_fault)
        self.requests_by_call[call] += 1
        self.seen.append(
            {
                "method": request.method,
                "path": request.path_qs,
                "headers": dict(request.headers),
                "body": body.decode("utf-8", "replace"),
            }
        )
        headers = {"x-request-id": attempt, "etag": '"1"', "x-internal": "1"}
        match fault:
            case Fault.CLOSE_BEFORE:
                return _abort_connection(request)
            case Fault.NOT_RUN:
                return web.Response(
                    status=503, headers={**headers, "x-not-run": "true"}
                )
        self.runs_by_call[call] += 1
        self.runs_by_attempt[attempt] += 1
        await self._wait(request)
        match fault:
            case Fault.CLOSE_AFTER_RUN:
                return _abort_connection(request)
            case Fault.UNAVAILABLE:
                return web.Response(status=503, headers=headers, text="busy")
            case Fault.OTHER_ANSWER:
                headers["x-request-id"] = uuid.uuid4().hex
        answer = b"answer to " + body
        padding = b"." * int(request.query.get("answer_bytes", "0"))
        return await self._answer(request, fault, headers, answer + padding)

    async def _wait(self, request: web.Request) -> None:
        await asyncio.sleep(float(request.query.get("seconds", self.delay_seconds)))
        if request.query.get("hold"):
            await self.calls_released.wait()

    async def _answer(
        self,
        request: web.Request,
        fault: Fault,
        headers: dict[str, str],
        answer: bytes,
    ) -> web.StreamResponse:
        if fault not in (Fault.TRUNCATE, Fault.CLOSE_AFTER_ANSWER):
            status = int(request.query.get("status", "200"))
            return web.Response(
                status=status, body=answer, headers=headers, content_type="text/plain"
            )
        response = web.StreamResponse(headers=headers)
        response.content_length = len(answer)
        await response.prepare(request)
        await response.write(answer[:5] if fault is Fault.TRUNCATE else answer)
        # ``abort`` would drop the bytes written above; ``close`` sends them.
        assert request.transport is not None
        request.transport.close()
        return response

    def _is_first_to_see(self, call: str) -> bool:
        """Return whether no stand-in with this folder has had the call."""
        try:
            (self.folder / f"call-{call}").touch(exist_ok=False)
        except FileExistsError:
            return False
        return True

    async def set_faults(self, request: web.Request) -> web.StreamResponse:
        """Set the faults of the next calls, one for each call."""
        self.faults = deque(Fault(name) for name in await request.json())
        return web.json_response({})

    async def release(self, _: web.Request) -> web.StreamResponse:
        """Let calls with the query parameter ``hold`` go on."""
        self.calls_released.set()
        return web.json_response({})

    async def state(self, _: web.Request) -> web.StreamResponse:
        """Return everything that was recorded; for tests only."""
        return web.json_response(
            {
                "runs_by_call": self.runs_by_call,
                "runs_by_attempt": self.runs_by_attempt,
                "requests_by_call": self.requests_by_call,
                "seen": list(self.seen),
            }
        )

    async def healthz(self, _: web.Request) -> web.StreamResponse:
        """Answer a probe."""
        return web.json_response({})


def _abort_connection(request: web.Request) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response(status=500)


async def serve(options: argparse.Namespace) -> None:
    """Run the stand-in until SIGTERM, then drain it."""
    service = PlainService(options.id, Path(options.folder))
    app = web.Application()
    app.router.add_get("/healthz", service.healthz)
    app.router.add_get("/fake/state", service.state)
    app.router.add_post("/fake/faults", service.set_faults)
    app.router.add_post("/fake/release", service.release)
    app.router.add_route("*", "/{path:.*}", service.serve)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    announcer = Announcer(
        options.entries.split(","),
        options.token,
        {
            "id": options.id,
            "kind": "service",
            "address": f"127.0.0.1:{options.port}",
            "data_centre": options.data_centre,
            "region": options.region,
            "serves": [options.service],
            "incarnation": uuid.uuid4().hex,
            "rental": options.rental,
        },
    )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    announcing = asyncio.create_task(announcer.run())
    await stop.wait()
    await announcer.drain()
    announcing.cancel()
    await announcer.leave()
    # Waits for the calls that are still running.
    await runner.cleanup()


def main() -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for a plain service.")
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--entries", required=True, help="comma-separated host:port")
    parser.add_argument("--token", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--region", required=True)
    parser.add_argument("--folder", required=True)
    parser.add_argument("--rental", default="on_demand")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
