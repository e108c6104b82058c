"""A stand-in for a model engine.

It speaks the usual HTTP protocol of engines: request ids are returned in the
header and in the id of each answer, and each piece of a stream names the
weight version that produced it.  The text is a fixed sequence of words.
"""

import argparse
import asyncio
import signal
import uuid
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from demo.fakes import engine_faults
from demo.fakes.announcer import Announcer
from demo.fakes.engine_faults import Fault, Faults
from demo.fakes.receiver import OrderReceiver

WORDS = ("the", "liner", "holds", "at", "joint", "seven", "and", "the", "crack", "ends")
UNPUBLISHED_VERSION = 999_999
TOKENS_PER_REQUEST = 12


@dataclass
class Engine:
    """State of the stand-in engine."""

    name: str
    token_seconds: float
    version: int = 1
    max_concurrency: int = 16
    label: str = "honest"
    """Weight version that pieces name: ``honest`` for the true one,
    ``omitted`` for none, ``unpublished`` for one that does not exist."""
    running: int = 0
    streams_begun: int = 0
    """Number of streams whose first token has been generated."""
    runs_by_request: Counter[str] = field(default_factory=Counter)
    runs_by_call: Counter[str] = field(default_factory=Counter)
    """Runs by the value of the body field ``user``, set by the caller."""
    headers_seen: list[dict[str, str]] = field(default_factory=list)
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    faults: Faults = field(default_factory=Faults)
    receiver: OrderReceiver = field(default_factory=OrderReceiver)
    staged: list[int] = field(default_factory=list)
    weights_fault: str = ""
    """Fault of weight orders: ``fail`` refuses them, ``lie`` acknowledges them
    without effect, and an empty text is no fault."""

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serve a completion, streamed or as one JSON object."""
        request_id = request.headers.get("x-request-id", uuid.uuid4().hex)
        self.headers_seen.append(dict(request.headers))
        del self.headers_seen[:-100]
        body = await request.json()
        if self.running >= self.max_concurrency:
            return web.json_response(
                {"error": {"message": "full"}},
                status=503,
                headers={"x-request-id": request_id, "x-not-run": "true"},
            )
        fault = self.faults.take(body)
        if (
            failed := await engine_faults.before_run(fault, request, request_id)
        ) is not None:
            return failed
        self.runs_by_request[request_id] += 1
        self.runs_by_call[str(body.get("user"))] += 1
        self.running += 1
        self.idle.clear()
        try:
            failed = await engine_faults.before_answer(fault, request, request_id)
            if failed is not None:
                return failed
            if body.get("stream"):
                return await self._stream(request, request_id, body, fault)
            return await self._answer_plain(request, request_id, body, fault)
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    async def _stream(
        self,
        request: web.Request,
        request_id: str,
        body: dict[str, Any],
        fault: Fault,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "content-type": "text/event-stream",
                "x-request-id": engine_faults.header_id(fault, request_id),
            }
        )
        await response.prepare(request)
        tokens = self._tokens(body)
        last = len(tokens) - 1

        def piece_at(position: int) -> dict[str, Any]:
            self.streams_begun += position == 0
            return self._piece(
                request.path, request_id, body, tokens[position], position == last
            )

        usage_piece = None
        if (body.get("stream_options") or {}).get("include_usage"):
            usage_piece = {
                **self._piece(request.path, request_id, body, "", last=False),
                "choices": [],
                "usage": _usage(body, tokens),
            }
        return await engine_faults.write_stream(
            fault,
            request,
            response,
            piece_at,
            len(tokens),
            self.token_seconds,
            usage_piece,
        )

    async def _answer_plain(
        self,
        request: web.Request,
        request_id: str,
        body: dict[str, Any],
        fault: Fault,
    ) -> web.StreamResponse:
        tokens = self._tokens(body)
        await asyncio.sleep(self.token_seconds * len(tokens))
        text = "".join(tokens)
        chat = "chat" in request.path
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = {
            "id": f"{'chatcmpl' if chat else 'cmpl'}-{request_id}",
            "object": "chat.completion" if chat else "text_completion",
            "created": 0,
            "model": body["model"],
            "weight_version": self.version,
            "choices": [choice],
            "usage": _usage(body, tokens),
        }
        headers = {"x-request-id": engine_faults.header_id(fault, request_id)}
        return await engine_faults.write_plain(fault, request, answer, headers)

    def _piece(
        self,
        path: str,
        request_id: str,
        body: dict[str, Any],
        token: str,
        last: bool,
    ) -> dict[str, Any]:
        chat = "chat" in path
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "stop" if last else None,
        }
        if chat:
            choice["delta"] = {"role": "assistant", "content": token}
        else:
            choice["text"] = token
        piece = {
            "id": f"{'chatcmpl' if chat else 'cmpl'}-{request_id}",
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": 0,
            "model": body["model"],
            "weight_version": self.version,
            "choices": [choice],
        }
        if self.label == "omitted":
            del piece["weight_version"]
        elif self.label == "unpublished":
            piece["weight_version"] = UNPUBLISHED_VERSION
        return piece

    def _tokens(self, body: dict[str, Any]) -> list[str]:
        first = 0
        if body.get("continue_final_message"):
            first = len(body["messages"][-1]["content"].split())
        count = int(body.get("max_tokens") or 12)
        return [WORDS[n % len(WORDS)] + " " for n in range(first, first + count)]

    async def load_weights(self, request: web.Request) -> web.StreamResponse:
        """Carry out an order to serve another weight version."""
        order = await request.json()
        self.version = int(order["version"])
        return web.json_response({"version": self.version})

    async def set_version(self, request: web.Request) -> web.StreamResponse:
        """Serve another version from the next token on; for tests only."""
        self.version = int((await request.json())["version"])
        return web.json_response({"version": self.version})

    async def stage(self, request: web.Request) -> web.StreamResponse:
        """Stage a version while another one is served."""
        order, result = await self.receiver.take(request)
        if self.weights_fault == "fail":
            return web.json_response({"error": "out of memory"}, status=500)
        if result != "stale" and self.weights_fault != "lie":
            self.staged = [int(order["version"])]
        order_id = request.headers.get("idempotency-key", "")
        return await self.receiver.answer(order_id, result, {})

    async def activate(self, request: web.Request) -> web.StreamResponse:
        """Serve a version, if it is staged."""
        order, result = await self.receiver.take(request)
        version = int(order["version"])
        if result != "stale" and version in self.staged:
            self.version = version
        order_id = request.headers.get("idempotency-key", "")
        return await self.receiver.answer(order_id, result, {})

    async def weights(self, _: web.Request) -> web.StreamResponse:
        """Return the version that is served and those that are staged."""
        return web.json_response({"active": self.version, "staged": self.staged})

    async def set_weights_fault(self, request: web.Request) -> web.StreamResponse:
        """Set ``weights_fault``; for tests only."""
        self.weights_fault = (await request.json())["fault"]
        return web.json_response({})

    async def state(self, _: web.Request) -> web.StreamResponse:
        """Return everything that was recorded; for tests only."""
        return web.json_response(
            {
                "version": self.version,
                "running": self.running,
                "streams_begun": self.streams_begun,
                "runs_by_request": dict(self.runs_by_request),
                "runs_by_call": dict(self.runs_by_call),
                "headers_seen": self.headers_seen,
                "orders": self.receiver.recorded()["arrivals"],
            }
        )

    def load(self) -> dict[str, Any]:
        """Return the load for a renewal."""
        return {
            "running_requests": self.running,
            "running_tokens": self.running * TOKENS_PER_REQUEST,
        }

    async def healthz(self, _: web.Request) -> web.StreamResponse:
        """Answer a probe."""
        return web.json_response({"running": self.running})


def _usage(body: dict[str, Any], tokens: list[str]) -> dict[str, int]:
    prompt = len(str(body.get("messages") or body.get("prompt"))) // 4
    return {
        "prompt_tokens": prompt,
        "completion_tokens": len(tokens),
        "total_tokens": prompt + len(tokens),
    }


async def serve(options: argparse.Namespace) -> None:
    """Run the stand-in until SIGTERM, then drain it."""
    engine = Engine(
        options.id,
        options.token_seconds,
        version=options.version,
        label=options.label,
    )
    app = web.Application()
    app.router.add_post("/v1/chat/completions", engine.complete)
    app.router.add_post("/v1/completions", engine.complete)
    app.router.add_post("/weights", engine.load_weights)
    app.router.add_get("/weights", engine.weights)
    app.router.add_post("/weights/stage", engine.stage)
    app.router.add_post("/weights/activate", engine.activate)
    app.router.add_post("/fake/weights", engine.set_weights_fault)
    app.router.add_get("/healthz", engine.healthz)
    app.router.add_get("/fake/state", engine.state)
    app.router.add_post("/fake/version", engine.set_version)
    app.router.add_post("/fake/faults", engine.faults.set)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    announcer = Announcer(
        options.entries.split(","),
        options.token,
        {
            "id": options.id,
            "kind": "engine",
            "address": options.advertise or f"127.0.0.1:{options.port}",
            "data_centre": options.data_centre,
            "region": options.region,
            "serves": [options.model],
            "incarnation": uuid.uuid4().hex,
            "max_concurrency": engine.max_concurrency,
            "checks_fencing": True,
        },
        engine.load,
    )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    announcing = asyncio.create_task(announcer.run())
    await stop.wait()
    await announcer.drain()
    if engine.running:
        await engine.idle.wait()
    announcing.cancel()
    await announcer.leave()
    await runner.cleanup()


def main() -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for a model engine.")
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--entries", required=True, help="comma-separated host:port")
    parser.add_argument("--advertise", help="address to announce, if not its own")
    parser.add_argument("--token", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--region", required=True)
    parser.add_argument("--token-seconds", type=float, default=0.01)
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument(
        "--label", choices=("honest", "omitted", "unpublished"), default="honest"
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
