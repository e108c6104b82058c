"""The memory of the processes while clients send as much as they may."""

import asyncio
import base64
import io
import json
import random
import signal
import unittest
from dataclasses import dataclass
from typing import Any

import aiohttp
from parameterized import parameterized

from tests.fakes.endless_targets import Bytes, EndlessTarget
from tests.fakes.platform_site import MODEL, RAM_MB_BY_ROLE, Site

LARGE_JOB_BYTES = 10 * 1024 * 1024
ITEMS = 8
ACCEPTED, NO_ROOM = 202, 503
JOBS = 3
ENDLESS_JOB_ITEMS = 28
ANSWER_SECONDS = 10.0


@dataclass(frozen=True)
class LargeJobs:
    """Large jobs that are submitted one after another."""

    name: str
    jobs: int
    ended: bool
    """Whether each is ended before the next one comes."""


class LargeJobTests(unittest.IsolatedAsyncioTestCase):
    """Guards against large jobs that exceed the memory of their keepers."""

    async def asyncSetUp(self) -> None:
        self.site = Site(fronts=1)
        self.addAsyncCleanup(self.site.close)
        await self.site.start(engines=0, services=1)

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                LargeJobs("ended_in_turn", 8, ended=True),
                LargeJobs("left_open", 8, ended=False),
            )
        ]
    )
    async def test_members_keep_within_their_memory(
        self, _: str, case: LargeJobs
    ) -> None:
        accepted = []
        for number in range(case.jobs):
            job = f"job-{number}"
            status, headers = await self._submit(job)
            if status == ACCEPTED:
                accepted.append(job)
            else:
                self.assertEqual(status, NO_ROOM)
                self.assertIn("Retry-After", headers)
            if case.ended:
                await self._end(job)
        self.assertEqual(len(accepted) == case.jobs, case.ended, accepted)
        self.assertTrue(accepted)
        self._check_memory()
        await self._restart_members()
        for job in accepted:
            await self._read(job)
            if not case.ended:
                await self._read_item(job, ITEMS - 1)
        self._check_memory()
        for job in accepted:
            await self._end(job)
        await self._submit_until_accepted("afterwards")
        self._check_memory()

    async def _submit(self, job: str) -> tuple[int, dict[str, str]]:
        """Submit a job, again while it is in doubt or no member leads.

        A trainer does the same.  Both may happen on a machine that is slow.
        """
        front = self.site.fronts[0].address("front")
        answer: tuple[int, dict[str, str]] = (0, {})

        async def submit() -> bool:
            nonlocal answer
            status, body, headers = await self.site.call(
                "POST",
                f"http://{front}/jobs/{job}",
                data=io.BytesIO(large_job(job)),
                headers=self.site._headers(job),
                timeout=aiohttp.ClientTimeout(total=ANSWER_SECONDS),
            )
            answer = status, headers
            return status == ACCEPTED or b"no_room" in body

        await self.site.wait(submit, f"an answer to {job}")
        return answer

    async def _submit_until_accepted(self, job: str) -> None:
        async def submit() -> bool:
            return (await self._submit(job))[0] == ACCEPTED

        await self.site.wait(submit, f"the acceptance of {job}")

    async def _read(self, job: str) -> None:
        async def read() -> bool:
            return await self.site.page(job) is not None

        await self.site.wait(read, f"the results of {job}")

    async def _read_item(self, job: str, number: int) -> None:
        """Read the body of an item, which comes in several parts."""
        front = self.site.fronts[0].address("front")
        url = f"http://{front}/v1/items/{job}?id={job}-{number}"

        async def read() -> bool:
            status, body, _ = await self.site.call(
                "GET", url, headers=self.site._headers(job)
            )
            self.assertIn(status, (200, 503))
            if status == 200:
                self.assertEqual(body, item_body(job, number))
            return status == 200

        await self.site.wait(read, f"the body of an item of {job}")

    async def _end(self, job: str) -> None:
        front = self.site.fronts[0].address("front")

        async def end() -> bool:
            status, _, _ = await self.site.call(
                "DELETE",
                f"http://{front}/v1/lots/{job}",
                headers=self.site._headers(job),
            )
            return status in (200, 404)

        await self.site.wait(end, f"the end of {job}")

    async def _restart_members(self) -> None:
        for process in self.site.controls:
            process.signal(signal.SIGKILL)
        for process in self.site.controls:
            await process.kill()
            await process.start()
        await self.site.leader()

    def _check_memory(self) -> None:
        for process in [*self.site.controls, *self.site.fronts]:
            limit = RAM_MB_BY_ROLE[process.role]
            self.assertLess(process.peak_mb(), limit, process.name)


@dataclass(frozen=True)
class EndlessAnswers:
    """Targets that send bytes without end beside sound ones."""

    name: str
    kind: Bytes
    engines: bool
    targets: int = 2
    callers: int = 0
    """Number of callers at a time of the service of the targets."""


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against answers without end that fill the memory of a process.

    The requests of others at the process would end with it.
    """

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                EndlessAnswers("scores", Bytes.BODY, engines=False, targets=4),
                EndlessAnswers(
                    "event_of_an_item", Bytes.EVENT, engines=True, targets=4
                ),
                EndlessAnswers("events_of_an_item", Bytes.EVENTS, engines=True),
                EndlessAnswers("answers", Bytes.BODY, engines=False, callers=24),
            )
        ]
    )
    async def test_processes_keep_within_their_memory(
        self, _: str, case: EndlessAnswers
    ) -> None:
        site = Site(fronts=1)
        self.addAsyncCleanup(site.close)
        await site.start(engines=5, services=2)
        for target in site.services:
            target.answer_seconds = 0.2
        for number in range(case.targets):
            target = site.new_target(20 + number, engine=case.engines)
            endless = EndlessTarget(target, case.kind)
            self.addAsyncCleanup(endless.stop)
            await endless.start()
        callers = [asyncio.create_task(self._call(site)) for _ in range(case.callers)]
        await asyncio.gather(*(self._train(site, f"job-{n}") for n in range(JOBS)))
        for caller in callers:
            caller.cancel()
        for process in [*site.controls, *site.fronts]:
            limit = RAM_MB_BY_ROLE[process.role]
            self.assertLess(process.peak_mb(), limit, process.name)

    async def _train(self, site: Site, job: str) -> None:
        await site.submit(job, ENDLESS_JOB_ITEMS)
        listed = await site.results(job, ENDLESS_JOB_ITEMS)
        self.assertEqual({result["state"] for result in listed}, {"complete"})

    async def _call(self, site: Site) -> None:
        while True:
            await site.ask("/quotes/x")


def item_body(job: str, number: int) -> bytes:
    """Return the body of an item, which does not compress."""
    return random.Random(f"{job}-{number}").randbytes(LARGE_JOB_BYTES // ITEMS)


def large_job(job: str) -> bytes:
    """Return the body of a job with large items."""
    requests: list[dict[str, Any]] = [
        {
            "id": f"{job}-{number}",
            "path": f"/jobs/{number}",
            "headers": {"X-Goldcrestyard-Model": MODEL},
            "body": base64.b64encode(item_body(job, number)).decode(),
            "tokens": 100,
            "group": "g",
        }
        for number in range(ITEMS)
    ]
    document = {"step": 0, "model": MODEL, "least_required": 1, "requests": requests}
    return json.dumps({**document, "group_count": 1}).encode()
