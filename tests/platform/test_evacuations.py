"""Evacuated data centres, with real processes."""

import asyncio
import contextlib
import json
import time
import unittest
from dataclasses import dataclass
from typing import Any

from parameterized import parameterized

from tests.fakes.platform_site import KEY, Process, Site, configuration

ZONE = "a"
EVACUATION_SECONDS = 5.0
"""Time from the answer until nothing more may be sent there."""

MEASURED_SECONDS = 3.0
LONG_REQUEST_SECONDS = 20
REQUESTS = 24
ITEMS = 24


@dataclass(frozen=True)
class LossCase:
    """What is killed right after the answer."""

    name: str
    leader_killed: bool = False
    all_killed: bool = False


LOSS_CASES = [
    LossCase("calm"),
    LossCase("leader_killed", leader_killed=True),
    LossCase("all_killed", all_killed=True),
]


class EvacuationTestCase(unittest.IsolatedAsyncioTestCase):
    """A site with an engine and a plain target in data centre ``a``."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()

    async def order(
        self, method: str, zone: str = ZONE, expected: int = 200
    ) -> dict[str, Any]:
        """Send an order to any control member until it is answered."""
        found: list[bytes] = []

        async def answered() -> bool:
            for process in self.site.controls:
                url = f"http://{process.address('ctl')}/v1/evacuate/{zone}"
                status, body, _ = await self.site.call(method, url)
                if status == expected:
                    found.append(body)
                    return True
                self.assertIn(status, (0, 503))
            return False

        await self.site.wait(answered, f"{method} {zone}")
        answer: dict[str, Any] = json.loads(found[0])
        return answer

    async def load(self) -> None:
        """Send requests of callers to both fronts until cancelled."""
        while True:
            await self.ask_all()

    async def ask_all(
        self, path: str = "/score/1", *, key: str | None = None, seconds: float = 2.5
    ) -> list[tuple[int, bytes, dict[str, str]]]:
        return list(
            await asyncio.gather(
                *(
                    self.site.ask(path, front, key=key, seconds=seconds)
                    for front in self.site.fronts
                    for _ in range(REQUESTS // 2)
                )
            )
        )

    def last_run(self, zone: str = ZONE) -> float:
        """Return the time of the latest request to a zone's targets, or 0."""
        times = (
            run.started_at
            for target in self.site.targets
            if target.zone == zone
            for run in target.runs
        )
        return max(times, default=0.0)


class EnforcementTests(EvacuationTestCase):
    """Guards against requests to an evacuated data centre, of any process."""

    @parameterized.expand([(case.name, case) for case in LOSS_CASES])
    async def test_nothing_is_sent_there(self, _: str, case: LossCase) -> None:
        site = self.site
        await site.submit("before", ITEMS)
        await site.results("before", ITEMS)
        load = asyncio.create_task(self.load())
        await asyncio.sleep(1.0)
        there = [target for target in site.targets if target.zone == ZONE]
        self.assertTrue(all(target.runs for target in there))
        await self.order("POST")
        answered_at = time.time()
        killed: list[Process] = []
        if case.leader_killed:
            killed = [await site.leader()]
        elif case.all_killed:
            killed = [*site.controls, *site.fronts]
        await asyncio.gather(*(process.kill() for process in killed))
        await asyncio.gather(*(process.start() for process in killed))
        await site.wait(site.all_serve, "fronts that serve")
        await asyncio.sleep(
            max(0.0, answered_at + EVACUATION_SECONDS - time.time()) + MEASURED_SECONDS
        )
        await site.submit("during", ITEMS)
        await site.results("during", ITEMS)
        load.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await load
        statuses = {status for status, _, _ in await self.ask_all()}
        self.assertEqual({200}, statuses)
        self.assertLess(self.last_run(), answered_at + EVACUATION_SECONDS)
        # Without this, a target that nobody uses for another reason passes.
        await self.order("DELETE")
        ended_at = time.time()

        async def used() -> bool:
            await self.ask_all()
            return self.last_run() > ended_at

        await site.wait(used, "requests after the end of the evacuation")

    async def test_running_requests_finish(self) -> None:
        site = self.site
        document = configuration(2)
        for route in document["routes"]:
            route["timeout_ms"] = LONG_REQUEST_SECONDS * 1000
        await site.put_configuration(document)
        (plain,) = [target for target in site.services if target.zone == ZONE]
        plain.answers_allowed = asyncio.Event()
        before = self.last_run()
        # A request that may be repeated would be hedged, and end elsewhere.
        asked = asyncio.create_task(
            self.ask_all("/once/1", key=KEY, seconds=LONG_REQUEST_SECONDS)
        )

        async def begun() -> bool:
            return self.last_run() > before

        await site.wait(begun, "requests in progress")
        await self.order("POST")

        async def counted() -> bool:
            return (await self.order("GET"))["running"] > 0

        await site.wait(counted, "running requests in the report")
        plain.answers_allowed.set()
        self.assertEqual({200}, {status for status, _, _ in await asked})

        async def over() -> bool:
            return (await self.order("GET"))["running"] == 0

        await site.wait(over, "the end of the running requests")


class OrderTests(EvacuationTestCase):
    """Guards against orders that are lost, or differ when sent again."""

    async def test_repeated_orders(self) -> None:
        self.assertEqual("none", (await self.order("GET"))["state"])
        states = []
        for method in ("POST", "POST", "GET", "DELETE", "DELETE", "GET", "POST"):
            await self.order(method)
            states.append(await self.order("GET"))
        requested, again, _, ended, ended_again, _, anew = states
        self.assertEqual("in_force", requested["state"])
        self.assertEqual(requested, again)
        self.assertTrue(requested["requester"].startswith("127."))
        self.assertEqual("ended", ended["state"])
        self.assertEqual(ended, ended_again)
        self.assertEqual("in_force", anew["state"])
        self.assertEqual(ended["ended_at"], anew["ended_at"])

    async def test_unknown_data_centre(self) -> None:
        for method in ("POST", "DELETE", "GET"):
            await self.order(method, "nowhere", 404)

    async def test_requests_are_refused_when_all_targets_are_evacuated(self) -> None:
        """A refusal must be at once, and true: none of them runs later."""
        for zone in ("a", "b", "c"):
            await self.order("POST", zone)
        await asyncio.sleep(EVACUATION_SECONDS)
        before = [len(target.runs) for target in self.site.targets]
        began = time.monotonic()
        answers = await self.ask_all()
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual({503}, {status for status, _, _ in answers})
        for _, _, headers in answers:
            self.assertGreater(float(headers["Retry-After"]), 0.0)
        await asyncio.sleep(1.0)
        self.assertEqual(before, [len(target.runs) for target in self.site.targets])
