"""Targets that drain or are reclaimed, with real processes."""

import asyncio

import openai
from parameterized import parameterized

from demo.deployment import wait_for
from tests.fakes.deployments import DeploymentTestCase

MODEL = "inspect-lm"
MESSAGES = [{"role": "user", "content": "Describe joint 7."}]


class LeavingTargetTests(DeploymentTestCase):
    """Guards against new requests for a target that is about to leave."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        near = self.deployment.instances[1]
        self.addresses = {
            name: await self.deployment.start_engine(name, MODEL, near)
            for name in ("engine-1", "engine-2")
        }
        self.key = await self.deployment.add_organisation("tejo")
        self.clients = [
            openai.AsyncOpenAI(
                base_url=f"http://{entry}/v1", api_key=self.key, max_retries=0
            )
            for entry in self.deployment.entries
        ]
        for client in self.clients:
            self.addAsyncCleanup(client.close)
        for client in self.clients:
            await wait_for(self._known(client), "the key to be known")

    def _known(self, client: openai.AsyncOpenAI):
        async def known(_: object) -> bool:
            try:
                await client.models.list()
            except openai.AuthenticationError:
                return False
            return True

        return known

    async def _runs(self, name: str) -> int:
        runs: list[int] = []

        async def fetched(session: object) -> bool:
            url = f"http://{self.addresses[name]}/fake/state"
            async with session.get(url) as answer:
                runs.append(sum((await answer.json())["runs_by_request"].values()))
            return True

        await wait_for(fetched, f"{name} to show its state")
        return runs[-1]

    async def _ask_everywhere(self, count: int) -> None:
        await asyncio.gather(
            *(
                client.chat.completions.create(model=MODEL, messages=MESSAGES)
                for client in self.clients
                for _ in range(count)
            )
        )

    @parameterized.expand([("drain",), ("reclaim",)])
    async def test_leaving_target_gets_nothing_new(self, path: str) -> None:
        await self._ask_everywhere(4)
        self.assertGreater(await self._runs("engine-1"), 0)
        headers = {"authorization": f"Bearer {self.deployment.target_token}"}
        incarnation = await self._incarnation("engine-1")

        async def told(session: object) -> bool:
            url = f"http://{self.deployment.entries[2]}/targets/engine-1/{path}"
            body = {"incarnation": incarnation}
            async with session.post(url, json=body, headers=headers) as answer:
                return answer.status == 200

        await wait_for(told, f"the {path} to be accepted")
        await wait_for(self._draining_everywhere, "every entry to know", 10.0)
        before = await self._runs("engine-1")
        await self._ask_everywhere(4)
        self.assertEqual(await self._runs("engine-1"), before)
        self.assertGreaterEqual(await self._runs("engine-2"), 12)

    async def _incarnation(self, name: str) -> str:
        targets = (await self.deployment.operate("GET", "/targets"))["targets"]
        return next(
            t["target"]["incarnation"] for t in targets if t["target"]["id"] == name
        )

    async def _draining_everywhere(self, session: object) -> bool:
        headers = {"authorization": f"Bearer {self.deployment.operator_key}"}
        for instance in self.deployment.instances:
            url = f"http://{instance.admin}/operator/v1/targets"
            async with session.get(url, headers=headers) as answer:
                targets = (await answer.json())["targets"]
            states = {t["target"]["id"]: t["target"]["state"] for t in targets}
            if states["engine-1"] != "draining":
                return False
        return True
