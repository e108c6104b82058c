"""Faults of three control members that run as real processes.

Members are killed, paused, restarted and cut off from each other.  The tests
guard against the loss of an acknowledged change, against a leader that still
acts after a pause or in isolation, and against a cluster that does not
recover.
"""

import asyncio
import itertools
import signal
from typing import Any

import aiohttp

from demo.deployment import Deployment, Instance, wait_for
from goldcrestyard.wire.connection import NoAnswer
from goldcrestyard.wire.messages import NotLeader
from tests.fakes.control_probe import ControlProbe
from tests.fakes.deployments import DeploymentTestCase, two_regions
from tests.fakes.proxy import FaultProxy

ENTRIES_PER_SNAPSHOT = 50
REQUEST_TIMEOUT_SECONDS = 10.0


class ControlTestCase(DeploymentTestCase):
    """Starts three control members and finds their leader."""

    control_members = 3

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(two_regions(self.control_members))
        for instance in self.deployment.instances:
            instance.control_settings = {"snapshot_entries": ENTRIES_PER_SNAPSHOT}
        self.addAsyncCleanup(self.deployment.stop)
        await self.prepare()
        await self.deployment.start()
        self.probe = ControlProbe(self.deployment)
        self.leader = await self.probe.leader()
        await self.deployment.add_organisation("tejo")
        self.names = (f"o{number}" for number in itertools.count())
        self.accepted: set[str] = set()

    async def prepare(self) -> None:
        """Change the deployment before its start; does nothing by default."""

    @property
    def followers(self) -> list[Instance]:
        return [i for i in self.deployment.instances if i is not self.leader]

    async def put(self, instance: Instance, name: str) -> int:
        """Grant a key through an instance and return the HTTP status."""
        body = {"id": name, "organisation": "tejo", "secret_hash": ""}
        status, _ = await self._operate(instance, "POST", "/keys?wait=no", body)
        if status == 200:
            self.accepted.add(name)
        return status

    async def keys(self, instance: Instance) -> set[str]:
        status, answer = await self._operate(instance, "GET", "/keys")
        self.assertEqual(status, 200)
        return {key["id"] for key in answer["keys"]}

    async def _operate(
        self, instance: Instance, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        url = f"http://{instance.admin}/operator/v1{path}"
        headers = {"authorization": f"Bearer {self.deployment.operator_key}"}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.request(method, url, json=body) as answer,
        ):
            return answer.status, await answer.json()

    async def keep_putting(self, instance: Instance) -> None:
        """Grant keys one after the other until cancelled, despite errors."""
        while True:
            try:
                await self.put(instance, next(self.names))
            except (aiohttp.ClientError, TimeoutError):
                pass

    async def wait_accepted(self, more: int) -> None:
        """Wait until ``more`` further changes have been accepted."""
        enough = len(self.accepted) + more

        async def accepted(_: object) -> bool:
            return len(self.accepted) >= enough

        await wait_for(accepted, f"{more} more changes")

    async def wait_agreed(self) -> None:
        """Wait until all instances agree and have every accepted key."""

        async def agreed(_: object) -> bool:
            found = [
                await self.keys(instance) for instance in self.deployment.instances
            ]
            return all(one == found[0] for one in found) and self.accepted <= found[0]

        await wait_for(agreed, "all accepted changes on every instance")

    async def kill(self, instance: Instance) -> None:
        assert instance.process is not None
        instance.process.kill()
        await instance.process.wait()


