"""Distribution of weights to engines through real processes.

The tests guard against more than one transfer of a version from the store to
a region, against damaged content that reaches an engine, against content for
callers without a valid token, and against requests that ignore the store's
rate limit.
"""

import asyncio
import hashlib
from typing import Any

import aiohttp

from demo.deployment import free_port, wait_for
from demo.fakes.weight_store import digest_of
from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.policy.addresses import EntryLocation, order_entries
from tests.fakes.trainers import MODEL, TrainerTestCase

WEIGHTS_BYTES = 300_000


class WeightTests(TrainerTestCase):
    """Entries that fetch versions from the store and pass them to engines."""

    async def start_store(self, **options: Any) -> None:
        """Start a weight store and wait until it answers."""
        self.store = f"127.0.0.1:{free_port()}"
        arguments = [f"--port={self.store.split(':')[1]}", f"--size={WEIGHTS_BYTES}"]
        arguments += [f"--{k.replace('_', '-')}={v}" for k, v in options.items()]
        await self.deployment.start_process(
            "store", "demo.fakes.weight_store", *arguments
        )

        async def answers(_: object) -> bool:
            return bool(await self.store_state() or True)

        await wait_for(answers, "the weight store")

    async def store_state(self) -> Any:
        """Return the counts that the store has recorded."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.store}/fake/state") as answer,
        ):
            return await answer.json()

    async def publish_stored(self, version: int, digest: str = "") -> None:
        """Publish a version that is in the store."""
        answer = await self.client.publish(
            MODEL,
            version,
            f"http://{self.store}/{MODEL}/{version}",
            digest or digest_of(MODEL, str(version), WEIGHTS_BYTES),
        )
        self.assertEqual(answer.status, 200, answer.body)

    async def fetch(self, entry: int, version: int, token: str = "") -> int:
        """Fetch a version as an engine does; return the final status."""
        address = self.deployment.entries[entry]
        url = f"http://{address}/weights/{MODEL}/{version}"
        token = token or self.deployment.target_token
        headers = {"authorization": f"Bearer {token}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            while True:
                async with session.get(url) as answer:
                    if answer.status == 404:
                        # The entry does not know the published version yet.
                        await asyncio.sleep(0.05)
                        continue
                    if answer.status == 200:
                        digest = hashlib.sha256(await answer.read()).hexdigest()
                        expected = digest_of(MODEL, str(version), WEIGHTS_BYTES)
                        self.assertEqual(digest, expected)
                    return answer.status

    async def fetch_everywhere(self, version: int) -> None:
        """Fetch a version from each entry several times at once."""
        statuses = await asyncio.gather(
            *(self.fetch(entry, version) for entry in (0, 1, 2) * 4)
        )
        self.assertEqual(set(statuses), {200})

    async def test_version_is_fetched_once_for_each_region(self) -> None:
        await self.start_store()
        for version in (2, 3, 4):
            await self.publish_stored(version)
            await self.fetch_everywhere(version)
        expected = {f"{MODEL}/{version}": 2 for version in (2, 3, 4)}
        self.assertEqual((await self.store_state())["sent"], expected)

    async def test_retry_after_of_the_store_is_respected(self) -> None:
        await self.start_store(refuse_first=2, retry_after=2)
        await self.publish_stored(2)
        statuses = await asyncio.gather(*(self.fetch(entry, 2) for entry in (0, 1) * 4))
        self.assertEqual(set(statuses), {200})
        expected = {"sent": {f"{MODEL}/2": 1}, "refused": 2, "early": 0}
        self.assertEqual(await self.store_state(), expected)

    async def test_damaged_content_reaches_no_engine(self) -> None:
        await self.start_store(damage_first=1)
        await self.publish_stored(2)
        await self.fetch_everywhere(2)
        self.assertEqual((await self.store_state())["sent"], {f"{MODEL}/2": 3})

    async def test_wrong_publication_is_refused(self) -> None:
        await self.start_store()
        await self.publish_stored(2, digest="0" * 64)
        self.assertEqual(await self.fetch(1, 2), 502)

    async def test_unknown_token_gets_no_weights(self) -> None:
        await self.start_store()
        await self.publish_stored(2)
        self.assertEqual(await self.fetch(1, 2, token="stranger"), 401)
        self.assertEqual((await self.store_state())["sent"], {})

    async def test_killed_designated_entry_is_replaced(self) -> None:
        await self.start_store()
        other = self.deployment.instances[1]
        version = next(
            version for version in range(2, 100) if self.designated(version) == other.id
        )
        assert other.process is not None
        other.process.kill()
        await other.process.wait()
        await self.publish_stored(version)
        self.assertEqual(await self.fetch(0, version), 200)

    def designated(self, version: int) -> InstanceId:
        """Return the entry that fetches a version for the first region."""
        locations = [
            EntryLocation(
                InstanceId(instance.id),
                DataCentre(instance.data_centre),
                Region(instance.region),
            )
            for instance in self.deployment.instances[:2]
        ]
        return order_entries(locations, f"{MODEL}/{version}", "", "")[0]
