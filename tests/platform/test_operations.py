"""Tests that the steps of docs/OPERATIONS.md lead from an id to the cause.

Each test provokes a failure at a stand-in and follows the steps of the page,
using only the logs.
"""

import asyncio
import unittest
from typing import Any

from tests.fakes.platform_site import Site
from tests.fakes.platform_targets import StandInTarget


class OperationsTests(unittest.IsolatedAsyncioTestCase):
    """Guards against failures whose cause the logs do not show."""

    async def asyncSetUp(self) -> None:
        self.site = Site(fronts=1)
        self.addAsyncCleanup(self.site.close)
        await self.site.start()

    def _lines(self, **wanted: str) -> list[dict[str, Any]]:
        """Return the log lines of all machines with these fields, by time."""
        lines = [
            line
            for process in [*self.site.controls, *self.site.fronts]
            for line in process.log_lines()
            if all(line.get(name) == value for name, value in wanted.items())
        ]
        return sorted(lines, key=lambda line: line["timestamp"])

    async def _wait_lines(self, count: int, **wanted: str) -> list[dict[str, Any]]:
        async def written() -> bool:
            return len(self._lines(**wanted)) >= count

        await self.site.wait(written, f"{count} lines with {wanted}")
        return self._lines(**wanted)

    async def test_refused_live_request(self) -> None:
        for target in self.site.services:
            await target.stop()
        request = self.site.marker()
        status, _, _ = await self.site.ask("/once/1", request_id=request)
        self.assertEqual(status, 503)
        (answer,) = await self._wait_lines(1, request=request, event="caller answered")
        self.assertEqual(answer["verdict"], "not_run")
        attempts = self._lines(request=request, event="attempt ended")
        self.assertTrue(attempts)
        for attempt in attempts:
            self.assertIn("Unreached", attempt["outcome"])
            arrivals = self._lines(
                target=attempt["target"], event="heartbeat registers target"
            )
            self.assertEqual(arrivals[0]["service"], "plain")
        silent = await self._wait_lines(
            1, event="target missed its heartbeats; removing it"
        )
        self.assertIn(silent[0]["target"], {target.id for target in self.site.services})

    async def test_item_cut_off_by_an_engine(self) -> None:
        for engine in self.site.engines:
            engine.event_seconds = 0.1
        await self.site.submit("job", 4)

        def working() -> list[StandInTarget]:
            return [e for e in self.site.engines if sum(e.in_progress.values()) > 0]

        async def runs_somewhere() -> bool:
            return bool(working())

        # On a busy test machine the leader may receive the first heartbeat of
        # one engine only after the other has run all items.
        await self.site.wait(runs_somewhere, "an item at an engine")
        failing = working()[0]
        await asyncio.sleep(0.5)
        await failing.stop()
        await self.site.results("job", 4)
        cut = [
            line
            for line in self._lines(job="job", event="item run ended")
            if "BrokenOff" in line["outcome"]
        ]
        self.assertTrue(cut)
        for line in cut:
            self.assertEqual(line["target"], failing.id)
            runs = self._lines(item=line["item"], event="item run ended")
            self.assertEqual(runs[-1]["resumed_after"], line["last_event"])
            self.assertNotEqual(runs[-1]["target"], failing.id)
            self.assertTrue(self._lines(item=line["item"], event="item listed"))

    async def test_step_that_came_late(self) -> None:
        for engine in self.site.engines:
            engine.event_seconds = 0.15
        await self.site.submit("job", 4)

        async def all_run() -> bool:
            return sum(len(engine.runs) for engine in self.site.engines) >= 4

        await self.site.wait(all_run, "all items at engines")
        # The progress of an item is saved with its sixth event, after 0.9 s,
        # or up to 0.4 s later; generating the whole text takes 3 s.
        await asyncio.sleep(2.0)
        leader = await self.site.leader()
        await leader.kill()
        await self.site.results("job", 4)
        (submitted, *_) = await self._wait_lines(1, job="job", event="job submitted")
        listed = (await self._wait_lines(4, job="job", event="item listed"))[-1]
        self.assertNotEqual(listed["instance"], leader.name)
        between = [
            line
            for line in self._lines(event="leadership changed", role="leader")
            if submitted["timestamp"] < line["timestamp"] < listed["timestamp"]
        ]
        self.assertTrue(between, "the change of the leader explains the gap")
        runs = self._lines(item=listed["item"], event="item run ended")
        self.assertGreater(runs[-1]["resumed_after"], 0)
