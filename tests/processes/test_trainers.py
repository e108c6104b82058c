"""Samples, labels and batches through real processes."""

import asyncio
from typing import Any

import aiohttp
from parameterized import parameterized

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
        """Publish a version."""
        answer = await self.client.publish(MODEL, version)
        self.assertEqual(answer.status, 200, answer.body)

    def asking(self, entry: int = 0, **fields: Any) -> asyncio.Task[Answer]:
        """Ask an entry for step 1 in the background."""
        address = self.deployment.entries[entry]
        asking = asyncio.create_task(self.client.ask(1, question(**fields), address))
        self.addCleanup(asking.cancel)
        return asking

    async def wait_running(self, *engines: str, count: int = 1) -> None:
        """Wait until each engine generates some samples."""

        async def running(session: aiohttp.ClientSession) -> bool:
            for engine in engines:
                async with session.get(f"http://{engine}/fake/state") as answer:
                    if (await answer.json())["running"] < count:
                        return False
            return True

        await wait_for(running, "engines to generate samples")

    async def swap(self, engine: str, version: int) -> None:
        """Make an engine serve a version from its next token on."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{engine}/fake/version", json={"version": version}
            ) as answer,
        ):
            self.assertEqual(answer.status, 200)


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


class LabelTests(TrainerTestCase):
    """Guards labels against anything but what the engine's stream says."""

    async def test_swap_in_mid_stream_gives_two_spans(self) -> None:
        engine = await self.start_engine(token_seconds=0.03)
        asking = self.asking(max_tokens=100)
        await self.wait_running(engine, count=4)
        await self.publish(2)
        await self.swap(engine, 2)
        answer = await asking
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(answer.body["versions"], [1, 2])
        for sample in answer.body["samples"]:
            versions = [span["version"] for span in sample["spans"]]
            self.assertEqual(versions, [1, 2])
            self.assertEqual(sum(span["tokens"] for span in sample["spans"]), 100)
        after = await self.client.ask(2, question())
        for sample in after.body["samples"]:
            self.assertEqual(sample["spans"], [{"version": 2, "tokens": 8}])

    @parameterized.expand([("omitted",), ("unpublished",)])
    async def test_engine_without_true_versions_makes_no_sample(
        self, label: str
    ) -> None:
        await self.start_engine("engine-1", label=label)
        await self.start_engine("engine-2")
        answer = await self.client.ask(1, question(groups=8))
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(len(answer.body["samples"]), 16)
        for sample in answer.body["samples"]:
            self.assertEqual(sample["spans"], [{"version": 1, "tokens": 8}])

    async def test_old_engine_makes_no_sample_until_it_is_swapped(self) -> None:
        engine = await self.start_engine()
        await self.publish(2)
        await self.publish(3)
        progress = await self.client.ask(1, question(wait_seconds=1))
        self.assertEqual(progress.status, 202, progress.body)
        self.assertEqual(progress.body["done"], 0)
        await self.swap(engine, 3)
        answer = await self.client.obtain(1, question())
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(answer.body["versions"], [3])

    async def test_batch_past_the_bound_is_closed_for_good(self) -> None:
        engine = await self.start_engine()
        first = await self.client.ask(1, question())
        self.assertEqual(first.status, 200, first.body)
        await self.publish(2)
        again = await self.client.ask(1, question(), self.deployment.entries[1])
        self.assertEqual(again.raw, first.raw)
        await self.publish(3)
        for entry in self.deployment.entries:
            late = await self.client.ask(1, question(), entry)
            self.assertEqual(late.status, 410, late.body)
        await self.swap(engine, 3)
        next_attempt = await self.client.ask(1, question(attempt=1))
        self.assertEqual(next_attempt.status, 200, next_attempt.body)
        first_ids = {sample["id"] for sample in first.body["samples"]}
        next_ids = {sample["id"] for sample in next_attempt.body["samples"]}
        self.assertTrue(first_ids.isdisjoint(next_ids))


class FailureTests(TrainerTestCase):
    """Guards batches against lost answers and killed processes."""

    async def test_lost_answer_does_not_change_the_batch(self) -> None:
        engine = await self.start_engine(token_seconds=0.02)
        asking = self.asking(entry=1, max_tokens=50)
        await self.wait_running(engine)
        asking.cancel()
        elsewhere, joined = await asyncio.gather(
            self.asking(entry=2, max_tokens=50), self.asking(entry=1, max_tokens=50)
        )
        self.assertEqual([elsewhere.status, joined.status], [200, 200])
        self.assertEqual(elsewhere.raw, joined.raw)

    async def test_killed_entry_costs_only_time(self) -> None:
        engine = await self.start_engine(token_seconds=0.02)
        asking = self.asking(entry=1, max_tokens=50)
        await self.wait_running(engine, count=4)
        entry = self.deployment.instances[1].process
        assert entry is not None
        entry.kill()
        with self.assertRaises(aiohttp.ClientError):
            await asking
        answer = await self.asking(entry=2, max_tokens=50)
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(len(answer.body["samples"]), 4)

    async def test_killed_engine_leaves_no_short_sample(self) -> None:
        first = await self.start_engine("engine-1", token_seconds=0.03)
        second = await self.start_engine("engine-2", token_seconds=0.03)
        asking = self.asking(groups=4, max_tokens=60)
        await self.wait_running(first, second)
        self.deployment.processes_by_name["engine-1"].kill()
        answer = await asking
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(len(answer.body["samples"]), 8)
        for sample in answer.body["samples"]:
            self.assertEqual(sample["spans"], [{"version": 1, "tokens": 60}])
            self.assertEqual(len(sample["text"].split()), 60)

    async def test_revoked_key_ends_the_generation(self) -> None:
        engine = await self.start_engine(token_seconds=0.05)
        asking = self.asking(max_tokens=400)
        await self.wait_running(engine)
        await self.deployment.withdraw_key(self.key)
        answer = await asking
        self.assertEqual(answer.status, 401, answer.body)

        async def idle(session: aiohttp.ClientSession) -> bool:
            async with session.get(f"http://{engine}/fake/state") as state:
                return (await state.json())["running"] == 0

        await wait_for(idle, "the engine to be idle", 10.0)
