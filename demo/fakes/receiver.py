"""The part of a stand-in that takes orders and records how they came."""

import asyncio
import time
from dataclasses import asdict, dataclass, field
from typing import Any

from aiohttp import web


@dataclass
class Arrival:
    """One whole request that carried an order."""

    order_id: str
    sender: str
    fence: tuple[int, int]
    at: float
    body: dict[str, Any]
    result: str


@dataclass
class OrderBook:
    """Orders that were carried out, and every arrival.

    ``check_fencing`` refuses a number below the highest seen, and the highest
    itself unless it repeats a known key.  ``honour_keys`` answers a repeated
    key with the first answer.  ``hold`` delays the answers, so that a test
    can stop the sender while an order is under way.
    """

    check_fencing: bool = True
    honour_keys: bool = True
    hold: bool = False
    highest: tuple[int, int] = (0, 0)
    arrivals: list[Arrival] = field(default_factory=list)
    answers_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)
    carried_out: list[dict[str, Any]] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def take(self, request: web.Request) -> tuple[dict[str, Any], str]:
        """Record a request and return its body and what to do with it."""
        body = await request.json()
        order_id = request.headers.get("idempotency-key", "")
        fence = (
            int(request.headers.get("x-fencing-term", "0")),
            int(request.headers.get("x-fencing-index", "0")),
        )
        result = self._judge(order_id, fence)
        self.arrivals.append(
            Arrival(
                order_id,
                request.headers.get("x-sender", ""),
                fence,
                time.time(),
                body,
                result,
            )
        )
        return body, result

    def _judge(self, order_id: str, fence: tuple[int, int]) -> str:
        if self.check_fencing and fence < self.highest:
            return "stale"
        if self.honour_keys and order_id in self.answers_by_id:
            self.highest = max(self.highest, fence)
            return "repeated"
        if self.check_fencing and fence == self.highest:
            return "stale"
        self.highest = max(self.highest, fence)
        return "new"

    async def answer(
        self, order_id: str, result: str, fresh: dict[str, Any]
    ) -> web.Response:
        """Answer an order; ``fresh`` is the answer if it is carried out."""
        match result:
            case "stale":
                refusal = {"error": "stale_fencing", "highest": list(self.highest)}
                return web.json_response(refusal, status=409)
            case "repeated":
                answer = self.answers_by_id[order_id]
            case _:
                answer = fresh
                self.answers_by_id[order_id] = answer
        if self.hold:
            await self.released.wait()
        return web.json_response(answer)

    def shown(self) -> dict[str, Any]:
        """Return everything that was recorded."""
        return {
            "arrivals": [asdict(arrival) for arrival in self.arrivals],
            "carried_out": self.carried_out,
            "answers_by_id": self.answers_by_id,
        }

    async def set_options(self, request: web.Request) -> web.Response:
        """Change the options while the stand-in runs; for tests only."""
        options = await request.json()
        for name in ("check_fencing", "honour_keys", "hold"):
            if name in options:
                setattr(self, name, bool(options[name]))
        if not self.hold:
            self.released.set()
            self.released = asyncio.Event()
        return web.json_response({})
