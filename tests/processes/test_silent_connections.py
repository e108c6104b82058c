"""Connections to an engine that drop all data while new ones work.

A firewall or a lost host can make a connection dead without closing it.  The
tests guard against a request that waits for ever on such a connection, against
an incomplete answer that looks whole, and against the reuse of connections
that have been idle for long.
"""

import asyncio
import json
import uuid
from typing import Any

import aiohttp
from parameterized import parameterized

from demo.deployment import Deployment, wait_for
from tests.fakes.blackhole import BlackholeProxy
from tests.fakes.deployments import DeploymentTestCase, two_regions
from tests.processes.test_whole_answers import MESSAGES, Result, read_stream

MODEL = "inspect-lm"
TOKENS = 6
TOKEN_SECONDS = 0.3


class SilentConnectionTests(DeploymentTestCase):
    """A proxy that can drop all data, between the entries and an engine."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(
            two_regions(),
            overrides_by_section={
                "engines": {
                    "stall_seconds": 1.5,
                    "seconds_per_token": 0.3,
                    "probe_seconds": 1.0,
                }
            },
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.proxy = BlackholeProxy()
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.engine = await self.deployment.start_engine(
            "engine-1",
            MODEL,
            self.deployment.instances[0],
            token_seconds=TOKEN_SECONDS,
            advertise=self.proxy.address,
        )
        self.proxy.forward_to(self.engine)
        self.key = await self.deployment.add_organisation("tejo")

        async def known(session: aiohttp.ClientSession) -> bool:
            url = f"http://{self.deployment.entries[0]}/v1/models"
            async with session.get(url, headers=self.headers()) as answer:
                return answer.status == 200

        await wait_for(known, "the key to be known")

    def headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self.key}"}

    async def ask(
        self, stream: bool, call: str, pieces: asyncio.Queue[bytes] | None = None
    ) -> Result:
        body: dict[str, Any] = {
            "model": MODEL,
            "messages": MESSAGES,
            "max_tokens": TOKENS,
            "stream": stream,
            "user": call,
        }
        url = f"http://{self.deployment.entries[0]}/v1/chat/completions"
        data = b""
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body, headers=self.headers()) as answer,
        ):
            async for chunk in answer.content.iter_any():
                data += chunk
                if pieces is not None:
                    pieces.put_nowait(chunk)
            if answer.status != 200:
                return Result("", json.loads(data)["error"])
        if stream:
            return read_stream(data.decode())
        choice = json.loads(data)["choices"][0]
        return Result(choice["message"]["content"], None, True, True)

    async def runs(self, call: str, engine: str = "") -> int:
        url = f"http://{engine or self.engine}/fake/state"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return (await answer.json())["runs_by_call"].get(call, 0)

    async def started(self, call: str) -> None:
        async def running(_: object) -> bool:
            return await self.runs(call) > 0

        await wait_for(running, "the request to run")

    def check_whole(self, result: Result) -> None:
        self.assertIsNone(result.error)
        self.assertEqual(len(result.text.split()), TOKENS)
        self.assertTrue(result.marked_end and result.finished)

    @parameterized.expand([("streamed", True), ("plain", False)])
    async def test_silent_before_the_answer(self, _: str, stream: bool) -> None:
        call = uuid.uuid4().hex
        asking = asyncio.create_task(self.ask(stream, call))
        await self.started(call)
        self.proxy.silence_open()
        self.check_whole(await asking)
        self.assertEqual(await self.runs(call), 2)

    async def test_silent_in_the_middle_of_a_stream(self) -> None:
        call, pieces = uuid.uuid4().hex, asyncio.Queue[bytes]()
        asking = asyncio.create_task(self.ask(True, call, pieces))
        await pieces.get()
        self.proxy.silence_open()
        result = await asking
        assert result.error is not None
        self.assertEqual(result.error["verdict"], "may_have_run")
        self.assertFalse(result.marked_end)
        self.assertIn("new one", result.error["message"])

    @parameterized.expand([("streamed", True), ("plain", False)])
    async def test_silent_while_idle(self, _: str, stream: bool) -> None:
        # The pool still holds the connection of the first request.
        self.check_whole(await self.ask(False, "first"))
        self.proxy.silence_open()
        call = uuid.uuid4().hex
        self.check_whole(await self.ask(stream, call))
        self.assertEqual(await self.runs(call), 1)

    async def test_request_is_retried_elsewhere_when_no_probe_is_answered(self) -> None:
        other = await self.deployment.start_engine(
            "engine-2", MODEL, self.deployment.instances[2]
        )
        call = uuid.uuid4().hex
        asking = asyncio.create_task(self.ask(True, call))
        await self.started(call)
        self.proxy.silence_all()
        self.check_whole(await asking)
        self.assertEqual(await self.runs(call, other), 1)

    async def test_idle_connection_is_not_kept_for_long(self) -> None:
        self.check_whole(await self.ask(False, "first"))

        async def closed(_: object) -> bool:
            return self.proxy.open == 0

        await wait_for(closed, "the idle connection to be closed")
        self.check_whole(await self.ask(False, "second"))
        self.assertEqual(self.proxy.accepted, 2)
