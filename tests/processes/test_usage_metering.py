"""Metered usage of requests, from the entry to the usage report.

Guards against runs that are billed twice or not at all, in particular when
the entry that metered them is stopped before its next flush.
"""

import unittest
from typing import Any

import openai

from demo.deployment import wait_for
from tests.fakes.deployments import two_regions
from tests.processes.ordering import OrderingDeployment, fetch_state, usage_settings

MODEL = "inspect-lm"
MESSAGES = [{"role": "user", "content": "Describe joint 7."}]


class UsageMeteringTests(unittest.IsolatedAsyncioTestCase):
    """The reports that the usage interface receives."""

    async def asyncSetUp(self) -> None:
        self.deployment = OrderingDeployment(two_regions())
        self.addAsyncCleanup(self.deployment.stop)
        self.interface = await self.deployment.start_receiver("usage_interface")
        # Totals are flushed once a minute, so the stop has to flush them.
        self.deployment.extra_settings = usage_settings(
            self.interface, flush_seconds=60
        )
        await self.deployment.start()
        near = self.deployment.instances[0]
        await self.deployment.start_engine("engine-1", MODEL, near)
        self.key = await self.deployment.add_organisation("tejo")

    async def reported(self) -> list[dict[str, Any]]:
        """Return the lines of all reports."""
        arrivals = (await fetch_state(self.interface))["arrivals"]
        return [line for arrival in arrivals for line in arrival["body"]["lines"]]

    async def test_requests_of_a_stopped_entry_are_billed_once(self) -> None:
        entry = self.deployment.instances[1]
        client = openai.AsyncOpenAI(
            base_url=f"http://{entry.public}/v1", api_key=self.key, max_retries=0
        )
        self.addAsyncCleanup(client.close)
        plain = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=7
        )
        stream = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=5, stream=True
        )
        pieces = [piece async for piece in stream]
        self.assertEqual(len(pieces), 5)
        assert plain.usage is not None
        self.deployment.processes_by_name[entry.id].terminate()

        async def billed(_: object) -> bool:
            return sum(line["attempts"] for line in await self.reported()) == 2

        await wait_for(billed, "both requests to be reported", 90.0)
        lines = await self.reported()
        self.assertEqual({line["organisation"] for line in lines}, {"tejo"})
        self.assertEqual(sum(line["tokens_out"] for line in lines), 7 + 5)
        self.assertEqual(
            sum(line["tokens_in"] for line in lines), 2 * plain.usage.prompt_tokens
        )
