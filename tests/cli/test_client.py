"""Tests of the tool's requests against stand-in instances.

They guard against a change that is made twice because an answer was lost:
each instance must be asked under the same request id.
"""

import unittest
from dataclasses import dataclass

from aiohttp import web
from aiohttp.test_utils import TestServer
from parameterized import parameterized

from goldcrestyard.cli.client import (
    Answer,
    OperatorClient,
    Refused,
    Reply,
    Unanswered,
)
from goldcrestyard.cli.profile import Profile


@dataclass(frozen=True)
class Instance:
    """How a stand-in instance answers."""

    status: int = 200
    code: str = ""
    drops: bool = False


GOOD = Instance()
DROPS = Instance(drops=True)
LEADERLESS = Instance(503, "no_leader")
DOUBTFUL = Instance(502, "unknown_outcome")
REFUSES = Instance(409, "stale_plan")

CASES = [
    ("first_answers", (GOOD, REFUSES), Answer, 1),
    ("answer_is_lost", (DROPS, GOOD), Answer, 2),
    ("leader_is_unknown", (LEADERLESS, GOOD), Answer, 2),
    ("outcome_is_in_doubt", (DOUBTFUL, GOOD), Answer, 2),
    ("refusal_is_final", (REFUSES, GOOD), Refused, 1),
    ("none_answers", (DROPS, LEADERLESS), Unanswered, 6),
]


class OperatorClientTests(unittest.IsolatedAsyncioTestCase):
    """Which instances are asked, and under which request id."""

    async def start(self, instance: Instance) -> str:
        """Start a stand-in; return its address."""

        async def handle(request: web.Request) -> web.StreamResponse:
            self.request_ids.append(request.headers["x-request-id"])
            if instance.drops:
                assert request.transport is not None
                request.transport.close()
            body = {"error": {"code": instance.code}} if instance.code else {}
            return web.json_response(body, status=instance.status)

        app = web.Application()
        app.router.add_route("*", "/operator/v1/plans", handle)
        server = TestServer(app)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        return f"{server.host}:{server.port}"

    @parameterized.expand(CASES)
    async def test_instances_are_asked_in_turn(
        self,
        _: str,
        instances: tuple[Instance, ...],
        expected: type[Reply],
        asked: int,
    ) -> None:
        self.request_ids: list[str] = []
        servers = tuple([await self.start(instance) for instance in instances])
        client = OperatorClient(Profile(servers, "key"), pause_seconds=0.0)
        reply = await client.send("POST", "/plans", {})
        self.assertIsInstance(reply, expected)
        self.assertEqual(len(self.request_ids), asked)
        self.assertEqual(len(set(self.request_ids)), 1)
