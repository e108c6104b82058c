"""Receipt of orders, shared by the stand-ins that carry orders out."""

import asyncio
import time
from dataclasses import asdict, dataclass, field
from typing import Any

from aiohttp import web


@dataclass
class Arrival:
    """One request with an order, and how it was classified."""

    order_id: str
    sender: str
    fence: tuple[int, int]
    at: float
    body: dict[str, Any]
    result: str


@dataclass
class OrderReceiver:
    """Checks and records orders.

    ``check_fencing`` refuses a fencing number below the highest seen, and the
    highest itself unless the order repeats a known idempotency key.
    ``honour_keys`` answers a repeated key with the first answer.  ``hold``
    delays the answers, so that a test can stop the sender before it has one.
    """

    check_fencing: bool = True
    honour_keys: bool = True
    hold: bool = False
    highest_fence: tuple[int, int] = (0, 0)
    arrivals: list[Arrival] = field(default_factory=list)
    answers_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)
    carried_out: list[dict[str, Any]] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def take(self, request: web.Request) -> tuple[dict[str, Any], str]:
        """Record a request and return its body and its classification.

        The order is ``new``, ``repeated`` or ``stale``; only a new one is
        carried out.
        """
        body = await request.json()
        order_id = request.headers.get("idempotency-key", "")
        fence = (
            int(request.headers.get("x-fencing-term", "0")),
            int(request.headers.get("x-fencing-index", "0")),
        )
        result = self._classify(order_id, fence)
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

    def _classify(self, order_id: str, fence: tuple[int, int]) -> str:
        if self.check_fencing and fence < self.highest_fence:
            return "stale"
        if self.honour_keys and order_id in self.answers_by_id:
            self.highest_fence = max(self.highest_fence, fence)
            return "repeated"
        if self.check_fencing and fence == self.highest_fence:
            return "stale"
        self.highest_fence = max(self.highest_fence, fence)
        return "new"

    async def answer(
        self, order_id: str, result: str, new_answer: dict[str, Any]
    ) -> web.Response:
        """Answer an order; ``new_answer`` is used if it is new."""
        match result:
            case "stale":
                refusal = {
                    "error": "stale_fencing",
                    "highest": list(self.highest_fence),
                }
                return web.json_response(refusal, status=409)
            case "repeated":
                answer = self.answers_by_id[order_id]
            case _:
                answer = new_answer
                self.answers_by_id[order_id] = answer
        if self.hold:
            await self.released.wait()
        return web.json_response(answer)

    def recorded(self) -> dict[str, Any]:
        """Return all requests, orders that were carried out, and answers."""
        return {
            "arrivals": [asdict(arrival) for arrival in self.arrivals],
            "carried_out": self.carried_out,
            "answers_by_id": self.answers_by_id,
        }

    async def set_options(self, request: web.Request) -> web.Response:
        """Change the options given in the body; for tests only."""
        options = await request.json()
        for name in ("check_fencing", "honour_keys", "hold"):
            if name in options:
                setattr(self, name, bool(options[name]))
        if not self.hold:
            self.released.set()
            self.released = asyncio.Event()
        return web.json_response({})
