"""Tests of the room that decoded configurations take at a control member."""

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any

import aiohttp
from parameterized import parameterized

from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.platform.control.front import MAX_BODY_BYTES, ControlFront
from goldcrestyard.platform.names import CONFIG_PATH
from goldcrestyard.plugins.listeners.connections import ConnectionLimits
from goldcrestyard.plugins.listeners.server import HandlerListener
from goldcrestyard.policy.memory import control_shares
from goldcrestyard.state.commands import Command
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.platform_site import configuration
from tests.fakes.quiet_logs import quiet_logs
from tests.policy.test_memory import CONFIGS_BY_SHAPE

PROCESS_BYTES = 296_000_000
"""Smallest memory of a control member in the deployments."""

DEADLINE_SECONDS = 30.0
BODY_BYTES = MAX_BODY_BYTES * 0.8
MANY, SMALL = 4, 8


class ConfigRoomTests(unittest.IsolatedAsyncioTestCase):
    """Guards against configurations that wait to be committed without bound.

    Also against refusing a single one of the largest size.
    """

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        member: Any = FakeMember(machine_of(ServingSlice), Clock())
        member.propose = self._propose
        front = ControlFront(member, None, None, None, "127.0.0.1:1")  # type: ignore[arg-type]
        self.proposed = 0
        self.may_end = asyncio.Event()
        limits = ConnectionLimits(DEADLINE_SECONDS)
        room = ByteRoom(control_shares(PROCESS_BYTES).bodies)
        listener = HandlerListener(front.handle, lambda: limits, room)
        await listener.open("127.0.0.1:0")
        self.addAsyncCleanup(listener.stop)
        assert listener.socket_address is not None
        host, port = listener.socket_address
        self.url = f"http://{host}:{port}{CONFIG_PATH}"

    async def _propose(self, command: Command, **options: Any) -> None:
        self.proposed += 1
        await self.may_end.wait()

    async def _put(self, body: bytes) -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.put(self.url, data=body) as answer,
        ):
            return answer.status

    @parameterized.expand(
        [
            *((name, shape, 1.0, 1) for name, shape in CONFIGS_BY_SHAPE.items()),
            ("small", CONFIGS_BY_SHAPE["routes"], 0.02, SMALL),
        ]
    )
    async def test_how_many_wait_to_be_committed(
        self, _: str, shape: Callable[[int], dict[str, Any]], part: float, fitting: int
    ) -> None:
        document = {**configuration(1), **shape(1000)}
        scale = part * BODY_BYTES / len(json.dumps(document, separators=(",", ":")))
        document = {**configuration(1), **shape(int(1000 * scale))}
        body = json.dumps(document, separators=(",", ":")).encode()
        self.assertLess(len(body), MAX_BODY_BYTES)
        async with asyncio.timeout(DEADLINE_SECONDS):
            puts = [
                asyncio.create_task(self._put(body)) for _ in range(max(MANY, fitting))
            ]
            while self.proposed + sum(put.done() for put in puts) < len(puts):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            self.assertEqual(self.proposed, fitting)
            self.may_end.set()
            await asyncio.gather(*puts)
