"""Rollouts of published weights with real processes.

The tests guard against engines that stay on old weights without being listed,
and against activations by two members that both believe they lead.
"""

import signal
import unittest
from typing import Any

import aiohttp

from demo.deployment import wait_for
from goldcrestyard.core.records import ModelLine
from goldcrestyard.kernel import registry
from tests.fakes.deployments import DeploymentTestCase
from tests.processes.ordering import commit, update_stand_in

MODEL = "inspect-lm"
HAS_WEIGHTS = "weights" in {plugin.name for plugin in registry.discover_plugins()}


@unittest.skipUnless(HAS_WEIGHTS, "the weights plug-in is not present")
class RolloutTests(DeploymentTestCase):
    """From a publication to the version that the engines serve."""

    control_members = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.addresses = {}
        for number, instance in enumerate(self.deployment.instances):
            name = f"engine-{number}"
            self.addresses[name] = await self.deployment.start_engine(
                name, MODEL, instance
            )

    async def _publish(self, version: int) -> None:
        from goldcrestyard.plugins.weights.commands import (
            PublishWeights,
            PutModelLine,
        )

        await commit(self.deployment, PutModelLine(ModelLine(MODEL)))
        weights = PublishWeights(MODEL, version, f"http://store/{version}", "0" * 64)
        await commit(self.deployment, weights)

    async def _wait_serving(self, version: int, names: list[str]) -> None:
        async def serving(session: aiohttp.ClientSession) -> bool:
            for name in names:
                url = f"http://{self.addresses[name]}/weights"
                async with session.get(url) as answer:
                    if (await answer.json())["active"] != version:
                        return False
            return True

        await wait_for(serving, f"{names} to serve {version}", 60.0)

    async def _wait_shown(self, condition: Any, what: str) -> None:
        headers = {"authorization": f"Bearer {self.deployment.operator_key}"}

        async def met(session: aiohttp.ClientSession) -> bool:
            for instance in self.deployment.instances:
                url = f"http://{instance.admin}/operator/v1/rollouts"
                timeout = aiohttp.ClientTimeout(total=1.0)
                try:
                    async with session.get(
                        url, headers=headers, timeout=timeout
                    ) as answer:
                        rollout = (await answer.json())["rollouts"].get(MODEL)
                except (aiohttp.ClientError, TimeoutError):
                    continue
                if rollout is not None and condition(rollout):
                    return True
            return False

        await wait_for(met, what, 60.0)

    async def test_engine_that_acknowledges_without_loading_is_listed_as_behind(
        self,
    ) -> None:
        faulty = "engine-1"
        await update_stand_in(self.addresses[faulty], "weights", fault="lie")
        await self._publish(2)
        await self._wait_serving(2, ["engine-0", "engine-2"])
        await self._wait_shown(
            lambda rollout: list(rollout["behind"]) == [faulty],
            "the faulty engine to be listed",
        )
        await update_stand_in(self.addresses[faulty], "weights", fault="")
        await self._wait_serving(2, [faulty])
        await self._wait_shown(
            lambda rollout: rollout["engines"]["serving"] == 3, "all to be listed"
        )

    async def test_resumed_leader_sends_no_orders_after_its_successor(self) -> None:
        await self._publish(2)
        await self._wait_serving(2, list(self.addresses))
        old = await self._sender(2)
        process = self.deployment.processes_by_name[old]
        process.send_signal(signal.SIGSTOP)
        await self._publish(3)
        await self._wait_serving(3, list(self.addresses))
        new = await self._sender(3)
        self.assertNotEqual(old, new)
        process.send_signal(signal.SIGCONT)
        await self._publish(4)
        await self._wait_serving(4, list(self.addresses))
        for arrivals in (await self._arrivals()).values():
            senders = [arrival["sender"] for arrival in arrivals]
            self.assertEqual(senders, sorted(senders, key=[old, new].index))
            self.assertEqual(
                [a["result"] for a in arrivals if a["result"] != "new"], []
            )

    async def _sender(self, version: int) -> str:
        arrivals = (await self._arrivals())["engine-0"]
        return next(
            arrival["sender"]
            for arrival in arrivals
            if arrival["body"]["version"] == version
        )

    async def _arrivals(self) -> dict[str, Any]:
        arrivals = {}
        async with aiohttp.ClientSession() as session:
            for name, address in self.addresses.items():
                async with session.get(f"http://{address}/fake/state") as answer:
                    arrivals[name] = (await answer.json())["orders"]
        return arrivals
