"""A stand-in for the platform that rents targets by data centre.

``POST /orders`` starts or stops targets, ``GET /orders/{id}`` returns the
outcome of an order, ``GET /targets`` lists the rented targets and
``GET /notices`` the announced reclaims.  It starts no processes for targets
and only records them.
"""

import argparse
import asyncio
import signal
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from demo.fakes.receiver import OrderReceiver


@dataclass
class Platform:
    """State of the stand-in platform."""

    receiver: OrderReceiver
    targets_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)
    notices: list[dict[str, Any]] = field(default_factory=list)
    unavailable_rentals: set[tuple[str, str]] = field(default_factory=set)
    """Data centres and kinds of rental of which no target is available."""
    counter: int = 0

    async def order(self, request: web.Request) -> web.StreamResponse:
        """Start or stop targets."""
        body, result = await self.receiver.take(request)
        order_id = str(body["order_id"])
        if result != "new":
            return await self.receiver.answer(order_id, result, {})
        if body["action"] == "start":
            if (body["data_centre"], body["rental"]) in self.unavailable_rentals:
                refusal = {"error": "none_available"}
                return web.json_response(refusal, status=422)
            targets = [self._start(body) for _ in range(int(body["count"]))]
        else:
            targets = [str(body["target"])]
            self.targets_by_id.pop(targets[0], None)
        self.receiver.carried_out.append(body)
        return await self.receiver.answer(
            order_id, result, {"order_id": order_id, "targets": targets}
        )

    def _start(self, body: dict[str, Any]) -> str:
        self.counter += 1
        name = f"rented-{self.counter}"
        self.targets_by_id[name] = {
            "id": name,
            "data_centre": body["data_centre"],
            "rental": body["rental"],
        }
        return name

    async def find_order(self, request: web.Request) -> web.StreamResponse:
        """Return the outcome of an order."""
        answer = self.receiver.answers_by_id.get(request.match_info["id"])
        if answer is None:
            return web.json_response({"error": "unknown"}, status=404)
        return web.json_response(answer)

    async def targets(self, _: web.Request) -> web.StreamResponse:
        """List the rented targets."""
        return web.json_response({"targets": list(self.targets_by_id.values())})

    async def list_notices(self, _: web.Request) -> web.StreamResponse:
        """List the announced reclaims."""
        return web.json_response({"notices": self.notices})

    async def set_state(self, request: web.Request) -> web.StreamResponse:
        """Set what is unavailable, announced or lost; for tests only."""
        state = await request.json()
        if "none_to_be_had" in state:
            self.unavailable_rentals = {tuple(pair) for pair in state["none_to_be_had"]}
        if "notices" in state:
            self.notices = state["notices"]
        for name in state.get("lost_targets", ()):
            self.targets_by_id.pop(name, None)
        return web.json_response({})

    async def recorded(self, _: web.Request) -> web.StreamResponse:
        """Return everything that was recorded; for tests only."""
        targets = list(self.targets_by_id.values())
        return web.json_response({**self.receiver.recorded(), "targets": targets})


def application(platform: Platform) -> web.Application:
    """Return the stand-in's web application."""
    app = web.Application()
    app.router.add_post("/orders", platform.order)
    app.router.add_get("/orders/{id}", platform.find_order)
    app.router.add_get("/targets", platform.targets)
    app.router.add_get("/notices", platform.list_notices)
    app.router.add_post("/fake/options", platform.receiver.set_options)
    app.router.add_post("/fake/state", platform.set_state)
    app.router.add_get("/fake/state", platform.recorded)
    return app


async def serve(app: web.Application, port: int) -> None:
    """Serve a stand-in until SIGTERM."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--ignore-keys", action="store_true")
    options = parser.parse_args()
    receiver = OrderReceiver(not options.ignore_fencing, not options.ignore_keys)
    asyncio.run(serve(application(Platform(receiver)), options.port))


if __name__ == "__main__":
    main()
