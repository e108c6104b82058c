"""Requests that reach a front late in its planned stop."""

import asyncio
import signal
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from tests.fakes.platform_site import HOST, KEY, Process, Site

IDLE_END_SECONDS = 5.7
"""Time from SIGTERM after which a front without a running request ends."""

GRACE_SECONDS = 8.0
"""Time from SIGTERM to SIGKILL, as in the settings of the site."""


@dataclass(frozen=True)
class LateCase:
    """Requests on a kept connection until the process is gone."""

    name: str
    path: str
    work_seconds: float
    """Time that the target works on each request."""


class LateRequestTests(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that a stopping front takes and cuts off."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                LateCase("may_run_once", "/once/7", 2.0),
                LateCase("may_be_repeated", "/quotes/7", 2.0),
                LateCase("results_read", "/v1/lots/job?after=1", 0.0),
            )
        ]
    )
    async def test_each_request_gets_a_whole_answer(
        self, _: str, case: LateCase
    ) -> None:
        site = self.site
        front = site.fronts[0]
        await site.submit("job", 1)
        for engine in site.engines:
            engine.event_seconds = 1.0
        connections = [
            LateConnection(site, case.path, f"late-{number}", 3.2 + 0.3 * number)
            for number in range(12)
        ]
        await asyncio.gather(*(each.open() for each in connections))
        for target in site.services:
            target.answer_seconds = case.work_seconds
        front.signal(signal.SIGTERM)
        kill = asyncio.create_task(self._kill_after_grace(front))
        await asyncio.gather(*(each.ask() for each in connections))
        await kill
        ran = {run.id for target in site.services for run in target.runs}
        for each in connections:
            # One that crosses the close and is not passed on is not lost.
            crossed = each.id not in ran and each.delay_seconds > IDLE_END_SECONDS
            self.assertTrue(each.status or crossed, f"{each.id} was cut off")
            refused_though_run = each.status == 503 and each.id in ran
            self.assertFalse(refused_though_run and case.path.startswith("/once/"))
        self.assertIn(200, {each.status for each in connections})
        assert front.running is not None
        self.assertEqual(front.running.returncode, 0, "not stopped in time")

    async def _kill_after_grace(self, front: Process) -> None:
        """Kill the process as the platform does."""
        assert front.running is not None
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await front.running.wait()
        except TimeoutError:
            await front.kill()


class LateConnection:
    """A connection on which a request is sent late in the stop."""

    def __init__(self, site: Site, path: str, name: str, delay_seconds: float):
        self.id = name
        self.delay_seconds = delay_seconds
        self.status = 0
        """0 if the connection ended without a whole answer."""
        self._path = path
        self._host, _, self._port = site.fronts[0].address("front").partition(":")

    async def open(self) -> None:
        """Connect, and have a first request answered."""
        self._reader, self._writer = await asyncio.open_connection(
            self._host, int(self._port)
        )
        assert await self._answer("/quotes/1", f"first-{self.id}") == 200

    async def ask(self) -> None:
        """Send the late request; record the status of its whole answer."""
        await asyncio.sleep(self.delay_seconds)
        try:
            self.status = await self._answer(self._path, self.id)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writer.close()

    async def _answer(self, path: str, request_id: str) -> int:
        method = "GET" if path.startswith("/v1/") else "POST"
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Goldcrestyard-Attempt-Id: {request_id}\r\n"
            f"Authorization: Bearer {KEY}\r\nX-Goldcrestyard-Wait-Ms: 1000\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        self._writer.write(request.encode())
        await self._writer.drain()
        head = await self._reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await self._reader.readexactly(int(line.partition(b":")[2]))
        return int(head.split()[1])
