"""A stand-in for a weight store that limits the rate of requests."""

import argparse
import asyncio
import hashlib
import signal
import time
from collections import Counter, deque
from dataclasses import dataclass, field

from aiohttp import web


def content_of(model: str, version: str, size: int) -> bytes:
    """Return the content of a version, which its name determines."""
    block = hashlib.sha256(f"{model}/{version}".encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def digest_of(model: str, version: str, size: int) -> str:
    """Return the digest of the content of a version."""
    return hashlib.sha256(content_of(model, version, size)).hexdigest()


@dataclass
class WeightStore:
    """State of the stand-in store.

    ``refuse_first`` and ``damage_first`` count the requests that are still to
    be refused or answered with damaged content.
    """

    size: int
    requests_per_second: int
    refuse_first: int = 0
    damage_first: int = 0
    requests_at: deque[float] = field(default_factory=deque)
    sent: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    retry_after: int = 1
    retry_allowed_at: float = 0.0
    early: int = 0
    """Requests that arrived before the last ``retry-after`` had passed."""

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Send a version, or refuse it when the rate is exceeded."""
        self.early += time.monotonic() < self.retry_allowed_at
        if self._is_over_rate():
            self.refused += 1
            self.retry_allowed_at = time.monotonic() + self.retry_after
            return web.json_response(
                {"error": "too many requests"},
                status=429,
                headers={"retry-after": str(self.retry_after)},
            )
        model, version = request.match_info["model"], request.match_info["version"]
        content = content_of(model, version, self.size)
        self.sent[f"{model}/{version}"] += 1
        if self.damage_first:
            self.damage_first -= 1
            content = b"damaged" + content[7:]
        return web.Response(body=content)

    async def state(self, _: web.Request) -> web.StreamResponse:
        """Return the counts of requests; for tests only."""
        return web.json_response(
            {"sent": dict(self.sent), "refused": self.refused, "early": self.early}
        )

    def _is_over_rate(self) -> bool:
        if self.refuse_first:
            self.refuse_first -= 1
            return True
        now = time.monotonic()
        while self.requests_at and self.requests_at[0] < now - 1:
            self.requests_at.popleft()
        if len(self.requests_at) >= self.requests_per_second:
            return True
        self.requests_at.append(now)
        return False


async def serve(options: argparse.Namespace) -> None:
    """Run the stand-in until SIGTERM."""
    store = WeightStore(
        options.size,
        options.requests_per_second,
        options.refuse_first,
        options.damage_first,
        retry_after=options.retry_after,
    )
    app = web.Application()
    app.router.add_get("/fake/state", store.state)
    app.router.add_get("/{model}/{version}", store.get)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for a weight store.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--size", type=int, default=4 * 1024 * 1024)
    parser.add_argument("--requests-per-second", type=int, default=10)
    parser.add_argument("--refuse-first", type=int, default=0)
    parser.add_argument("--retry-after", type=int, default=1)
    parser.add_argument("--damage-first", type=int, default=0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
