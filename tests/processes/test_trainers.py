"""Samples, their version labels and batches through real processes.

The tests guard against batches that are incomplete, differ between entries or
change after a resend, and against samples whose labels are not the weight
versions that produced them.
"""

import asyncio

import aiohttp
from parameterized import parameterized

from demo.deployment import wait_for
from demo.fakes.trainer import TrainerClient
from tests.fakes.trainers import MODEL, TrainerTestCase, question


class SampleTests(TrainerTestCase):
    """Guards the path from a request for samples to an acknowledged batch."""

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

    async def test_other_organisation_neither_asks_nor_publishes(self) -> None:
        key = await self.deployment.add_organisation("other")
        other = await self.enterAsyncContext(
            TrainerClient(self.deployment.entries, key)
        )

        async def refused(_: object) -> bool:
            answer = await other.ask(1, question())
            self.assertIn(answer.status, (401, 403), answer.body)
            return answer.status == 403

        await wait_for(refused, "the key to be known")
        published = await other.publish(MODEL, 2)
        self.assertEqual(published.status, 403, published.body)
        self.assertEqual((await self.client.publish(MODEL, 2)).status, 200)


class LabelTests(TrainerTestCase):
    """Guards against labels that differ from the versions in the stream."""

    async def test_swap_in_mid_stream_gives_two_spans(self) -> None:
        engine = await self.start_engine(token_seconds=0.03)
        asking = self.asking(max_tokens=100)
        await self.wait_running(engine, count=4, state="streams_begun")
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

    async def test_batch_too_many_versions_behind_is_closed_permanently(self) -> None:
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
    """Guards batches when answers are lost or processes are killed."""

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
        # Both requests have joined the generation that was already running.
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{engine}/fake/state") as state,
        ):
            self.assertEqual(len((await state.json())["runs_by_request"]), 4)

    async def test_generation_continues_after_the_caller_has_left(self) -> None:
        engine = await self.start_engine(token_seconds=0.02)
        asking = self.asking(max_tokens=50)
        await self.wait_running(engine, count=4)
        asking.cancel()

        async def runs(session: aiohttp.ClientSession) -> tuple[int, int]:
            async with session.get(f"http://{engine}/fake/state") as answer:
                state = await answer.json()
            return state["running"], len(state["runs_by_request"])

        async def idle(session: aiohttp.ClientSession) -> bool:
            return await runs(session) == (0, 4)

        await wait_for(idle, "the samples to be generated")
        answer = await self.asking(max_tokens=50)
        self.assertEqual(answer.status, 200, answer.body)
        async with aiohttp.ClientSession() as session:
            self.assertEqual(await runs(session), (0, 4))

    async def test_step_completes_elsewhere_after_its_entry_is_killed(self) -> None:
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

    async def test_joined_entry_that_dies_is_replaced(self) -> None:
        engine = await self.start_engine(token_seconds=0.02)
        first = self.asking(entry=1, max_tokens=50)
        await self.wait_running(engine, count=4)
        joined = await self.asking(entry=2, max_tokens=50, wait_seconds=0)
        self.assertEqual(joined.status, 202, joined.body)
        waiting = self.asking(entry=2, max_tokens=50)
        entry = self.deployment.instances[1].process
        assert entry is not None
        entry.kill()
        answer = await waiting
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(len(answer.body["samples"]), 4)
        with self.assertRaises(aiohttp.ClientError):
            await first

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
