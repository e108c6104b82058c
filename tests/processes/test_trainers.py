"""Samples, labels and batches through real processes."""

from typing import Any

from demo.deployment import wait_for
from demo.fakes.trainer import TrainerClient
from goldcrestyard.core.ids import ModelName, OrganisationId
from goldcrestyard.core.records import ModelLine
from goldcrestyard.plugins.weights.commands import PutModelLine
from tests.fakes.deployments import DeploymentTestCase
from tests.fakes.proposals import commit

MODEL = "inspect-lm"
TRAINER = "tejo"


def question(groups: int = 2, **fields: Any) -> dict[str, Any]:
    """Return a question for a few samples."""
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
    """A deployment with a model line, its trainer and version 1."""

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
        """Publish a version and wait until every entry bars older ones."""
        answer = await self.client.publish(MODEL, version)
        self.assertEqual(answer.status, 200, answer.body)


class SampleTests(TrainerTestCase):
    """Guards the path from a question to an acknowledged batch."""

    async def test_step_is_whole_labelled_and_acknowledged(self) -> None:
        await self.start_engine()
        answer = await self.client.ask(1, question())
        self.assertEqual(answer.status, 200, answer.body)
        samples = answer.body["samples"]
        self.assertEqual(len({sample["id"] for sample in samples}), 4)
        for sample in samples:
            self.assertEqual(sample["spans"], [{"version": 1, "tokens": 8}])
            self.assertEqual(len(sample["text"].split()), 8)
        batch = answer.body["batch"]
        for entry in self.deployment.entries[:2]:
            acknowledged = await self.client.acknowledge(batch, entry)
            self.assertEqual(acknowledged.status, 200, acknowledged.body)

    async def test_resend_through_another_entry_gets_the_identical_batch(
        self,
    ) -> None:
        await self.start_engine()
        answers = [
            await self.client.ask(1, question(), entry)
            for entry in self.deployment.entries
        ]
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertEqual(len({answer.raw for answer in answers}), 1)
        other = await self.client.ask(1, question(max_tokens=9))
        self.assertEqual(other.status, 409, other.body)
        self.assertEqual(other.body["error"]["code"], "conflict")