class LeaderLossTests(ControlTestCase):
    """The leader is killed, or suspended for longer than its lease."""

    async def test_planned_end_without_a_leader_is_logged(self) -> None:
        """Guards against an end that hides why there was no leader."""
        left, lost = self.followers
        for instance in (self.leader, lost):
            await self.kill(instance)

        def lines(text: str) -> list[str]:
            log = (self.deployment.folder / f"{left.id}.log").read_text()
            return [line for line in log.splitlines() if text in line]

        async def without_leader(_: aiohttp.ClientSession) -> bool:
            return '"leader": null' in lines('"leadership changed"')[-1]

        await wait_for(without_leader, "an election")
        assert left.process is not None
        left.process.terminate()
        await left.process.wait()
        line = lines('"lacks"')[-1]
        self.assertRegex(line, '^{"lacks": "1 of 2 votes: ')
        self.assertIn('"control member knows of no leader"', line)

    async def test_killed_leader_loses_no_accepted_change(self) -> None:
        putting = [
            asyncio.create_task(self.keep_putting(instance))
            for instance in self.followers
        ]
        await self.wait_accepted(30)
        old = self.leader
        await self.kill(old)
        self.leader = await self.probe.leader(but=old)
        await self.wait_accepted(30)
        await self.deployment.start_instance(old)
        await self.deployment.wait_ready(old)
        await self.wait_accepted(30)
        for task in putting:
            task.cancel()
        await asyncio.gather(*putting, return_exceptions=True)
        await self.wait_agreed()

    async def test_resumed_leader_does_not_act(self) -> None:
        old = self.leader
        assert old.process is not None
        async with self.probe.connect(old) as connection:
            old.process.send_signal(signal.SIGSTOP)
            await self.probe.leader(but=old)
            # These requests wait in the process's buffers until it is resumed.
            asked = [
                asyncio.create_task(self.probe.ask(connection, 30.0)) for _ in range(5)
            ]
            putting = asyncio.create_task(self.put(old, "late"))
            await asyncio.sleep(0)
            old.process.send_signal(signal.SIGCONT)
            for answer in await asyncio.gather(*asked):
                # After a pause of more than 10 s the resumed process may take
                # its ping for unanswered and close the connection, which does
                # not renew a lease either.
                self.assertIsInstance(answer, NotLeader | NoAnswer)
        await asyncio.gather(putting, return_exceptions=True)
        self.assertNotIn(old, await self.probe.leaders())
        await self.wait_agreed()

    async def test_restart_of_all_after_hundreds_of_changes(self) -> None:
        for _ in range(10):
            await asyncio.gather(
                *(self.put(self.followers[0], next(self.names)) for _ in range(30))
            )
        self.assertEqual(len(self.accepted), 300)
        for instance in self.deployment.instances:
            await self.kill(instance)
        for instance in self.deployment.instances:
            await self.deployment.start_instance(instance)
        for instance in self.deployment.instances:
            await self.deployment.wait_ready(instance)
        await self.wait_agreed()
        self.leader = await self.probe.leader()
        self.assertEqual(await self.put(self.followers[0], "after"), 200)
        await self.wait_agreed()


class PartitionTests(ControlTestCase):
    """Connections between members drop all data but stay open."""

    async def prepare(self) -> None:
        self.proxies: dict[tuple[str, str], FaultProxy] = {}
        instances = self.deployment.instances
        for near, far in itertools.permutations(instances, 2):
            proxy = FaultProxy(far.peer)
            await proxy.start()
            self.addAsyncCleanup(proxy.stop)
            near.peer_addresses[far.id] = proxy.address
            self.proxies[near.id, far.id] = proxy

    def proxies_of(self, instance: Instance) -> list[FaultProxy]:
        return [proxy for pair, proxy in self.proxies.items() if instance.id in pair]

    async def test_isolated_leader_steps_down_and_rejoins(self) -> None:
        old = self.leader
        for proxy in self.proxies_of(old):
            proxy.silence()
        self.leader = await self.probe.leader(but=old)
        self.assertEqual(await self.probe.leaders(), [self.leader])
        self.assertNotEqual(await self.put(old, "minority"), 200)

        async def accepted(_: object) -> bool:
            other = next(i for i in self.followers if i is not old)
            return await self.put(other, "majority") == 200

        await wait_for(accepted, "a change on the majority's side")
        for proxy in self.proxies_of(old):
            proxy.heal()
        await self.wait_agreed()

    async def test_silent_connection_is_replaced(self) -> None:
        """Guards against a member that waits for ever on a dead connection."""
        for proxy in self.proxies.values():
            proxy.silence_open()

        async def accepted(_: object) -> bool:
            return await self.put(self.leader, next(self.names)) == 200

        await wait_for(accepted, "a change over new connections")
        await self.wait_agreed()

    async def test_slow_link_keeps_its_leader(self) -> None:
        """Guards against elections caused by the latency between regions."""
        for proxy in self.proxies.values():
            proxy.delay(0.05)
        for _ in range(10):
            self.assertEqual(await self.put(self.leader, next(self.names)), 200)
        await self.wait_agreed()
        self.assertEqual(await self.probe.leaders(), [self.leader])
