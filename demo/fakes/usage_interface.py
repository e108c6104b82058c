"""A stand-in for the interface that accepts usage reports.

``POST /reports`` accepts the figures of one window, and ``GET /reports/{id}``
returns the accepted report of a window.
"""

import argparse
import asyncio
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from demo.fakes.platform import serve
from demo.fakes.receiver import OrderReceiver


@dataclass
class UsageInterface:
    """State of the stand-in usage interface."""

    receiver: OrderReceiver
    reports_by_window: dict[str, list[dict[str, Any]]] = field(default_factory=dict)

    async def report(self, request: web.Request) -> web.StreamResponse:
        """Accept a report if its order is new."""
        body, result = await self.receiver.take(request)
        window = str(body["window"])
        if result == "new":
            self.reports_by_window.setdefault(window, []).append(body)
            self.receiver.carried_out.append(body)
        order_id = request.headers.get("idempotency-key", "")
        return await self.receiver.answer(order_id, result, {"window": window})

    async def find_report(self, request: web.Request) -> web.StreamResponse:
        """Return the first report that was accepted for a window."""
        reports = self.reports_by_window.get(request.match_info["id"])
        if reports is None:
            return web.json_response({"error": "unknown"}, status=404)
        return web.json_response(reports[0])

    async def recorded(self, _: web.Request) -> web.StreamResponse:
        """Return everything that was recorded; for tests only."""
        return web.json_response(
            {**self.receiver.recorded(), "reports_by_window": self.reports_by_window}
        )


def application(interface: UsageInterface) -> web.Application:
    """Return the stand-in's web application."""
    app = web.Application()
    app.router.add_post("/reports", interface.report)
    app.router.add_get("/reports/{id}", interface.find_report)
    app.router.add_post("/fake/options", interface.receiver.set_options)
    app.router.add_get("/fake/state", interface.recorded)
    return app


def main() -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for the usage interface.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--check-fencing", action="store_true")
    parser.add_argument("--ignore-keys", action="store_true")
    options = parser.parse_args()
    receiver = OrderReceiver(options.check_fencing, not options.ignore_keys)
    asyncio.run(serve(application(UsageInterface(receiver)), options.port))


if __name__ == "__main__":
    main()
