"""Planned stop of an entry by SIGTERM.

Guards against requests that fail in any phase of a planned stop, against
targets that are reported lost because their entry stops, and against a stop
that never ends.
"""

import asyncio
import signal

import aiohttp

from demo.deployment import Deployment, wait_for
from tests.fakes.deployments import DeploymentTestCase, two_regions
from tests.fakes.following_callers import FollowingCaller

MODEL = "inspect-lm"
STOPPED_INDEX = 2
ADDRESS_TTL_SECONDS = 1.0


class PlannedStopTests(DeploymentTestCase):
    """A stop with requests and streams under way."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(
            two_regions(),
            overrides_by_section={
                "addresses": {"ttl_seconds": ADDRESS_TTL_SECONDS},
                "instance": {"drain_seconds": 60.0},
            },
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.entry = self.deployment.instances[STOPPED_INDEX]
        self.key = await self.deployment.add_organisation("tejo")
        self.engine = await self.deployment.start_engine(
            "engine-1", MODEL, self.entry, token_seconds=0.05
        )

        async def known(session: aiohttp.ClientSession) -> bool:
            headers = {"authorization": f"Bearer {self.key}"}
            for instance in self.deployment.instances:
                url = f"http://{instance.public}/v1/models"
                async with session.get(url, headers=headers) as answer:
                    if answer.status != 200:
                        return False
            return True

        await wait_for(known, "the key to be known")

    def caller(self, stream: bool, max_tokens: int) -> FollowingCaller:
        # The caller gets the address list from the other entries, sorted for
        # the data centre of the stopped entry, which is first while listed.
        others = [i.public for i in self.deployment.instances if i is not self.entry]
        return FollowingCaller(
            others, self.key, MODEL, self.entry.data_centre, stream, max_tokens
        )

    async def stop_entry(self) -> int:
        process = self.entry.process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(90):
            return await process.wait()

    async def test_no_request_of_following_callers_fails(self) -> None:
        # Short requests start around the time at which the listener closes;
        # long ones (3 s) are still running then.
        callers = [
            self.caller(stream, max_tokens)
            for stream in (False, True)
            for max_tokens in (1, 3, 60)
            for _ in range(2)
        ]
        load = asyncio.gather(*(caller.run() for caller in callers))
        base_url = f"http://{self.entry.public}/v1"

        async def all_served(_: object) -> bool:
            return all(base_url in caller.served_by for caller in callers)

        await wait_for(all_served, "each caller to use the entry")
        code = await self.stop_entry()
        before = [sum(caller.served_by.values()) for caller in callers]

        async def all_moved(_: object) -> bool:
            return all(
                sum(caller.served_by.values()) > count + 1
                for caller, count in zip(callers, before, strict=True)
            )

        await wait_for(all_moved, "each caller to be served elsewhere")
        for caller in callers:
            caller.stopping = True
        await load
        self.assertEqual([f for caller in callers for f in caller.failures], [])
        self.assertEqual(code, 0)
        told = set[str]().union(*(caller.told_to_leave for caller in callers))
        self.assertEqual(told, {base_url})

    async def test_stream_longer_than_the_entry_lease_is_not_cut(self) -> None:
        # The entry must go on renewing its lease (5 s) while it drains.
        caller = self.caller(True, 160)
        caller.entries = [self.entry.public]
        running = asyncio.create_task(caller.run())

        async def started(session: aiohttp.ClientSession) -> bool:
            async with session.get(f"http://{self.engine}/fake/state") as answer:
                return (await answer.json())["running"] > 0

        await wait_for(started, "the stream to run")
        caller.stopping = True
        self.assertEqual(await self.stop_entry(), 0)
        await running
        self.assertEqual(caller.failures, [])
        self.assertEqual(sum(caller.served_by.values()), 1)

    async def test_targets_of_the_stopped_entry_stay_registered(self) -> None:
        # The targets renew at another entry; the stopping one must not report
        # them lost while it waits for a long request.
        caller = self.caller(True, 240)
        caller.entries = [self.entry.public]
        running = asyncio.create_task(caller.run())
        await asyncio.sleep(0)
        caller.stopping = True
        process = self.entry.process
        assert process is not None
        engine = await self.announce_at_stopped_entry()
        watching = asyncio.create_task(self.watch(engine))
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(90):
            await process.wait()
        await running
        self.assertEqual(caller.failures, [])
        self.assertFalse(watching.done(), "the engine was reported lost")
        watching.cancel()

    async def watch(self, engine: str) -> None:
        """Poll the leader and return when it no longer lists the engine."""
        while True:
            targets = (await self.deployment.operate("GET", "/targets"))["targets"]
            if engine not in [target["target"]["id"] for target in targets]:
                return
            await asyncio.sleep(0.05)

    async def announce_at_stopped_entry(self) -> str:
        """Start an engine whose first home is the entry to be stopped."""
        entries = self.deployment.entries
        ordered = [entries[STOPPED_INDEX], *entries[:STOPPED_INDEX]]
        name = "engine-2"
        await self.deployment.start_process(
            name,
            "demo.fakes.engine",
            f"--id={name}",
            "--port=0",
            f"--entries={','.join(ordered)}",
            f"--token={self.deployment.target_token}",
            "--model=other-lm",
            f"--data-centre={self.entry.data_centre}",
            f"--region={self.entry.region}",
        )
        await self.deployment.wait_target(name)
        return name


class DrainLimitTests(DeploymentTestCase):
    """A stop that has to end before its requests or without a leader."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(
            two_regions(),
            overrides_by_section={
                "addresses": {"ttl_seconds": 0.5},
                "instance": {"drain_seconds": 1.0},
            },
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_request_past_the_drain_limit_ends_with_an_error(self) -> None:
        entry = self.deployment.instances[STOPPED_INDEX]
        key = await self.deployment.add_organisation("tejo")
        engine = await self.deployment.start_engine(
            "engine-1", MODEL, entry, token_seconds=1.0
        )
        caller = FollowingCaller(
            [entry.public], key, MODEL, entry.data_centre, True, 300
        )

        async def known(session: aiohttp.ClientSession) -> bool:
            headers = {"authorization": f"Bearer {key}"}
            url = f"http://{entry.public}/v1/models"
            async with session.get(url, headers=headers) as answer:
                return answer.status == 200

        await wait_for(known, "the key to be known")
        running = asyncio.create_task(caller.run())

        async def started(session: aiohttp.ClientSession) -> bool:
            async with session.get(f"http://{engine}/fake/state") as answer:
                return (await answer.json())["running"] > 0

        await wait_for(started, "the stream to run")
        caller.stopping = True
        assert entry.process is not None
        entry.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(60):
            self.assertEqual(await entry.process.wait(), 0)
        await running
        self.assertEqual(len(caller.failures), 1)

    async def test_entry_without_a_leader_still_stops(self) -> None:
        # The entry cannot have itself removed from the address list, which
        # must not block its stop.
        leader, entry = (
            self.deployment.instances[0],
            self.deployment.instances[STOPPED_INDEX],
        )
        assert leader.process is not None and entry.process is not None
        leader.process.kill()
        await leader.process.wait()
        entry.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(60):
            self.assertEqual(await entry.process.wait(), 0)
