"""End-to-end tests: real processes with stand-ins for the outside systems."""

import asyncio
import json
import signal
import unittest

from yarl import URL

from tests.fakes.platform_site import (
    KEY,
    MODEL,
    ORGANISATION,
    Site,
    configuration,
    gives_vote,
)
from tests.fakes.platform_targets import whole_text
from tests.platform.test_heartbeats import ODD_BODIES

EVENTS_OF_A_LONG_ITEM = 40
"""Several times as many events as those after which an item's progress is
saved, so that it is saved once half of them are sent."""


class WholePathTests(unittest.IsolatedAsyncioTestCase):
    """Guards against faults between the parts, also after kills and stops."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.addAsyncCleanup(self.site.close)
        await self.site.start()

    async def _quotes(self) -> None:
        async def answered() -> bool:
            status, body, headers = await self.site.ask("/quotes/7")
            return (
                status == 200
                and body.endswith(b"/quotes/7")
                and headers["X-Goldcrestyard-Server-Stamp"].startswith("stamp-")
            )

        await self.site.wait(answered, "an answered quote")

    async def test_calls_jobs_versions_and_usage(self) -> None:
        site = self.site
        await self._quotes()
        self.assertEqual((await site.ask("/quotes/1", key="wrong"))[0], 401)
        self.assertEqual((await site.ask("/nowhere/1"))[0], 404)
        await site.submit("job-1", 6)
        results = await site.results("job-1", 6)
        text = whole_text(20)
        for result in results:
            self.assertEqual(
                (result["state"], result["text"], result["versions"]),
                ("complete", text, [1]),
            )
            self.assertEqual(result["score"], f"stamp-r-{result['id']}")
        organisations = {
            run.organisation for engine in site.engines for run in engine.runs
        }
        self.assertEqual(organisations, {ORGANISATION})
        await self._name_version()
        await self._metrics_and_directory()

        async def reported() -> bool:
            return any(counts.get(ORGANISATION) for _, _, counts in site.reports)

        await site.wait(reported, "a usage report")
        by_window = {(window, json.dumps(c)) for _, window, c in site.reports}
        self.assertEqual(len(by_window), len({window for window, _ in by_window}))

    async def test_odd_heartbeats_among_those_of_the_targets(self) -> None:
        """Guards against one odd entry that ends the machines that read it."""
        site = self.site
        leader = await site.leader()
        for _, odd, *odd_id in ODD_BODIES:
            data = odd if isinstance(odd, bytes) else json.dumps(odd).encode()
            path = f"/v1/instances/{odd_id[0] if odd_id else 'i-odd'}"
            url = URL(f"http://{leader.address('ctl')}{path}", encoded=True)
            for _ in range(3):
                status, _, _ = await site.call("PUT", url, data=data)
                self.assertEqual(status, 400)
        # Only a target that announces itself afterwards can answer.
        for target in site.services:
            await target.stop()
        added = site.new_target(9, engine=False)
        site.targets = [*site.engines, added]
        await added.listen()
        added.announce()
        await self._quotes()
        await site.submit("job-1", 4)
        self.assertEqual(len(await site.results("job-1", 4)), 4)
        for process in [*site.controls, *site.fronts]:
            assert process.running is not None
            self.assertIsNone(process.running.returncode)
            events = {line.get("event") for line in process.log_lines()}
            self.assertNotIn("task of the leader failed; restarting it", events)
        self.assertIs(await site.leader(), leader)

    async def _name_version(self) -> None:
        site = self.site
        leader = await site.leader()
        status, _, _ = await site.call(
            "POST",
            f"http://{leader.address('ctl')}/v1/version-put",
            json={"model": MODEL, "version": 2},
        )
        self.assertEqual(status, 200)
        await site.submit("job-2", 2, least_required=2)
        for result in await site.results("job-2", 2):
            self.assertEqual(result["versions"], [2])

    async def _metrics_and_directory(self) -> None:
        site = self.site
        front = site.fronts[0]
        status, body, _ = await site.call("GET", f"http://{front.host}:9464/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"goldcrest_fleet_answers_total", body)
        status, body, _ = await site.call(
            "GET",
            f"http://{site.controls[1].address('dir')}/v1/resolve"
            "?name=h.example&region=north&zone=a",
        )
        self.assertEqual(status, 200)
        self.assertIn(front.address("front"), json.loads(body)["addrs"])

    async def test_leader_killed_while_it_runs_a_job(self) -> None:
        site = self.site
        for engine in site.engines:
            engine.events, engine.event_seconds = EVENTS_OF_A_LONG_ITEM, 0.1
        await site.submit("job", 8)
        leader = await site.leader()

        async def has_begun() -> bool:
            sent = [n for engine in site.engines for n in engine.events_sent.values()]
            return any(n >= EVENTS_OF_A_LONG_ITEM // 2 for n in sent)

        await site.wait(has_begun, "an item of which half is generated")
        await leader.kill()
        results = await site.results("job", 8)
        self.assertEqual({result["state"] for result in results}, {"complete"})
        lengths = {len(result["text"].split("\n")) for result in results}
        self.assertEqual(lengths, {EVENTS_OF_A_LONG_ITEM})
        self.assertEqual(len({result["id"] for result in results}), 8)
        resumed = [run for e in site.engines for run in e.runs if run.resumed_after > 0]
        self.assertTrue(resumed, "items went on where the last leader was")
        await leader.start()
        await self._quotes()

    async def test_disks_wiped_one_after_the_other(self) -> None:
        site = self.site
        await site.submit("job", 3)
        before = await site.results("job", 3)
        for process in site.controls:
            await process.kill(wipe=True)
            await process.start()

            async def is_back(host: str = process.host) -> bool:
                return any(
                    line.get("event") == "membership change finished"
                    and gives_vote(line["step"], host)
                    for control in site.controls
                    for line in control.log_lines()
                )

            await site.wait(is_back, f"{process.name} as a voter")
        self.assertEqual(await site.results("job", 3), before)

    async def test_all_processes_killed_at_once(self) -> None:
        site = self.site
        await site.submit("job", 3)
        before = await site.results("job", 3)
        everyone = [*site.controls, *site.fronts]
        await asyncio.gather(*(process.kill() for process in everyone))
        for process in everyone:
            await process.start()
        self.assertEqual(await site.results("job", 3), before)
        await self._quotes()

    async def test_planned_stop_of_a_front(self) -> None:
        site = self.site
        leaving, staying = site.fronts
        leaving.signal(signal.SIGTERM)

        async def not_ready() -> bool:
            url = f"http://{leaving.address('ready')}/v1/readyz"
            return (await site.call("GET", url))[0] == 503

        await site.wait(not_ready, "the front not to be ready")
        status, _, headers = await site.ask("/quotes/1", leaving)
        self.assertEqual(status, 200)
        self.assertEqual(headers["Connection"], "close")

        async def not_named() -> bool:
            url = f"http://{site.controls[0].address('dir')}/v1/resolve?zone=a"
            _, body, _ = await site.call("GET", url)
            return leaving.address("front") not in body.decode()

        await site.wait(not_named, "the front not to be named")
        assert leaving.running is not None
        self.assertEqual(await leaving.running.wait(), 0)
        self.assertEqual((await site.ask("/quotes/1", staying))[0], 200)

    async def test_withdrawn_key_is_refused_everywhere(self) -> None:
        site = self.site
        other = "nu6wsjnbanfqasnmgkcu"
        await site.put_configuration(configuration(2, (other,)))

        async def is_refused() -> bool:
            answers = [await site.ask("/quotes/1", front, KEY) for front in site.fronts]
            return all(status == 401 for status, _, _ in answers)

        await site.wait(is_refused, "the key to be refused")
        self.assertEqual((await site.ask("/quotes/1", key=other))[0], 200)
        logged = "".join(
            (process.folder / "log").read_text()
            for process in [*site.controls, *site.fronts]
        )
        for key in (KEY, other):
            self.assertNotIn(key, logged)

    async def test_leaving_target_gets_no_new_work(self) -> None:
        site = self.site
        leaving, staying = site.services
        await leaving.drain()
        await asyncio.sleep(0.5)
        count = len(leaving.runs)
        for _ in range(20):
            await self._quotes()
        self.assertEqual(len(leaving.runs), count)
        self.assertGreaterEqual(len(staying.runs), 20)
