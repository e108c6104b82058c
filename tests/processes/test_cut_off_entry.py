"""An entry whose connections to the control members drop all data.

Guards against a withdrawn key that such an entry goes on accepting, for new
requests or on a running stream, after the operator was told that the
withdrawal is in force.
"""

import asyncio
import unittest
from typing import Any

import aiohttp
import openai

from demo.deployment import Deployment, wait_for
from tests.fakes.deployments import two_regions
from tests.fakes.proxy import FaultProxy

MODEL = "slow-lm"
MESSAGES = [{"role": "user", "content": "Describe joint 7."}]
WITHDRAWAL_TIMEOUT_SECONDS = 30.0


class CutOffEntryTests(unittest.IsolatedAsyncioTestCase):
    """The entry in the other region is cut off from the control member."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(two_regions())
        self.addAsyncCleanup(self.deployment.stop)
        control, _, self.entry = self.deployment.instances
        self.proxy = FaultProxy(control.peer)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.entry.peer_addresses[control.id] = self.proxy.address
        await self.deployment.start()
        await self.deployment.start_engine(
            "engine-1", MODEL, self.entry, token_seconds=0.05
        )
        await self.deployment.put_service(
            "desk", [{"prefix": "/public", "open": True, "idempotent": True}]
        )
        await self.deployment.start_service("desk-1", "desk", self.entry)
        self.key = await self.deployment.add_organisation("tejo")
        self.client = openai.AsyncOpenAI(
            base_url=f"http://{self.entry.public}/v1", api_key=self.key, max_retries=0
        )
        self.addAsyncCleanup(self.client.close)

    async def test_withdrawal_holds_on_a_running_stream_and_for_new_requests(
        self,
    ) -> None:
        first_piece = asyncio.Event()
        running = asyncio.create_task(self.read_long_stream(first_piece))
        self.addCleanup(running.cancel)
        await first_piece.wait()
        self.proxy.silence()
        answer = await self.withdraw()
        self.assertTrue(answer["in_force"], answer)
        # The withdrawal is in force, so the key must not be accepted any more.
        with self.assertRaises(openai.APIStatusError) as refused:
            await self.client.models.list()
        self.assertEqual(refused.exception.code, "entry_lease_expired")
        self.assertEqual(refused.exception.body["verdict"], "not_run")
        async with asyncio.timeout(WITHDRAWAL_TIMEOUT_SECONDS):
            with self.assertRaises(openai.APIError):
                await running

        async def open_route_goes_on(session: aiohttp.ClientSession) -> bool:
            url = f"http://{self.entry.public}/services/desk/public/hours"
            async with session.get(url) as reply:
                return reply.status == 200

        await wait_for(open_route_goes_on, "the open route to be served")
        self.proxy.heal()

        async def key_is_known_as_withdrawn(_: object) -> bool:
            try:
                await self.client.models.list()
            except openai.AuthenticationError as error:
                return error.code == "key_withdrawn"
            except openai.APIStatusError:
                return False
            return False

        await wait_for(key_is_known_as_withdrawn, "the entry to catch up")

    async def read_long_stream(self, first_piece: asyncio.Event) -> None:
        """Read a stream that takes far longer than the test."""
        stream = await self.client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True, max_tokens=20_000
        )
        async for _ in stream:
            first_piece.set()

    async def withdraw(self) -> Any:
        """Withdraw the key and return the answer that it is in force."""
        key_id = self.key.split("_")[1]
        timeout = aiohttp.ClientTimeout(total=WITHDRAWAL_TIMEOUT_SECONDS)
        headers = {"authorization": f"Bearer {self.deployment.operator_key}"}
        url = f"http://{self.deployment.instances[0].admin}/operator/v1/keys/{key_id}"
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.delete(url) as reply,
        ):
            return await reply.json()
