"""Deployments of real processes with a model line and its trainer."""

import asyncio
from typing import Any

import aiohttp

from demo.deployment import wait_for
from demo.fakes.trainer import Answer, TrainerClient
from goldcrestyard.core.ids import ModelName, OrganisationId
from goldcrestyard.core.records import ModelLine
from goldcrestyard.plugins.weights.commands import PutModelLine
from tests.fakes.deployments import DeploymentTestCase
from tests.fakes.proposals import commit

MODEL = "inspect-lm"
TRAINER = "tejo"


def question(groups: int = 2, **fields: Any) -> dict[str, Any]:
    """Return a trainer's question with two samples for each prompt."""
    return {
        "model": MODEL,
        "prompts": [
            {
                "group": f"group-{number}",
                "messages": [{"role": "user", "content": f"Inspect joint {number}."}],
            }
            for number in range(groups)
        ],
        "samples_per_prompt": 2,
        "max_tokens": 8,
        "wait_seconds": 60,
        **fields,
    }


class TrainerTestCase(DeploymentTestCase):
    """Starts a deployment with a model line, its trainer and version 1."""

    max_versions_behind = 1

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.key = await self.deployment.add_organisation(TRAINER)
        line = ModelLine(
            ModelName(MODEL),
            OrganisationId(TRAINER),
            max_versions_behind=self.max_versions_behind,
        )
        await commit(self.deployment, PutModelLine(line))
        self.client = await self.enterAsyncContext(
            TrainerClient(self.deployment.entries, self.key)
        )
        await wait_for(self._first_version_published, "version 1 to be published")

    async def _first_version_published(self, _: object) -> bool:
        return (await self.client.publish(MODEL, 1)).status == 200

    async def start_engine(self, name: str = "engine-1", **options: Any) -> str:
        """Start an engine in the first data centre."""
        near = self.deployment.instances[0]
        return await self.deployment.start_engine(name, MODEL, near, **options)

    async def publish(self, version: int) -> None:
        """Publish a weight version and check that it is accepted."""
        answer = await self.client.publish(MODEL, version)
        self.assertEqual(answer.status, 200, answer.body)

    def asking(self, entry: int = 0, **fields: Any) -> asyncio.Task[Answer]:
        """Send the question of step 1 to an entry in a background task."""
        address = self.deployment.entries[entry]
        asking = asyncio.create_task(self.client.ask(1, question(**fields), address))
        self.addCleanup(asking.cancel)
        return asking

    async def wait_running(
        self, *engines: str, count: int = 1, state: str = "running"
    ) -> None:
        """Wait until each engine runs at least ``count`` samples.

        A sample runs before its first token is generated; with the state
        ``streams_begun``, ``count`` samples have a token.
        """

        async def running(session: aiohttp.ClientSession) -> bool:
            for engine in engines:
                async with session.get(f"http://{engine}/fake/state") as answer:
                    if (await answer.json())[state] < count:
                        return False
            return True

        await wait_for(running, "engines to generate samples")

    async def swap(self, engine: str, version: int) -> None:
        """Make an engine switch to a weight version from its next token on."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{engine}/fake/version", json={"version": version}
            ) as answer,
        ):
            self.assertEqual(answer.status, 200)
