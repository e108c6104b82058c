"""Manifests in quick succession, each with other prefixes on 700 routes."""

import asyncio
import time

import aiohttp

from review.small_site import BROKEN, HELD, TROUBLE, Record, SmallSite, main
from tests.fakes.platform_site import HOST, KEY, configuration

ROUTES = 700
CHANGES = 12
GAP_SECONDS = 0.33
TIMEOUT_SECONDS = 1.2
GRACE_SECONDS = 0.5
LEAST_REQUESTS = 10


def _manifest(version: int, generation: int) -> dict:
    document = configuration(version)
    for route in document["routes"]:
        if route["name"] == "quotes":
            route["timeout_ms"] = int(TIMEOUT_SECONDS * 1000)
    document["routes"] += [
        {
            "name": f"r-{generation}-{number}",
            "host": HOST,
            "path_prefix": f"/g{generation}x{number}/",
            "type": "idempotent",
            "timeout_ms": 3000,
            "slo_ms": 800,
            "attempts": 3,
            "service": "plain",
        }
        for number in range(ROUTES)
    ]
    return document


class Clients:
    """Sends a request to each front ten times a second."""

    def __init__(self, site: SmallSite, record: Record) -> None:
        """Create clients that send nothing yet."""
        self._site = site
        self._record = record
        self.seconds: list[float] = []
        """Time until the answer or the end of the channel."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            for front in self._site.fronts:
                task = asyncio.create_task(self._ask(front.address("front")))
                self._tasks.add(task)
            await asyncio.sleep(0.1)

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, address: str) -> None:
        id_ = self._site.marker()
        headers = {
            "Host": HOST,
            "X-Goldcrestyard-Attempt-Id": id_,
            "X-Goldcrestyard-Deadline-Ms": str(int(TIMEOUT_SECONDS * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        began = time.monotonic()
        try:
            async with self._site.session.post(
                f"http://{address}/quotes/1",
                data=b"body",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=15),
            ) as answer:
                await answer.read()
                outcome: object = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = type(error).__name__
        seconds = time.monotonic() - began
        self.seconds.append(seconds)
        self._record.note(
            "request", id=id_, front=address, outcome=outcome, seconds=round(seconds, 3)
        )


async def case(record: Record) -> int:
    """Run the case and return its result."""
    site = SmallSite()
    try:
        await site.start()
        await site.put_configuration(_manifest(2, 0))
        record.note("manifest acknowledged", version=2, routes=ROUTES)
        await asyncio.sleep(5.0)
        clients = Clients(site, record)
        sending = asyncio.create_task(clients.run())
        await asyncio.sleep(2.0)
        began = time.monotonic()
        for generation in range(1, CHANGES + 1):
            if not TROUBLE:
                await asyncio.sleep(GAP_SECONDS)
                continue
            if time.monotonic() - began > 45.0:
                record.note("no time for further changes", sent=generation - 1)
                break
            put_at = time.monotonic()
            await site.put_configuration(_manifest(2 + generation, generation))
            record.note(
                "manifest acknowledged",
                version=2 + generation,
                seconds=round(time.monotonic() - put_at, 2),
            )
            await asyncio.sleep(GAP_SECONDS)
        await asyncio.sleep(2.0)
        sending.cancel()
        await clients.finish()
        held = [s for s in clients.seconds if s > TIMEOUT_SECONDS]
        late = [s for s in held if s > TIMEOUT_SECONDS + GRACE_SECONDS]
        record.note(
            "requests",
            sent=len(clients.seconds),
            unanswered_at_timeout=len(held),
            unanswered_half_a_second_later=len(late),
            longest=round(max(clients.seconds), 2),
        )
        broken = len(late) >= LEAST_REQUESTS and 2 * len(late) > len(held)
        return BROKEN if broken else HELD
    finally:
        await site.close()


if __name__ == "__main__":
    main(case, __file__)
