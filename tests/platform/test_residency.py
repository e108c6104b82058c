"""Home regions, with real processes in two regions."""

import asyncio
import json
import unittest
from typing import Any

from tests.fakes.platform_site import HOST, KEY, Process, Site, configuration

NORTH, SOUTH = ["north"], ["south"]
CALLS = 30


class HomeRegionTests(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies that leave the home regions.

    Two services are in the north and one is in the south; the third front is
    in the south.
    """

    async def asyncSetUp(self) -> None:
        self.site = Site(fronts=3)
        self.addAsyncCleanup(self.site.close)
        await self.site.start(engines=1, services=3)
        self.south_front = self.site.fronts[2]
        self.version = 1
        self.north = [target for target in self.site.services if target.zone != "c"]
        (self.south,) = [target for target in self.site.services if target.zone == "c"]

    def _document(self, **homes_by_route: list[str]) -> dict[str, Any]:
        """Return the next document, with a route that shows its presence."""
        self.version += 1
        document = configuration(self.version)
        (quotes,) = [r for r in document["routes"] if r["name"] == "quotes"]
        marker = f"v{self.version}"
        document["routes"].append(
            {**quotes, "name": marker, "path_prefix": f"/{marker}/"}
        )
        for route in document["routes"]:
            route["home_regions"] = homes_by_route.get(route["name"], [])
        return document

    async def _put(self, **homes_by_route: list[str]) -> None:
        """Put a document and wait until it is in force on all fronts."""
        await self.site.put_configuration(self._document(**homes_by_route))

        async def in_force() -> bool:
            answers = [
                await self.site.ask(f"/v{self.version}/", front)
                for front in self.site.fronts
            ]
            return all(status == 200 for status, _, _ in answers)

        await self.site.wait(in_force, "the document to be in force")

    async def _ask(self, front: Process) -> list[int]:
        answers = await asyncio.gather(
            *(self.site.ask("/quotes/home", front) for _ in range(CALLS))
        )
        return [status for status, _, _ in answers]

    def _asked(self) -> tuple[int, int]:
        """Return how many calls the targets of both regions have run."""
        north, south = (
            sum(run.path == "/quotes/home" for target in targets for run in target.runs)
            for targets in (self.north, [self.south])
        )
        return north, south

    async def test_calls_stay_at_home_with_retries_and_hedges(self) -> None:
        await self._put(quotes=NORTH)
        failing, slow = self.north
        failing.failing, slow.answer_seconds = True, 0.5
        statuses = await self._ask(self.south_front)
        north, south = self._asked()
        self.assertEqual(south, 0)
        self.assertGreater(north, CALLS, "no call was retried or hedged")
        self.assertIn(200, statuses)
        # A change of the homes is in force like any change of the document.
        failing.failing = False
        await self._put(quotes=SOUTH)
        self.assertIn(200, await self._ask(self.site.fronts[0]))
        self.assertEqual(self._asked()[0], north)
        self.assertGreater(self._asked()[1], 0)

    async def test_no_target_at_home(self) -> None:
        await self.south.stop()
        await self._put(quotes=SOUTH)

        async def is_gone() -> bool:
            _, body, _ = await self.site.ask("/quotes/home", self.south_front)
            return b"residency" in body

        await self.site.wait(is_gone, "the target in the south to be gone")
        asked = self._asked()
        status, body, headers = await self.site.ask("/quotes/home", self.south_front)
        self.assertEqual((status, json.loads(body)["error"]), (503, "residency"))
        self.assertIn("Retry-After", headers)
        self.assertEqual(self._asked(), asked)
        self.assertEqual(asked[0], 0)

    async def test_job_that_may_not_be_stored(self) -> None:
        site = self.site
        for homes in ({"jobs": NORTH}, {"score": SOUTH}):
            await self._put(**homes)
            statuses = [await self._submit(front) for front in site.fronts]
            self.assertEqual(statuses, [(503, "residency")] * len(site.fronts))
        await self._put(jobs=[*SOUTH, *NORTH])
        url = f"http://{site.fronts[0].address('front')}/v1/lots/job"
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        status, _, _ = await site.call("GET", url, headers=headers)
        self.assertEqual(status, 404, "the job was stored")
        await site.submit("job", 2)
        self.assertEqual(len(await site.results("job", 2)), 2)

    async def _submit(self, front: Process) -> tuple[int, str]:
        item = {
            "id": "i",
            "path": "/jobs/1",
            "headers": {"X-Goldcrestyard-Model": "m1"},
            "body": "",
            "tokens": 1,
            "group": "g",
            "scorer": {"id": "r", "host": HOST, "path": "/score/x", "body": ""},
        }
        document = {
            "step": 0,
            "model": "m1",
            "least_required": 1,
            "group_count": 1,
            "requests": [item],
        }
        status, body, _ = await self.site.call(
            "POST",
            f"http://{front.address('front')}/jobs/job",
            json=document,
            headers={
                "Host": HOST,
                "X-Goldcrestyard-Attempt-Id": "job",
                "Authorization": f"Bearer {KEY}",
            },
        )
        return status, json.loads(body).get("error", "")

    async def test_directory_names_entries_at_home(self) -> None:
        north = {front.address("front") for front in self.site.fronts[:2]}
        south = {self.south_front.address("front")}

        async def all_named() -> bool:
            return await self._named("") == north | south

        await self.site.wait(all_named, "all entries to be named")
        await self._put(**dict.fromkeys(("quotes", "once", "jobs"), SOUTH))
        for control in self.site.controls:
            for region, expected in (("", south), ("north", north)):

                async def names(
                    control: Process = control,
                    region: str = region,
                    expected: set[str] = expected,
                ) -> bool:
                    return await self._named(region, control) == expected

                await self.site.wait(names, f"{control.name} to name {expected}")
        self.assertEqual(await self._named("", host="other"), north | south)

    async def _named(
        self, region: str, control: Process | None = None, host: str = HOST
    ) -> set[str]:
        control = control or self.site.controls[0]
        url = f"http://{control.address('dir')}/v1/resolve?name={host}&region={region}"
        _, body, _ = await self.site.call("GET", url)
        return set(json.loads(body).get("addrs", []))

    async def test_unknown_home_changes_nothing(self) -> None:
        await self._put(quotes=NORTH)
        leader = await self.site.leader()
        url = f"http://{leader.address('ctl')}/v1/config"
        before = (await self.site.call("GET", url))[1]
        for homes in (["north", "east"], "north", [1]):
            document = self._document()
            document["routes"][0]["home_regions"] = homes
            status, _, _ = await self.site.call("PUT", url, json=document)
            self.assertEqual(status, 400)
        self.assertEqual((await self.site.call("GET", url))[1], before)
